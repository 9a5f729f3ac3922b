// The counters, gauges and histograms of a process, which are served in
// Prometheus's text format.
//
// Only Metrics.cpp depends on the library, prometheus-cpp. Names and help texts
// are listed in tables by enumerator, so that each metric is defined in one
// place.
//
// Memory is bounded, since label values can come from callers: a label has at
// most MaxLabelValues values in each metric, and a histogram has at most
// MaxHistogramSeries series. Further values are counted under "other".
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_METRICS_H
#define AMARANTHSPUR_ROOT_TELEMETRY_METRICS_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Types.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthspur {

/// The counters of a process. Each has at most one label.
enum class Counter {
  Statements,
  Refusals,
  Retries,
  Promotions,
  PromotionsRefused,
  AcknowledgedCommitsMissing,
  LateAnswers,
  CallsAbandoned,
  ChildRestarts,
  CallerConnections,
  CallersRejected,
  BackendConnections,
  PeerMessages,
  PeerMessagesDropped,
  PathsReplaced,
  EventLoopPauses,
  ConfigurationsAccepted,
  RelayRequests,
  RelayExchanges,
  QuotaSpent,
  QuotaRefused,
  QuotaLeasesExpired,
  QuotaTokensLent,
  QuotaTokensBorrowed,
  ReplicasSetAside,
  HomeStatements,
  PrimaryOutages,
  PrimaryOutageRefusals,
  StoreReturns,
  StoreErasRejected,
};

/// The name, label and help text of a counter.
struct CounterInfo {
  Counter Which;
  std::string_view Name;
  std::string_view Label; ///< Empty if there is no label.
  std::string_view Help;
};

namespace detail {
inline constexpr auto Counters = std::to_array<CounterInfo>({
    {Counter::Statements, "amaranthspur_statements_total", "target",
     "Statements answered, by the role of the server that answered."},
    {Counter::Refusals, "amaranthspur_refusals_total", "reason",
     "Statements refused, by reason."},
    {Counter::Retries, "amaranthspur_retries_total", "reason",
     "Statements sent again, by the reason of the first refusal."},
    {Counter::Promotions, "amaranthspur_promotions_total", "service",
     "Promotions carried out by this entry VM."},
    {Counter::PromotionsRefused, "amaranthspur_promotions_refused_total",
     "service", "Promotions started by this entry VM and refused by servers."},
    {Counter::AcknowledgedCommitsMissing,
     "amaranthspur_acknowledged_commits_missing_total", "service",
     "Primaries whose log lacks a commit that this entry VM has reported."},
    {Counter::LateAnswers, "amaranthspur_late_answers_total", "",
     "Answers dropped because no request waited for them."},
    {Counter::CallsAbandoned, "amaranthspur_calls_abandoned_total", "call",
     "Calls that ended without an answer, except reads, by kind."},
    {Counter::ChildRestarts, "amaranthspur_child_restarts_total", "child",
     "Restarts by the supervisor."},
    {Counter::CallerConnections, "amaranthspur_caller_connections_total", "",
     "Caller connections accepted."},
    {Counter::CallersRejected, "amaranthspur_callers_rejected_total", "reason",
     "Caller connections rejected at start-up."},
    {Counter::BackendConnections, "amaranthspur_backend_connections_total",
     "server", "Connections opened to backend servers."},
    {Counter::PeerMessages, "amaranthspur_peer_messages_total", "direction",
     "Messages exchanged with other entry VMs."},
    {Counter::PeerMessagesDropped, "amaranthspur_peer_messages_dropped_total",
     "reason", "Messages dropped because a queue was full or a key wrong."},
    {Counter::PathsReplaced, "amaranthspur_paths_replaced_total", "server",
     "Times that all connections of a silent path were replaced."},
    {Counter::EventLoopPauses, "amaranthspur_event_loop_pauses_total", "",
     "Gaps in the event loop that made decisions start again."},
    {Counter::ConfigurationsAccepted,
     "amaranthspur_configurations_accepted_total", "",
     "Configuration revisions taken into force."},
    {Counter::RelayRequests, "amaranthspur_relay_requests_total", "result",
     "Requests to the relay of the data centre, by result."},
    {Counter::RelayExchanges, "amaranthspur_relay_exchanges_total", "result",
     "Requests of this relay to those of other data centres, by result."},
    {Counter::QuotaSpent, "amaranthspur_quota_spent_total", "workspace",
     "Operations admitted within the quota of a workspace."},
    {Counter::QuotaRefused, "amaranthspur_quota_refused_total", "workspace",
     "Operations refused because of the quota of a workspace."},
    {Counter::QuotaLeasesExpired, "amaranthspur_quota_leases_expired_total", "",
     "Leases of quotas that expired without a renewal."},
    {Counter::QuotaTokensLent, "amaranthspur_quota_tokens_lent_total",
     "workspace", "Tokens lent to other data centres, by workspace."},
    {Counter::QuotaTokensBorrowed, "amaranthspur_quota_tokens_borrowed_total",
     "workspace", "Tokens borrowed from other data centres, by workspace."},
    {Counter::ReplicasSetAside, "amaranthspur_replicas_set_aside_total",
     "service",
     "Times that a replica was set aside because it lagged, by service."},
    {Counter::HomeStatements, "amaranthspur_home_statements_total", "result",
     "Statements that other entry VMs forwarded to this one, by result."},
    {Counter::PrimaryOutages, "amaranthspur_primary_outages_total", "service",
     "Times that a primary was unusable for longer than a takeover takes."},
    {Counter::PrimaryOutageRefusals,
     "amaranthspur_primary_outage_refusals_total", "service",
     "Statements refused because of such an outage of the primary."},
    {Counter::StoreReturns, "amaranthspur_store_returns_total", "",
     "Times that the platform's store came back from an older copy."},
    {Counter::StoreErasRejected, "amaranthspur_store_eras_rejected_total",
     "reason", "Answers of the store whose era could not be used, by reason."},
});
} // namespace detail

