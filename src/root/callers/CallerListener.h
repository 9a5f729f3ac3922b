// The supervised child that accepts callers' connections and runs one task for
// each of them.
#ifndef AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H
#define AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H

#include "root/Supervisor.h"
#include "root/callers/CallerSession.h"

#include <QTcpServer>

#include <map>
#include <memory>
#include <random>

namespace amaranthspur {

/// Listens for callers and runs their sessions.
class CallerListener final : public Child {
public:
  /// \param Context outlives the listener.
  /// \param MaxCallers maximum number of open connections; further ones are
  /// refused with SQLSTATE 53300.
  /// \param FirstSessionNumber number of the first session. Together with the
  /// entry VM's identifier, a session's number forms its StreamId.
  /// \param DrainNotice time for which sessions are still served after stop()
  /// has been called, so that the load balancer can detect that this entry VM
  /// is no longer ready.
  CallerListener(SessionContext &Context, Address Listen,
                 std::size_t MaxCallers, std::uint64_t FirstSessionNumber,
                 Duration DrainNotice);
  ~CallerListener() override;

  std::string_view name() const override { return "callers"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Returns the number of open sessions.
  std::size_t sessions() const { return this->Sessions.size(); }
  /// Returns whether start() has succeeded and stop() has not been called.
  bool accepting() const { return this->Accepting; }

private:
  void accept(QTcpSocket *Socket);
  QCoro::Task<> serve(QTcpSocket *Socket);
  void refuse(QTcpSocket *Socket);
  /// Cancels the statement of the session with \p Key; does nothing if no open
  /// session has that key.
  void cancel(const CancelKey &Key);

  SessionContext &Context;
  Address Listen;
  std::size_t MaxCallers;
  std::uint64_t NextSessionNumber;
  Duration DrainNotice;
  std::unique_ptr<QTcpServer> Server;
  /// Open sessions by number. Each session is owned by its serve() task.
  std::map<std::uint64_t, CallerSession *> Sessions;
  std::map<CancelKey, std::uint64_t> CancelKeys;
  std::random_device SecretKeySource;
  TaskGroup Tasks;
  bool Accepting = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H
