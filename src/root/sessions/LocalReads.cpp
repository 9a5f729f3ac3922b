#include "root/sessions/LocalReads.h"

#include "core/BootClock.h"
#include "root/sessions/StatementRunner.h"

namespace amaranthspur {

QCoro::Task<std::optional<ForwardedAnswer>>
LocalReads::run(ForwardedRead Read) {
  StatementContext E;
  E.ServerGroup = this->Groups.find(Read.Service);
  if (!E.ServerGroup)
    co_return std::nullopt;
  if (Read.Workspace.empty())
    E.ServerGroup->keepConnections();
  else
    E.ServerGroup->observeHomeUse();
  E.Route.Service = Read.Service;
  E.Route.Consistency = ReadConsistency::BoundedStaleness;
  E.Route.Urgency = Read.Urgency;
  E.Workspace = std::move(Read.Workspace);
  E.Values = std::move(Read.Values);
  E.Prepared = std::move(Read.Prepared);
  E.Arrived = steadyNow();
  E.ArrivedBoot = bootNow();
  E.Deadline = E.Arrived + Read.Remaining;
  E.DispatchBy = E.Arrived + Read.DispatchIn;
  E.QueuedDispatchBy = E.Arrived + Read.QueuedDispatchIn;
  // The forwarder cannot see whether the caller is still connected. A read that
  // runs for nobody has no effect.
  E.CallerPresent = [] { return true; };
  const ReadConstraint Constraint{Read.Floor, false};
  ForwardedAnswer Out;
  Out.Given = co_await runReadHere(std::move(Read.Read), E, Constraint);
  Out.LastServer = E.LastServer;
  Out.Attempts = E.Attempts;
  Out.Dispatched = E.Dispatched;
  Out.Trail = E.Trail;
  co_return std::optional<ForwardedAnswer>(std::move(Out));
}

} // namespace amaranthspur