template <> struct EnumNames<Counter> {
  static constexpr auto Entries = [] {
    std::array<std::pair<Counter, std::string_view>, detail::Counters.size()>
        Names{};
    for (std::size_t I = 0; I < Names.size(); ++I)
      Names[I] = {detail::Counters[I].Which, detail::Counters[I].Name};
    return Names;
  }();
};

/// The gauges of a process. Each has at most one label.
enum class Gauge {
  OpenCallerConnections,
  OpenBackendConnections,
  QueuedStatements,
  QueuedBytes,
  OwnedServers,
  ConcurrencyLimit,
  ReplicaAgeSeconds,
  ConfigurationRevision,
  LiveMembers,
  RelayFollowers,
  QuotaLimit,
  QuotaLeased,
};

/// The name, label and help text of a gauge.
struct GaugeInfo {
  Gauge Which;
  std::string_view Name;
  std::string_view Label; ///< Empty if there is no label.
  std::string_view Help;
};

namespace detail {
inline constexpr auto Gauges = std::to_array<GaugeInfo>({
    {Gauge::OpenCallerConnections, "amaranthspur_open_caller_connections", "",
     "Open caller connections."},
    {Gauge::OpenBackendConnections, "amaranthspur_open_backend_connections",
     "server", "Open work connections to a backend server."},
    {Gauge::QueuedStatements, "amaranthspur_queued_statements", "server",
     "Statements queued for a backend server."},
    {Gauge::QueuedBytes, "amaranthspur_queued_bytes", "server",
     "Bytes of statements queued for a backend server."},
    {Gauge::OwnedServers, "amaranthspur_owned_servers", "",
     "Backend servers that this entry VM owns."},
    {Gauge::ConcurrencyLimit, "amaranthspur_concurrency_limit", "server",
     "Statements allowed to run at once on a backend server."},
    {Gauge::ReplicaAgeSeconds, "amaranthspur_replica_age_seconds", "server",
     "Upper bound of a replica's age."},
    {Gauge::ConfigurationRevision, "amaranthspur_configuration_revision", "",
     "Configuration revision in force."},
    {Gauge::LiveMembers, "amaranthspur_live_members", "",
     "Entry VMs believed to be live, this one included."},
    {Gauge::RelayFollowers, "amaranthspur_relay_followers", "",
     "Entry VMs that follow this relay; 0 on an entry VM that is not one."},
    {Gauge::QuotaLimit, "amaranthspur_quota_limit_per_second", "workspace",
     "Limit of the operations of a workspace on all entry VMs together."},
    {Gauge::QuotaLeased, "amaranthspur_quota_leased", "workspace",
     "Operations of a workspace that may run now by a lease."},
});
} // namespace detail

