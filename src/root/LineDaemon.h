// The root of the supervisor tree of the daemon's front end for the platform's
// line protocol.
//
// The children start in this order: admin, quotas, relay, directory, groups,
// home, sessions.
// They stop in the reverse order, so that sessions finish while everything that
// they need still runs.
#ifndef AMARANTHSPUR_ROOT_LINEDAEMON_H
#define AMARANTHSPUR_ROOT_LINEDAEMON_H

#include "core/Random.h"
#include "platform/HttpPlatform.h"
#include "platform/LineCallerStream.h"
#include "platform/LineServerLink.h"
#include "platform/PromotionClient.h"
#include "root/Settings.h"
#include "root/Supervisor.h"
#include "root/directory/PlatformDirectory.h"
#include "root/directory/StoreReturns.h"
#include "root/directory/StoredRegistrations.h"
#include "root/groups/GroupRegistry.h"
#include "root/quotas/WorkspaceQuotas.h"
#include "root/relay/Relay.h"
#include "root/sessions/LocalStatements.h"
#include "root/sessions/RouteQueries.h"
#include "root/sessions/SessionListener.h"
#include "root/telemetry/AbandonedCallLog.h"
#include "root/telemetry/AdminServer.h"

#include <QJsonArray>

namespace amaranthspur {

/// The daemon with the front end for the platform's line protocol.
class LineDaemon {
public:
  /// Time between updates of the gauges and checks for a readiness change to
  /// log. The load balancer polls /ready once a second.
  static constexpr Duration ReadinessInterval = milliseconds(500);
  /// A poll of the store ends after the configuration bound divided by this, so
  /// that a lost connection is found in time for another read.
  static constexpr int PollDivisor = 2;
  /// Part of the configuration bound that a relay's last contact with the store
  /// may be old. It is longer than a poll, and leaves a follower time to ask
  /// the store itself.
  static constexpr double ContactAgePart = 0.65;

  /// Time after the deadline of a stop in which the children end what they
  /// still run. The sessions use up to 200 ms of it.
  static constexpr Duration StopMargin = milliseconds(300);

  explicit LineDaemon(Settings Values);

  /// Starts all children.
  QCoro::Task<Result<Success>> start();

  /// Stops gracefully: /ready answers 503 and sessions finish.
  /// \param Since when the stop was requested. The grace time counts from then.
  QCoro::Task<> stop(TimePoint Since);

  /// Logs that a reload was requested and changes nothing: the settings are
  /// fixed at start, and everything that can change while the process runs is
  /// read from the platform's store.
  void reload();

private:
  static RelayOptions relayOptions(const Settings &Values);
  static WorkspaceQuotaOptions quotaOptions(const Settings &Values,
                                            std::uint64_t Incarnation);
  /// Returns the current time in microseconds since the epoch.
  static std::uint64_t startTime();
  bool isReady() const;
  /// Registers the providers of /ready and of the members of /status.
  void addStatus();
  QJsonArray quotaStatus() const;
  /// Returns the quota of \p Of; nothing if it is not limited.
  std::optional<QuotaState> quotaState(const WorkspaceName &Of) const;
  /// Updates the gauges and logs changes of readiness at a fixed interval until
  /// the daemon drains.
  QCoro::Task<> monitorReadiness();

  Settings Values;
  std::uint64_t Incarnation;
  Metrics Counters;
  AbandonedCallLog Abandoned{this->Counters};
  StoreReturns Returns{this->Counters};
  Random RandomSource;
  Locality OwnLocality;
  HttpPlatform PlatformClient;
  HttpPromotionClient Promoter;
  LineServerConnector Connector;
  LineCallerStreamFactory StreamFactory;
  RelayedFeed Feed;
  Relay DataCentreRelay;
  PlatformDirectory Directory;
  WorkspaceQuotas Quotas;
  StoredRegistrations Registrations;
  GroupRegistry Groups;
  LocalStatements Statements;
  SessionDependencies Dependencies;
  RouteQueries Routes;
  SessionListener Sessions;
  AdminServer Admin;
  Supervisor RootSupervisor;
  bool Draining = false;
  bool WasReady = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_LINEDAEMON_H
