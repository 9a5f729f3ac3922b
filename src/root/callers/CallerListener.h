// The child that serves callers: a listener and one task for each connection.
#ifndef AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H
#define AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H

#include "root/Supervisor.h"
#include "root/callers/CallerSession.h"

#include <QTcpServer>

#include <map>
#include <memory>
#include <random>

namespace amaranthspur {

/// Accepts callers and owns their sessions.
class CallerListener final : public Child {
public:
  /// \param Context outlives the listener.
  /// \param MaxCallers connections at most; more are refused with 53300.
  /// \param FirstSession number of the first session; see StreamId.
  /// \param Notice time between a stop and the end of idle sessions, in which a
  /// balancer notices that this entry VM is not ready.
  CallerListener(SessionContext &Context, Address Listen,
                 std::size_t MaxCallers, std::uint64_t FirstSession,
                 Duration Notice);
  ~CallerListener() override;

  std::string_view name() const override { return "callers"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  std::size_t sessions() const { return this->Sessions.size(); }
  bool accepting() const { return this->Accepting; }

private:
  void accept(QTcpSocket *Socket);
  QCoro::Task<> serve(QTcpSocket *Socket);
  void refuse(QTcpSocket *Socket);
  void cancel(const CancelKey &Key);

  SessionContext &Context;
  Address Listen;
  std::size_t MaxCallers;
  std::uint64_t NextSession;
  Duration Notice;
  std::unique_ptr<QTcpServer> Server;
  std::map<std::uint64_t, CallerSession *> Sessions;
  std::map<CancelKey, std::uint64_t> CancelKeys;
  std::random_device Secrets;
  TaskGroup Tasks;
  bool Accepting = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_CALLERS_CALLERLISTENER_H
