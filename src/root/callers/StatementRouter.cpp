#include "root/callers/StatementRouter.h"

namespace amaranthspur {
namespace {

/// How long the owner of a replica waits for the replica to apply the position
/// that a read needs.
constexpr Duration CatchUpTimeout = milliseconds(50);

/// Records whether any frame of an answer has been delivered to the caller. If
/// so, the statement must not be retried.
class DeliveryRecorder final : public AnswerSink {
public:
  explicit DeliveryRecorder(AnswerSink &To) : To(To) {}

  QCoro::Task<bool> deliver(std::string Frames) override {
    this->Delivered = true;
    return this->To.deliver(std::move(Frames));
  }

  bool Delivered = false;

private:
  AnswerSink &To;
};

/// Returns \p View with the assumption that each replica whose last known age
/// is small enough has reached \p Floor by \p Now. A view can be up to one
/// second old and must not keep reads away from a replica that has caught up
/// since. The assumption is safe because the owner of the replica checks its
/// exact position and age, and refuses the read if they are not sufficient.
GroupView assumeCaughtUp(GroupView View, LogPosition Floor, TimePoint Now) {
  const Duration ViewAge = Now - View.Taken;
  for (ServerView &Server : View.Servers) {
    if (!Server.Age || *Server.Age > ViewAge + CatchUpTimeout)
      continue;
    Server.Held = std::max(Server.Held, Floor);
  }
  return View;
}

} // namespace

StatementRouter::StatementRouter(Directory &Config, ViewTable &Views,
                                 ExecutorLookup &Executors,
                                 std::unique_ptr<Routing> RoutingPolicy,
                                 std::unique_ptr<Retry> RetryPolicy,
                                 DataCentre Location)
    : Config(Config), Views(Views), Executors(Executors),
      RoutingPolicy(std::move(RoutingPolicy)),
      RetryPolicy(std::move(RetryPolicy)), Location(std::move(Location)) {}

Route StatementRouter::routeOnce(const RoutedStatement &Statement,
                                 const std::set<ServerId> &Excluded,
                                 Duration Waited) const {
  const std::shared_ptr<const Configuration> Config = this->Config.current();
  const ExecuteRequest &Order = Statement.Order;
  const ServiceConfig *Service = Config->findService(Order.Service);
  if (!Service)
    return notRun(RefusalReason::UnknownService, Order.Service.str());
  const GroupView *View = this->Views.find(Order.Service);
  if (!View)
    return RouteWait{milliseconds(100)};
  RouteRequest Request;
  Request.RequestedAccess = Order.RequestedAccess;
  Request.Floor = Order.Floor;
  Request.MaxStaleness = Order.MaxStaleness;
  Request.From = this->Location;
  Request.Excluded = Excluded;
  Request.Waited = Waited;
  const GroupView Assumed = assumeCaughtUp(*View, Order.Floor, steadyNow());
  return this->RoutingPolicy->route(Request, Assumed, *Service, *Config,
                                    View->Taken);
}

QCoro::Task<StatementRouter::ServerChoice>
StatementRouter::chooseServer(const RoutedStatement &Statement,
                              const std::set<ServerId> &Excluded) {
  ServerChoice Chosen;
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
      Chosen.Role = To->Role;
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
    this->Views.cancelWake(&Updated);
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
  DeliveryRecorder Recorder(Sink);
  std::set<ServerId> Excluded;
  Statement.Budget->onRequest();
  for (;;) {
    ++Outcome.Attempts;
    ServerChoice Chosen = co_await this->chooseServer(Statement, Excluded);
    if (Chosen.Refused) {
      Outcome.Result.Refused = Chosen.Refused;
    } else {
      ExecuteRequest Request = Statement.Order;
      Request.Server = Chosen.Server;
      Outcome.Result =
          co_await Chosen.Executor->execute(std::move(Request), Recorder);
      Outcome.FromReplica = Chosen.Role == ServerRole::Replica;
      Outcome.Binding = {Chosen.Server, Chosen.Executor};
    }
    if (!Outcome.Result.Refused || Recorder.Delivered)
      co_return Outcome;
    const Refusal &Failure = *Outcome.Result.Refused;
    if (Chosen.Role == ServerRole::Replica) {
      Excluded.insert(Chosen.Server);
      // The replica's refusal shows that the statement is a write.
      if (Failure.Reason == RefusalReason::ReadOnlyServer)
        Statement.Order.RequestedAccess = Access::Write;
    }
    RetryRequest Question;
    Question.Failure = Failure;
    // No statement has effects on a replica. On a primary, only a declared read
    // is known to have none; a guess from the text is not sufficient.
    const bool HasNoEffects =
        Chosen.Role == ServerRole::Replica || Statement.DeclaredRead;
    Question.RequestedAccess =
        HasNoEffects ? Statement.Order.RequestedAccess : Access::Write;
    Question.Repeatability = Statement.Repeatability;
    Question.Attempts = Outcome.Attempts;
    Question.Deadline = Statement.Order.Deadline;
    const std::optional<RetryDecision> NextTry =
        this->RetryPolicy->decide(Question, *Statement.Budget, steadyNow());
    if (!NextTry)
      co_return Outcome;
    if (NextTry->Delay > Duration::zero())
      co_await sleepFor(NextTry->Delay);
  }
}

} // namespace amaranthspur
