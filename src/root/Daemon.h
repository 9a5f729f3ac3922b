// The root of the daemon's supervisor tree.
//
// Children, in the order in which they start: telemetry (admin), peers,
// directory, backends, views, callers. They stop in reverse, so that callers
// are finished while everything they need still works.
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
#include "root/telemetry/AdminServer.h"

namespace amaranthspur {

/// One running daemon.
class Daemon {
public:
  explicit Daemon(Settings Values);

  /// Starts all children.
  QCoro::Task<Result<Success>> start();

  /// Stops gracefully: readiness fails, callers are finished, servers are
  /// handed over.
  QCoro::Task<> stop();

  /// Notes a reload. All settings are fixed at start; the configuration comes
  /// from the platform's service.
  void reload();

private:
  static std::uint64_t startTime();
  void connectParts();
  void addStatus();
  bool isReady() const;
  QJsonValue backendsStatus() const;
  QJsonValue membersStatus() const;
  QJsonValue servicesStatus() const;
  QCoro::Task<> updateGauges();

  Settings Values;
  std::uint64_t Incarnation;
  Metrics Counters;
  SteadyClock Time;
  Random Rng;
  ViewTable Views;
  HttpPlatform Store;
  ZmqPeerNetwork Peers;
  ConfigDirectory Config;
  Forwarder Remote;
  ServerRegistry Registry;
  ForwardingService Forwarded;
  ViewExchange Exchange;
  StatementRouter Router;
  SessionContext Sessions;
  CallerListener Callers;
  AdminServer Admin;
  Supervisor Root;
  bool Draining = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DAEMON_H
