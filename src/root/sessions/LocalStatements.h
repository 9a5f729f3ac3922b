// Runs forwarded statements with this entry VM's groups and connections.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_LOCALSTATEMENTS_H
#define AMARANTHSPUR_ROOT_SESSIONS_LOCALSTATEMENTS_H

#include "core/Async.h"
#include "root/Supervisor.h"
#include "root/groups/GroupRegistry.h"
#include "root/sessions/ForwardedStatement.h"

namespace amaranthspur {

/// The home's side of forwarded statements: the child whose stop lets those
/// that run here end while the groups still serve them.
class LocalStatements final : public Child, public ForwardedStatementRunner {
public:
  /// \p Groups must outlive the object.
  explicit LocalStatements(const GroupRegistry &Groups) : Groups(Groups) {}

  std::string_view name() const override { return "home"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  QCoro::Task<std::optional<ForwardedAnswer>>
  run(ForwardedStatement Given) override;

private:
  const GroupRegistry &Groups;
  TaskGroup Running;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_LOCALSTATEMENTS_H
