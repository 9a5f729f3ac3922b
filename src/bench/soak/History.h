// What callers, servers and the platform have seen during a soak.
//
// The judge works on this history alone. All times are milliseconds since the
// start of the run.
#ifndef AMARANTHSPUR_BENCH_SOAK_HISTORY_H
#define AMARANTHSPUR_BENCH_SOAK_HISTORY_H

#include "core/Names.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// The kind of a statement that a caller sent.
enum class StatementKind { Read, Write, Begin, Commit, Other };

/// How a statement ended for its caller.
enum class Outcome {
  Success,
  Promise,  ///< An error which promises that nothing was kept.
  Failure,  ///< Another error.
  Closed,   ///< The connection ended without a complete answer.
  TimedOut, ///< The caller gave up.
};

/// The type of a route.
enum class RouteType { Primary, BoundedStale, ReadYourWrites };

/// The kinds of faults and of planned work.
enum class FaultKind {
  Kill,
  Start,
  Terminate,
  Freeze,
  HangUp,
  Cut,
  Configuration,
  Store,
  ServerCrash,
  ServerRestart,
  DeafReplica,
  Release,
  PowerLoss,
  Keys,         ///< A key is withdrawn or added.
  Quota,        ///< A workspace gets another quota.
  Surge,        ///< The callers of a workspace send seven times as much.
  StoreCut,     ///< An entry VM is cut off from the store.
  PrimaryCrash, ///< The server returns with its log under another ID.
  Isolation,    ///< A primary is cut off while a server joins.
  StoreReturn,  ///< The store goes away and comes back from an older copy.
};

/// A prefix of the log of a server at one moment.
struct LogView {
  /// Indices into History::Commits. Entries after Count may be added later.
  std::shared_ptr<const std::vector<unsigned>> Entries;
  std::size_t Count = 0;

  bool contains(unsigned Commit) const {
    if (!this->Entries)
      return false;
    const auto End =
        this->Entries->begin() + static_cast<std::ptrdiff_t>(this->Count);
    return std::find(this->Entries->begin(), End, Commit) != End;
  }
};

/// One statement as its caller saw it.
struct Statement {
  std::string Id;
  unsigned Group = 0;
  std::string Vm;
  unsigned Session = 0;
  unsigned Transaction = 0; ///< 0 for a single statement.
  bool First = true;        ///< A single statement, or the first of its
                            ///< transaction.
  StatementKind Kind = StatementKind::Other;
  RouteType Route = RouteType::Primary;
  double SentAt = 0;
  double EndedAt = 0;
  double OperationAt = 0; ///< When the first statement of its transaction, or
                          ///< the statement itself, was sent.
  Outcome End = Outcome::TimedOut;
  std::string Code;         ///< Of an error.
  std::string Server;       ///< Named by the digest of the answer, if any.
  std::string SessionValue; ///< The session's acknowledged value.
  std::string Shape;        ///< Prepared by the session, if it is executed.
  std::string Key;          ///< Of the session; empty on an anonymous route.
};

/// One run of a statement at a server.
struct StatementRun {
  std::string Id;
  std::string Server;
  std::string Name; ///< Of the workspace or the entry VM whose connection
                    ///< carried it, as told on CONNECT.
  unsigned Connection = 0;
  double At = 0;
  bool InTransaction = false;
  std::string SessionValue; ///< The value that was set on the connection.
  std::string Shape;        ///< Of the prepared statement that ran.
  LogView View;             ///< The log that a read saw.
};

/// One commit in the log of a primary.
struct Commit {
  std::string Id;
  unsigned Group = 0;
  std::string Server;
  unsigned Term = 0;
  unsigned Number = 0;
  double At = 0;
};

/// A promotion that took effect.
struct Effect {
  unsigned Group = 0;
  std::string Server;
  unsigned Term = 0;
  double At = 0;
  LogView Log;
};

/// An order of a promotion, at its arrival at the platform.
struct Order {
  unsigned Group = 0;
  std::string Target;
  std::string Holder;
  std::uint64_t Fence = 0;
  double At = 0;
};