template <> struct EnumNames<Gauge> {
  static constexpr auto Entries = [] {
    std::array<std::pair<Gauge, std::string_view>, detail::Gauges.size()>
        Names{};
    for (std::size_t I = 0; I < Names.size(); ++I)
      Names[I] = {detail::Gauges[I].Which, detail::Gauges[I].Name};
    return Names;
  }();
};

/// The histograms of durations, by service, caller and class of work.
enum class Timing { StatementLatency, QueueWait, ConfirmationWait };

template <> struct EnumNames<Timing> {
  static constexpr auto Entries =
      std::to_array<std::pair<Timing, std::string_view>>(
          {{Timing::StatementLatency, "amaranthspur_statement_seconds"},
           {Timing::QueueWait, "amaranthspur_queue_wait_seconds"},
           {Timing::ConfirmationWait, "amaranthspur_confirmation_seconds"}});
};

/// The labels of a series of a histogram.
struct TimingLabels {
  ServiceName Service;
  CallerName Caller;
  ClassName WorkClass;

  auto operator<=>(const TimingLabels &) const = default;
};

/// One series of a histogram. It lives as long as the Metrics object that it
/// belongs to.
class TimingSeries {
public:
  virtual ~TimingSeries() = default;
  /// Adds one observation. The cost is linear in the number of buckets.
  virtual void observe(Duration Time) = 0;
};

/// All metrics of one process. Not thread-safe.
class Metrics {
public:
  /// Maximum number of values of one label in one metric, not counting "other".
  static constexpr std::size_t MaxLabelValues = 200;
  /// Maximum number of series of one histogram, not counting "other". A series
  /// takes about 1 KB.
  static constexpr std::size_t MaxHistogramSeries = 500;
  /// Longer label values are truncated to this number of bytes.
  static constexpr std::size_t MaxLabelBytes = 64;

  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  /// Adds \p Amount to a counter.
  /// \param LabelValue value of the counter's label; ignored if it has none.
  void add(Counter Which, std::string_view LabelValue = {},
           std::uint64_t Amount = 1);

  /// Sets a gauge.
  /// \param LabelValue value of the gauge's label; ignored if it has none.
  void set(Gauge Which, double Value, std::string_view LabelValue = {});

  /// Removes the series of a gauge for \p LabelValue, for example when a server
  /// is no longer owned.
  void remove(Gauge Which, std::string_view LabelValue);

  /// Returns the series for \p Labels. The cost is one look-up in an ordered
  /// map, so a task that observes often should keep the result.
  TimingSeries &series(Timing Which, const TimingLabels &Labels);

  /// Looks up the series for \p Labels and adds one observation to it.
  void observe(Timing Which, const TimingLabels &Labels, Duration Time) {
    this->series(Which, Labels).observe(Time);
  }

  /// Returns all metrics in Prometheus's text format.
  std::string serialise() const;

private:
  class Registry;
  std::unique_ptr<Registry> Impl;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_METRICS_H
