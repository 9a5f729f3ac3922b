#include "root/sessions/LocalStatements.h"

#include "core/BootClock.h"
#include "root/sessions/StatementRunner.h"

namespace amaranthspur {

QCoro::Task<Result<Success>> LocalStatements::start() {
  this->Stopping = false;
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> LocalStatements::stop(TimePoint Deadline) {
  this->Stopping = true;
  co_await this->Running.waitUntilEmpty(Deadline);
}

QCoro::Task<std::optional<ForwardedAnswer>>
LocalStatements::run(ForwardedStatement Given) {
  StatementContext E;
  E.ServerGroup = this->Groups.find(Given.Service);
  if (!E.ServerGroup || this->Stopping)
    co_return std::nullopt;
  const TaskGroup::Guard Guard(this->Running);
  if (Given.Workspace.empty())
    E.ServerGroup->keepConnections();
  else
    E.ServerGroup->observeHomeUse();
  const bool Writes = Given.isWrite();
  E.Route.Service = Given.Service;
  E.Route.Consistency = Writes || Given.AtPrimary
                            ? ReadConsistency::Primary
                            : ReadConsistency::BoundedStaleness;
  E.Route.Urgency = Given.Urgency;
  E.Workspace = std::move(Given.Workspace);
  E.Values = std::move(Given.Values);
  E.Prepared = std::move(Given.Prepared);
  E.Arrived = steadyNow();
  E.ArrivedBoot = bootNow();
  E.Deadline = E.Arrived + Given.Remaining;
  E.DispatchBy = E.Arrived + Given.DispatchIn;
  E.QueuedDispatchBy = E.Arrived + Given.QueuedDispatchIn;
  // The home cannot see whether the caller is still connected. As with a
  // statement that was sent to a server, it is too late to withdraw it.
  E.CallerPresent = [] { return true; };
  const ReadConstraint Constraint{Given.Floor, Given.AtPrimary};
  ForwardedAnswer Out;
  if (Writes)
    Out.Given = co_await runWriteHere(std::move(Given.Query), E);
  else
    Out.Given = co_await runReadHere(std::move(Given.Query), E, Constraint);
  Out.LastServer = E.LastServer;
  Out.Holder = E.Holder;
  Out.Attempts = E.Attempts;
  Out.Dispatched = E.Dispatched;
  Out.Trail = E.Trail;
  co_return std::optional<ForwardedAnswer>(std::move(Out));
}

} // namespace amaranthspur
