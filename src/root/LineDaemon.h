// The root of the supervisor tree for the platform's line protocol.
//
// Children, in the order in which they start: admin, directory, groups,
// sessions. They stop in reverse, so that sessions are finished while
// everything they need still works.
#ifndef AMARANTHSPUR_ROOT_LINEDAEMON_H
#define AMARANTHSPUR_ROOT_LINEDAEMON_H

#include "core/Random.h"
#include "platform/HttpPlatform.h"
#include "platform/LineCallerStream.h"
#include "platform/LineServerLink.h"
#include "platform/Promotions.h"
#include "root/Settings.h"
#include "root/Supervisor.h"
#include "root/directory/PlatformDirectory.h"
#include "root/groups/GroupRegistry.h"
#include "root/sessions/SessionListener.h"
#include "root/telemetry/AdminServer.h"

namespace amaranthspur {

/// One running daemon.
class LineDaemon {
public:
  /// Time from losing every server to failing readiness, and between updates of
  /// gauges. The balancer asks once a second.
  static constexpr Duration ReadinessInterval = milliseconds(500);

  explicit LineDaemon(Settings Values);

  /// Starts all children.
  QCoro::Task<Result<Success>> start();

  /// Stops gracefully: readiness fails, sessions are finished.
  QCoro::Task<> stop();

  /// Notes a reload. All settings are fixed at start; what changes while the
  /// process runs comes from the platform's store.
  void reload();

private:
  static std::uint64_t startTime();
  bool isReady() const;
  void addStatus();
  QCoro::Task<> observe();

  Settings Values;
  std::uint64_t Incarnation;
  Metrics Counters;
  Random Rng;
  Locality Where;
  HttpPlatform Store;
  HttpPromotions Orders;
  LineServerConnector Connector;
  LineCallerStreamFactory Streams;
  PlatformDirectory Directory;
  GroupRegistry Groups;
  SessionDependencies Dependencies;
  SessionListener Sessions;
  AdminServer Admin;
  Supervisor Root;
  bool Draining = false;
  bool WasReady = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_LINEDAEMON_H
