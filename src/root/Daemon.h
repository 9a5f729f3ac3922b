// The root of the supervisor tree of the daemon's PostgreSQL front end.
//
// The children start in this order: telemetry (admin), peers, directory,
// backends, views, callers. They stop in the reverse order, so that callers'
// sessions finish while everything that they need still runs.
#ifndef AMARANTHSPUR_ROOT_DAEMON_H
#define AMARANTHSPUR_ROOT_DAEMON_H

#include "core/Random.h"
#include "platform/HttpPlatform.h"
#include "root/Settings.h"
#include "root/Supervisor.h"
#include "root/ViewTable.h"
#include "root/backends/ServerRegistry.h"
#include "root/callers/CallerListener.h"
#include "root/directory/ConfigDirectory.h"
#include "root/peers/Forwarding.h"
#include "root/peers/ViewExchange.h"
#include "root/peers/ZmqPeerNetwork.h"
#include "root/telemetry/AbandonedCallLog.h"
#include "root/telemetry/AdminServer.h"

namespace amaranthspur {

/// The daemon with the PostgreSQL front end.
class Daemon {
public:
  /// Time after the deadline of a stop in which the children end what they
  /// still run. The sessions use up to 1 s of it, the handover of the servers
  /// up to twice its timeout.
  static constexpr Duration StopMargin = std::chrono::seconds(5);

  explicit Daemon(Settings Values);

  /// Starts all children.
  QCoro::Task<Result<Success>> start();

  /// Stops gracefully: /ready answers 503, callers' sessions finish, and the
  /// ownership of servers is handed over to other entry VMs.
  /// \param Since when the stop was requested. The grace time counts from then.
  QCoro::Task<> stop(TimePoint Since);

  /// Logs that a reload was requested and changes nothing: the settings are
  /// fixed at start, and the configuration is read from the platform's service.
  void reload();

private:
  /// Returns the current time in microseconds since the epoch. It serves as the
  /// incarnation number, so that a restarted daemon has a higher one.
  static std::uint64_t startTime();
  /// Registers the callbacks between the children.
  void connectComponents();
  /// Registers the providers of /ready and of the members of /status.
  void addStatus();
  bool isReady() const;
  QJsonValue backendsStatus() const;
  QJsonValue membersStatus() const;
  QJsonValue servicesStatus() const;
  /// Updates the gauges at a fixed interval until the daemon drains.
  QCoro::Task<> updateGauges();

  Settings Values;
  std::uint64_t Incarnation;
  Metrics Counters;
  AbandonedCallLog Abandoned{this->Counters};
  SteadyClock MonotonicClock;
  Random RandomSource;
  ViewTable Views;
  HttpPlatform PlatformClient;
  ZmqPeerNetwork Peers;
  ConfigDirectory Config;
  Forwarder ForwardingClient;
  ServerRegistry Registry;
  ForwardingService ForwardedStatements;
  ViewExchange Exchange;
  StatementRouter Router;
  SessionContext Sessions;
  CallerListener Callers;
  AdminServer Admin;
  Supervisor RootSupervisor;
  bool Draining = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DAEMON_H
