#include "root/callers/StatementRouter.h"

namespace amaranthspur {
namespace {

/// How long a replica's owner waits for the replica to catch up.
constexpr Duration CatchUpTime = milliseconds(50);

/// Notes whether any frame of an answer has gone to the caller.
class CountingSink final : public AnswerSink {
public:
  explicit CountingSink(AnswerSink &To) : To(To) {}

  QCoro::Task<bool> deliver(std::string Frames) override {
    this->Delivered = true;
    return this->To.deliver(std::move(Frames));
  }

  bool Delivered = false;

private:
  AnswerSink &To;
};

/// Returns \p View with what may have changed since it was taken. The owner of
/// a replica checks position and age exactly and refuses if they do not do; a
/// view that is up to a second old must not keep reads off a replica that has
/// caught up meanwhile.
GroupView expectedNow(GroupView View, LogPosition Floor, TimePoint Now) {
  const Duration Since = Now - View.Taken;
  for (ServerView &Server : View.Servers) {
    if (!Server.Age || *Server.Age > Since + CatchUpTime)
      continue;
    Server.Held = std::max(Server.Held, Floor);
  }
  return View;
}

} // namespace

StatementRouter::StatementRouter(Directory &Config, ViewTable &Views,
                                 ExecutorLookup &Executors,
                                 std::unique_ptr<Routing> Routes,
                                 std::unique_ptr<Retry> Retries,
                                 DataCentre Location)
    : Config(Config), Views(Views), Executors(Executors),
      Routes(std::move(Routes)), Retries(std::move(Retries)),
      Location(std::move(Location)) {}

Route StatementRouter::routeOnce(const RoutedStatement &Statement,
                                 const std::set<ServerId> &Excluded,
                                 Duration Waited) const {
  const std::shared_ptr<const Configuration> Config = this->Config.current();
  const StatementOrder &Order = Statement.Order;
  const ServiceConfig *Service = Config->findService(Order.Service);
  if (!Service)
    return notRun(RefusalReason::UnknownService, Order.Service.str());
  const GroupView *View = this->Views.find(Order.Service);
  if (!View)
    return RouteWait{milliseconds(100)};
  RouteRequest Request;
  Request.Wants = Order.Wants;
  Request.Floor = Order.Floor;
  Request.MaxStaleness = Order.MaxStaleness;
  Request.From = this->Location;
  Request.Excluded = Excluded;
  Request.Waited = Waited;
  const GroupView Expected = expectedNow(*View, Order.Floor, steadyNow());
  return this->Routes->route(Request, Expected, *Service, *Config, View->Taken);
}

QCoro::Task<StatementRouter::Attempt>
StatementRouter::choose(const RoutedStatement &Statement,
                        const std::set<ServerId> &Excluded) {
  Attempt Chosen;
  WaitPoint Updated;
  const TimePoint Start = steadyNow();
  for (;;) {
    const Route Next =
        this->routeOnce(Statement, Excluded, steadyNow() - Start);
    if (const auto *R = std::get_if<Refusal>(&Next)) {
      Chosen.Refused = *R;
      co_return Chosen;
    }
    if (const auto *To = std::get_if<RouteToServer>(&Next)) {
      Chosen.Server = To->Server;
      Chosen.As = To->As;
      break;
    }
    const TimePoint Now = steadyNow();
    if (Now >= Statement.Order.Deadline) {
      Chosen.Refused = notRun(RefusalReason::NoPrimary);
      co_return Chosen;
    }
    const TimePoint Until = std::min(Now + std::get<RouteWait>(Next).Delay,
                                     Statement.Order.Deadline);
    this->Views.wakeOnUpdate(Statement.Order.Service, &Updated);
    co_await Updated.wait(Until);
    this->Views.forget(&Updated);
  }
  const std::shared_ptr<const Configuration> Config = this->Config.current();
  const ServiceConfig *Service = Config->findService(Statement.Order.Service);
  std::optional<EntryVmId> Owner;
  if (Service)
    for (const ServerConfig &Server : Service->Servers)
      if (Server.Id == Chosen.Server)
        Owner = this->Executors.ownerOf(Server);
  if (Owner)
    Chosen.Executor = this->Executors.executorFor(*Owner, Chosen.Server);
  if (!Chosen.Executor)
    Chosen.Refused = notRun(RefusalReason::OwnerUnreachable);
  co_return Chosen;
}

QCoro::Task<RoutedResult> StatementRouter::run(RoutedStatement Statement,
                                               AnswerSink &Sink) {
  RoutedResult Outcome;
  CountingSink Counting(Sink);
  std::set<ServerId> Excluded;
  Statement.Budget->onRequest();
  for (;;) {
    ++Outcome.Attempts;
    Attempt Chosen = co_await this->choose(Statement, Excluded);
    if (Chosen.Refused) {
      Outcome.Result.Refused = Chosen.Refused;
    } else {
      StatementOrder Order = Statement.Order;
      Order.Server = Chosen.Server;
      Outcome.Result =
          co_await Chosen.Executor->execute(std::move(Order), Counting);
      Outcome.FromReplica = Chosen.As == ServerRole::Replica;
      Outcome.Binding = {Chosen.Server, Chosen.Executor};
    }
    if (!Outcome.Result.Refused || Counting.Delivered)
      co_return Outcome;
    const Refusal &Failure = *Outcome.Result.Refused;
    if (Chosen.As == ServerRole::Replica) {
      Excluded.insert(Chosen.Server);
      // A server that refuses a statement as a write shows that it is one.
      if (Failure.Reason == RefusalReason::ReadOnlyServer)
        Statement.Order.Wants = Access::Write;
    }
    RetryQuestion Question;
    Question.Failure = Failure;
    // On a replica no statement has effects; elsewhere a guess is not enough.
    const bool HasNoEffects =
        Chosen.As == ServerRole::Replica || Statement.DeclaredRead;
    Question.Wants = HasNoEffects ? Statement.Order.Wants : Access::Write;
    Question.Mark = Statement.Mark;
    Question.Attempts = Outcome.Attempts;
    Question.Deadline = Statement.Order.Deadline;
    const std::optional<RetryAfter> Again =
        this->Retries->decide(Question, *Statement.Budget, steadyNow());
    if (!Again)
      co_return Outcome;
    if (Again->Delay > Duration::zero())
      co_await sleepFor(Again->Delay);
  }
}

} // namespace amaranthspur