/// A fault or planned work. The subject is an entry VM, a server, or "store".
struct Disruption {
  FaultKind Kind = FaultKind::Kill;
  std::string Subject;
  double From = 0;
  double To = 0;
};

/// The soak's own process handled no events in this time, so that what it saw
/// at the end may have happened at any moment of it.
struct Stall {
  double From = 0;
  double To = 0;
};

/// A process had not ended at the end of its grace time, and was killed.
struct LateStop {
  std::string Vm;
  double At = 0; ///< When it was told to stop.
};

/// The store acknowledged that a server is draining.
struct DrainReport {
  std::string Server;
  double At = 0;
};

/// The store acknowledged a configuration with or without the probed route.
struct RouteChange {
  bool Present = false;
  double At = 0;
};

/// A caller tried to connect to the probed route.
struct RouteProbe {
  std::string Vm;
  double SentAt = 0;
  bool Accepted = false;
};

/// A workspace in one version of the configuration.
struct WorkspaceEntry {
  std::string Name;
  std::vector<std::string> Keys;
  double RatePerS = 0;
  double Burst = 0;
};

/// The store acknowledged a configuration with these workspaces.
struct WorkspaceVersion {
  double At = 0;
  std::vector<WorkspaceEntry> Workspaces;
};

/// A server received a line that contains a key.
struct KeySighting {
  std::string Server;
  std::string Line;
  double At = 0;
};

/// Everything that was seen.
struct History {
  std::vector<Statement> Statements;
  std::vector<StatementRun> Runs;
  std::vector<Commit> Commits;
  std::vector<Effect> Effects;
  std::vector<Order> Orders;
  std::vector<Disruption> Disruptions;
  std::vector<LateStop> LateStops;
  std::vector<Stall> Stalls;
  std::vector<DrainReport> DrainReports;
  std::vector<RouteChange> RouteChanges;
  std::vector<RouteProbe> RouteProbes;
  std::vector<WorkspaceVersion> WorkspaceVersions;
  std::vector<KeySighting> KeySightings;
  std::vector<LogView> FinalLogs; ///< Of each group's primary at the end.
};

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::FaultKind> {
  using Kind = bench::soak::FaultKind;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Kill, "kill"},
           {Kind::Start, "start"},
           {Kind::Terminate, "terminate"},
           {Kind::Freeze, "freeze"},
           {Kind::HangUp, "hang-up"},
           {Kind::Cut, "cut"},
           {Kind::Configuration, "configuration"},
           {Kind::Store, "store"},
           {Kind::ServerCrash, "server-crash"},
           {Kind::ServerRestart, "server-restart"},
           {Kind::DeafReplica, "deaf-replica"},
           {Kind::Release, "release"},
           {Kind::PowerLoss, "power-loss"},
           {Kind::Keys, "keys"},
           {Kind::Quota, "quota"},
           {Kind::Surge, "surge"},
           {Kind::StoreCut, "store-cut"},
           {Kind::PrimaryCrash, "primary-crash"},
           {Kind::Isolation, "isolation"},
           {Kind::StoreReturn, "store-return"}});
};

template <> struct EnumNames<bench::soak::Outcome> {
  using Kind = bench::soak::Outcome;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Success, "success"},
           {Kind::Promise, "promise"},
           {Kind::Failure, "failure"},
           {Kind::Closed, "closed"},
           {Kind::TimedOut, "timed-out"}});
};

template <> struct EnumNames<bench::soak::RouteType> {
  using Kind = bench::soak::RouteType;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Primary, "primary"},
           {Kind::BoundedStale, "bounded_stale"},
           {Kind::ReadYourWrites, "read_your_writes"}});
};

template <> struct EnumNames<bench::soak::StatementKind> {
  using Kind = bench::soak::StatementKind;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Read, "read"},
           {Kind::Write, "write"},
           {Kind::Begin, "begin"},
           {Kind::Commit, "commit"},
           {Kind::Other, "other"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SOAK_HISTORY_H
