// The supervised child that accepts callers: a listening socket and one task
// for each session.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_SESSIONLISTENER_H
#define AMARANTHSPUR_ROOT_SESSIONS_SESSIONLISTENER_H

#include "core/Address.h"
#include "root/Supervisor.h"
#include "root/sessions/Session.h"

#include <QTcpServer>

#include <memory>
#include <set>

namespace amaranthspur {

/// Accepts callers' connections and owns their sessions.
class SessionListener final : public Child {
public:
  /// \param Dependencies must outlive the listener.
  /// \param Streams must outlive the listener.
  /// \param MaxSessions highest number of sessions. Further connections are
  /// closed at once.
  /// \param Limits of a planned stop. In the notice a load balancer sees that
  /// this entry VM is not ready.
  SessionListener(const SessionDependencies &Dependencies,
                  CallerStreamFactory &Streams, Address Listen,
                  std::size_t MaxSessions, const StopLimits &Limits);
  ~SessionListener() override;

  std::string_view name() const override { return "sessions"; }
  QCoro::Task<Result<Success>> start() override;
  /// Keeps serving for the notice period, then ends idle sessions. The others
  /// follow a StopSchedule that ends at \p Deadline. What is left then is cut
  /// off.
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Returns the number of sessions.
  std::size_t sessions() const { return this->Sessions.size(); }
  /// Returns whether the listener has started and is not stopping.
  bool isAccepting() const { return this->Accepting; }

private:
  void accept(QTcpSocket *Socket);
  QCoro::Task<> serve(QTcpSocket *Socket);

  const SessionDependencies &Dependencies;
  CallerStreamFactory &Streams;
  Address Listen;
  std::size_t MaxSessions;
  StopLimits Limits;
  std::optional<StopSchedule> Schedule; ///< Set while the listener stops.
  std::unique_ptr<QTcpServer> Server;
  std::set<Session *> Sessions;
  std::uint64_t NextSession = 1;
  TaskGroup Tasks;
  bool Accepting = false;
  bool Finishing = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_SESSIONLISTENER_H
