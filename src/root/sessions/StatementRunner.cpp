#include "root/sessions/StatementRunner.h"

#include "core/BootClock.h"

#include <algorithm>
#include <set>

namespace amaranthspur {
namespace {

/// Pause before another attempt after a server has refused. A running statement
/// frees its slot after 28 ms on average.
constexpr Duration RetryPause = milliseconds(15);
/// Share of the remaining time that one attempt of a read gets, so that a
/// connection without an answer leaves time for another server.
constexpr double ReadAttemptShare = 0.6;
/// Highest number of times that one read is sent, not counting the attempts
/// that a server refused as not run.
constexpr unsigned MaxReadExecutions = 4;
/// Highest number of times that a read which ran and failed is run again.
constexpr unsigned MaxReadFailures = 1;
/// Statements with a longer text are run here. Most texts are short, and a
/// request to a forwarder has a limit (root/relay/RelayCodec.h).
constexpr std::size_t MaxForwardedTextBytes = 64UL * 1024;

/// Appends a failed attempt to \p E.Trail.
void recordFailedAttempt(StatementContext &E, const ServerId &Server,
                         std::string_view What) {
  if (!E.Trail.empty())
    E.Trail += ',';
  E.Trail += Server.str();
  E.Trail += ':';
  E.Trail += What;
}

/// Counts a statement as in flight on a server for the lifetime of the object.
class InFlight {
public:
  InFlight(Group &ServerGroup, ServerId Id)
      : ServerGroup(ServerGroup), Id(std::move(Id)) {
    this->ServerGroup.beliefs().addInFlight(this->Id, 1);
  }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;
  ~InFlight() { this->ServerGroup.beliefs().addInFlight(this->Id, -1); }

private:
  Group &ServerGroup;
  ServerId Id;
};

/// Returns the time by which a server must be found. A statement that was
/// dispatched once may use the time up to its deadline.
TimePoint dispatchDeadline(const StatementContext &E) {
  return E.Dispatched ? E.Deadline : std::min(E.DispatchBy, E.Deadline);
}

/// Acquires a connection to \p Id by the dispatch deadline, and applies the
/// session's settings and prepared statement to it by \p Limit.
/// \returns an empty lease on failure.
QCoro::Task<LinkLease> leaseLink(StatementContext &E, ServerId Id,
                                 TimePoint Limit) {
  const std::shared_ptr<ServerPool> Pool = E.ServerGroup->pool(Id);
  if (!Pool) {
    recordFailedAttempt(E, Id, "gone");
    co_return LinkLease();
  }
  if (Pool->isActive(steadyNow()))
    E.DispatchBy = std::max(E.DispatchBy, E.QueuedDispatchBy);
  // g++ 12 destroys an aggregate temporary in a co_await expression twice.
  LinkRequest Wanted{E.Workspace, E.Values, E.Route.Urgency, E.Deadline};
  AcquiredLink Acquired = co_await Pool->acquire(
      std::move(Wanted), std::min(Limit, dispatchDeadline(E)));
  if (const auto *Failure = std::get_if<OpenFailure>(&Acquired)) {
    const bool Full =
        Failure->Code == AnswerCode::TooManyConnections || Failure->GivenUp;
    recordFailedAttempt(E, Id, Full ? "no-connection" : "unreachable");
    E.ServerGroup->observeOpenFailure(Id, *Failure);
    co_return LinkLease();
  }
  LinkLease Link(Id, Pool,
                 std::move(std::get<std::unique_ptr<PooledLink>>(Acquired)));
  const std::optional<Error> SetupError =
      co_await applySessionState(*Link, E.Values, E.Prepared, Limit);
  if (SetupError) {
    recordFailedAttempt(E, Id, "not-prepared");
    E.ServerGroup->observeFailure(Id, SetupError->Message);
    Link.drop();
  }
  co_return Link;
}

/// Records whether \p A shows that the statement was dispatched. A lagging
/// replica or a server in another role could not have run it, so its answer
/// does not count.
void recordDispatch(StatementContext &E, const Answer &A) {
  E.Dispatched = E.Dispatched || !A.Code || !isUnable(*A.Code);
}

std::string preparedName(const StatementContext &E) {
  return E.Prepared ? preparedStatementName(*E.Prepared) : std::string();
}

/// The primary that a statement may use, or the refusal of the statement.
using PrimaryOrRefusal = std::variant<BelievedPrimary, Answer>;

/// Returns the refusal of a statement that found no primary.
Answer refuseWithoutPrimary(PrimaryOutages &Outages, PrimaryNeed Need) {
  if (!Outages.isRefusing(Need))
    return refuseNotRun("no primary is known");
  return refuseNotRun("no usable primary for longer than a takeover takes",
                      TransactionState::Idle, Outages.countRefusal());
}

/// Waits for a believed primary that is not being avoided after a failure, for
/// as long as policy/PrimaryWait.h allows.
/// \param Need for a write, the primary must be one at which a write could be
/// reported as a success. Under an open takeover it could not.
QCoro::Task<PrimaryOrRefusal> awaitPrimary(StatementContext &E,
                                           PrimaryNeed Need) {
  PrimaryOutages &Outages = E.ServerGroup->outages();
  bool Waited = false;
  while (true) {
    const std::optional<BelievedPrimary> Leader = Outages.usablePrimary(Need);
    if (Leader) {
      // All statements that waited for the primary reach it at the same time.
      // They must not be refused because of the resulting queue.
      if (Waited)
        E.DispatchBy = E.Deadline;
      co_return PrimaryOrRefusal(*Leader);
    }
    // A refused statement asks as well, so that the end of an outage is noticed
    // early.
    E.ServerGroup->primaryWanted();
    const TimePoint Until = Outages.waitUntil(Need, E.Deadline);
    if (steadyNow() >= Until || !E.CallerPresent())
      co_return PrimaryOrRefusal(refuseWithoutPrimary(Outages, Need));
    Waited = true;
    co_await E.ServerGroup->primaryChanged().wait(
        std::min(Until, steadyNow() + PrimaryOutages::CheckInterval));
  }
}

TimePoint attemptDeadline(const StatementContext &E) {
  const Duration Left = E.Deadline - steadyNow();
  return steadyNow() +
         std::chrono::duration_cast<Duration>(Left * ReadAttemptShare);
}

} // namespace

Answer refuseNotRun(const std::string &Why, TransactionState State,
                    Duration After) {
  return failure(AnswerCode::Busy,
                 "not run; " + Why + "; retry-after-ms=" +
                     std::to_string(After / milliseconds(1)),
                 State);
}

ReadConstraint readConstraintFor(const StatementContext &E) {
  std::optional<LogPosition> Known;
  if (E.Route.Consistency != ReadConsistency::Primary)
    Known = E.ServerGroup->floorAsOf(floorTime(E.Route, E.ArrivedBoot));
  return chooseConstraint(E.Route, Known, E.SessionFloor);
}

namespace {

/// Returns whether a statement with \p Text goes to another entry VM.
bool isForwarded(const StatementContext &E, const std::string &Text,
                 const HomeQuery &Query) {
  if (!E.Forwarding || Text.size() > MaxForwardedTextBytes ||
      !E.CallerPresent())
    return false;
  const bool IsShared =
      Query.Role == HomeRole::AnyServer && E.ServerGroup->isOversubscribed();
  const StatementPlace Place = choosePlace(*E.Forwarding, Query, IsShared);
  if (Place == StatementPlace::OwnHome)
    E.ServerGroup->observeHomeUse();
  return isElsewhere(Place);
}

/// Lets the home of \p Query run \p S.
/// \param Constraint of a read; empty for a write.
QCoro::Task<ForwardResult> forwardStatement(Statement S, StatementContext &E,
                                            HomeQuery Query,
                                            ReadConstraint Constraint) {
  const TimePoint Now = steadyNow();
  ForwardedStatement Sent;
  Sent.Service = E.Route.Service;
  Sent.Query = std::move(S);
  Sent.Floor = Constraint.Floor;
  Sent.AtPrimary = Constraint.AtPrimary;
  Sent.Workspace = E.Workspace;
  Sent.Values = E.Values;
  Sent.Prepared = E.Prepared;
  Sent.Urgency = E.Route.Urgency;
  Sent.Remaining = E.Deadline - Now;
  Sent.DispatchIn = E.DispatchBy - Now;
  Sent.QueuedDispatchIn = E.QueuedDispatchBy - Now;
  const ForwardResult Out =
      co_await E.Forwarding->forward(std::move(Query), std::move(Sent));
  if (Out.Fate != ForwardFate::Answered) {
    recordFailedAttempt(E, ServerId("forwarder"), nameOf(Out.Fate));
    // As with a lost connection to a server, the statement may have run, and it
    // has the time up to its deadline.
    const bool MayHaveRun = Out.Fate == ForwardFate::Unknown;
    E.MayHaveRun = E.MayHaveRun || MayHaveRun;
    E.Dispatched = E.Dispatched || MayHaveRun;
    co_return Out;
  }
  const ForwardedAnswer &Given = Out.Given;
  E.Floor = Constraint.Floor;
  E.LastServer = Given.LastServer;
  E.Holder = Given.Holder;
  E.Forwarder = Given.Forwarder;
  E.Attempts += Given.Attempts;
  E.Dispatched = E.Dispatched || Given.Dispatched;
  E.Trail += E.Trail.empty() || Given.Trail.empty() ? "" : ",";
  E.Trail += Given.Trail;
  co_return Out;
}

} // namespace

QCoro::Task<ReadConstraint> awaitReadConstraint(StatementContext &E) {
  if (E.Route.Consistency != ReadConsistency::Primary)
    co_await E.ServerGroup->awaitFloor(floorTime(E.Route, E.ArrivedBoot),
                                       dispatchDeadline(E));
  co_return readConstraintFor(E);
}

QCoro::Task<Answer> runRead(Statement S, StatementContext &E) {
  const ReadConstraint Constraint = co_await awaitReadConstraint(E);
  const HomeQuery Query =
      homeQuery(E.ServerGroup->beliefs(), E.Route.Service, E.Workspace,
                Constraint.Floor && !Constraint.AtPrimary);
  if (isForwarded(E, S.Text, Query)) {
    const ForwardResult Out =
        co_await forwardStatement(S, E, Query, Constraint);
    if (Out.Fate == ForwardFate::Answered)
      co_return Out.Given.Given;
  }
  co_return co_await runReadHere(std::move(S), E, Constraint);
}

QCoro::Task<Answer> runReadHere(Statement S, StatementContext &E,
                                ReadConstraint Constraint) {
  std::set<ServerId> Tried;
  unsigned Failed = 0;
  unsigned Runs = E.MayHaveRun ? 1 : 0;
  Answer Refusal = refuseNotRun("no server accepted the statement");
  while (Runs < MaxReadExecutions && steadyNow() < dispatchDeadline(E) &&
         E.CallerPresent()) {
    std::optional<BelievedPrimary> Leader = E.ServerGroup->beliefs().primary();
    std::optional<ServerId> Id;
    if (Constraint.AtPrimary) {
      const PrimaryNeed Need =
          needOf(Access::Read, true, E.ServerGroup->commitsAreProofs());
      PrimaryOrRefusal Found = co_await awaitPrimary(E, Need);
      if (auto *Refused = std::get_if<Answer>(&Found)) {
        Refusal = std::move(*Refused);
        break;
      }
      Leader = std::get<BelievedPrimary>(Found);
      Id = Leader->Id;
    } else {
      Id = E.ServerGroup->chooseReader(E.Workspace, Constraint.Floor, Tried);
    }
    if (!Id) {
      Tried.clear();
      co_await sleepFor(RetryPause);
      continue;
    }
    E.Floor = Constraint.Floor;
    const TimePoint Limit = attemptDeadline(E);
    LinkLease Link = co_await leaseLink(E, *Id, Limit);
    if (!Link) {
      Tried.insert(*Id);
      if (Constraint.AtPrimary)
        co_await sleepFor(RetryPause);
      continue;
    }
    if (!E.CallerPresent())
      break;
    ++E.Attempts;
    E.LastServer = *Id;
    const TimePoint SentAt = bootNow();
    const TimePoint Sent = steadyNow();
    const InFlight Running(*E.ServerGroup, *Id);
    Result<Answer> R =
        co_await Link.link().run(S, Constraint.Floor, preparedName(E), Limit);
    if (!succeeded(R)) {
      recordFailedAttempt(E, *Id, "lost");
      E.Dispatched = true;
      E.ServerGroup->observeFailure(*Id, errorOf(R));
      Link.drop();
      Tried.insert(*Id);
      ++Runs;
      continue;
    }
    Answer A = valueOf(std::move(R));
    recordDispatch(E, A);
    Runs += A.Code && isNotRun(*A.Code) ? 0 : 1;
    if (A.Code == AnswerCode::UnknownStatement)
      Link.drop();
    Link.release();
    E.ServerGroup->observeAnswer(*Id, A, SentAt, Constraint.Floor);
    if (A.succeeded()) {
      E.ServerGroup->beliefs().observeLatency(*Id, steadyNow() - Sent,
                                              steadyNow());
      if (!Constraint.AtPrimary)
        co_return A;
      const bool Proved = co_await E.ServerGroup->awaitProof(
          Leader->TermNumber, E.ArrivedBoot, E.Deadline);
      if (Proved)
        co_return A;
      recordFailedAttempt(E, *Id, "not-proved");
      continue;
    }
    recordFailedAttempt(E, *Id, nameOf(*A.Code));
    Tried.insert(*Id);
    if (A.Code == AnswerCode::UnknownStatement) {
      Tried.erase(*Id);
    } else if (A.Code == AnswerCode::Lagging) {
      // The primary itself lacks the position only if a takeover has discarded
      // that part of the log.
      if (Leader && Leader->Id == *Id)
        Constraint = ReadConstraint{std::nullopt, true};
    } else if (!isNotRun(*A.Code) && Failed++ >= MaxReadFailures) {
      co_return A;
    }
    if (Constraint.AtPrimary)
      co_await sleepFor(RetryPause);
  }
  if (Runs == 0)
    co_return Refusal;
  if (steadyNow() >= E.Deadline)
    co_return failure(AnswerCode::Timeout, "read timed out");
  co_return failure(AnswerCode::Failed, "no server gave a usable answer");
}

QCoro::Task<Answer> confirmCommit(Answer A, BelievedPrimary Primary,
                                  TimePoint SentAt, StatementContext &E) {
  std::optional<std::string> Doubt;
  if (!E.ServerGroup->commitsAreProofs()) {
    const bool Proved = co_await E.ServerGroup->awaitProof(
        Primary.TermNumber, bootNow(), E.Deadline);
    if (!Proved)
      Doubt = "could not prove that the server was still the primary";
  } else if (A.Position) {
    const std::optional<ServerId> Holder = co_await E.ServerGroup->awaitHolder(
        *A.Position, Primary.Id, E.Deadline);
    if (Holder)
      E.Holder = *Holder;
    else
      Doubt = "no registered replica is known to hold the commit";
  }
  if (Doubt)
    co_return failure(AnswerCode::OutcomeUnknown, *Doubt);
  E.ServerGroup->observeCommit(Primary.Id, A, SentAt, E.Holder);
  co_return A;
}

QCoro::Task<Answer> runWrite(Statement S, StatementContext &E) {
  const HomeQuery Query =
      homeQuery(E.ServerGroup->beliefs(), E.Route.Service, E.Workspace, false);
  if (!isForwarded(E, S.Text, Query))
    co_return co_await runWriteHere(std::move(S), E);
  const TimePoint SentAt = bootNow();
  // g++ 12 destroys an aggregate temporary in a co_await expression twice.
  const ReadConstraint None;
  const ForwardResult Out = co_await forwardStatement(S, E, Query, None);
  switch (Out.Fate) {
  case ForwardFate::NotRun:
    co_return co_await runWriteHere(std::move(S), E);
  case ForwardFate::Unknown:
    co_return failure(AnswerCode::OutcomeUnknown, "the home gave no answer");
  case ForwardFate::Answered:
    break;
  }
  const Answer &A = Out.Given.Given;
  if (!A.succeeded())
    co_return A;
  // A takeover by this entry VM must keep the commit, like one by the home. The
  // home has awaited its holder unless its configuration differs.
  if (E.ServerGroup->commitsAreProofs() && A.Position && E.Holder.empty())
    co_return failure(AnswerCode::OutcomeUnknown,
                      "no registered replica is known to hold the commit");
  E.ServerGroup->observeCommit(E.LastServer, A, SentAt, E.Holder);
  co_return A;
}

QCoro::Task<Answer> runWriteHere(Statement S, StatementContext &E) {
  while (true) {
    const PrimaryNeed Need =
        needOf(Access::Write, false, E.ServerGroup->commitsAreProofs());
    PrimaryOrRefusal Found = co_await awaitPrimary(E, Need);
    if (auto *Refused = std::get_if<Answer>(&Found))
      co_return std::move(*Refused);
    const BelievedPrimary Leader = std::get<BelievedPrimary>(Found);
    LinkLease Link = co_await leaseLink(E, Leader.Id, E.Deadline);
    const bool OutOfTime =
        steadyNow() >= (Link ? E.Deadline : dispatchDeadline(E));
    if (!E.CallerPresent() || OutOfTime)
      co_return refuseNotRun("no connection in time");
    if (!Link) {
      co_await sleepFor(RetryPause);
      continue;
    }
    ++E.Attempts;
    E.LastServer = Leader.Id;
    const TimePoint SentAt = bootNow();
    const TimePoint Sent = steadyNow();
    const InFlight Running(*E.ServerGroup, Leader.Id);
    const PendingWrite Pending(*E.ServerGroup);
    Result<Answer> R =
        co_await Link.link().run(S, std::nullopt, preparedName(E), E.Deadline);
    if (!succeeded(R)) {
      recordFailedAttempt(E, Leader.Id, "lost");
      E.ServerGroup->observeFailure(Leader.Id, errorOf(R));
      Link.drop();
      co_return failure(AnswerCode::OutcomeUnknown, errorOf(R));
    }
    Answer A = valueOf(std::move(R));
    recordDispatch(E, A);
    E.ServerGroup->observeAnswer(Leader.Id, A, SentAt);
    if (A.succeeded()) {
      E.ServerGroup->beliefs().observeLatency(Leader.Id, steadyNow() - Sent,
                                              steadyNow());
      Link.release();
      co_return co_await confirmCommit(std::move(A), Leader, SentAt, E);
    }
    recordFailedAttempt(E, Leader.Id, nameOf(*A.Code));
    if (!isNotRun(*A.Code))
      co_return A;
    if (A.Code == AnswerCode::ReadOnly)
      E.ServerGroup->markNotPrimary(Leader.Id);
    if (A.Code == AnswerCode::UnknownStatement)
      Link.drop();
    Link.release();
    co_await sleepFor(RetryPause);
  }
}

QCoro::Task<std::variant<OpenTransaction, Answer>>
beginTransaction(Statement Begin, ReadConstraint Constraint,
                 StatementContext &E) {
  std::set<ServerId> Tried;
  Answer Refusal = refuseNotRun("no server could begin the transaction");
  while (steadyNow() < dispatchDeadline(E) && E.CallerPresent()) {
    std::optional<BelievedPrimary> Leader = E.ServerGroup->beliefs().primary();
    std::optional<ServerId> Id;
    if (Constraint.AtPrimary || Begin.Mode == Access::Write) {
      const PrimaryNeed Need = needOf(Begin.Mode, Constraint.AtPrimary,
                                      E.ServerGroup->commitsAreProofs());
      PrimaryOrRefusal Found = co_await awaitPrimary(E, Need);
      if (auto *Refused = std::get_if<Answer>(&Found)) {
        Refusal = std::move(*Refused);
        break;
      }
      Leader = std::get<BelievedPrimary>(Found);
      Id = Leader->Id;
    } else {
      Id = E.ServerGroup->chooseReader(E.Workspace, Constraint.Floor, Tried);
    }
    if (!Id) {
      Tried.clear();
      co_await sleepFor(RetryPause);
      continue;
    }
    E.Floor = Constraint.Floor;
    LinkLease Link = co_await leaseLink(E, *Id, attemptDeadline(E));
    if (!Link) {
      Tried.insert(*Id);
      co_await sleepFor(RetryPause);
      continue;
    }
    E.LastServer = *Id;
    const TimePoint SentAt = bootNow();
    const Result<Answer> R = co_await Link.link().run(Begin, Constraint.Floor,
                                                      "", attemptDeadline(E));
    if (!succeeded(R)) {
      recordFailedAttempt(E, *Id, "lost");
      E.ServerGroup->observeFailure(*Id, errorOf(R));
      Link.drop();
      Tried.insert(*Id);
      continue;
    }
    E.ServerGroup->observeAnswer(*Id, valueOf(R), SentAt, Constraint.Floor);
    if (valueOf(R).succeeded()) {
      OpenTransaction Begun;
      Begun.Link = std::move(Link);
      if (Leader && Leader->Id == *Id)
        Begun.LeaderTerm = Leader->TermNumber;
      Begun.NeedsProof = Constraint.AtPrimary;
      co_return std::variant<OpenTransaction, Answer>(std::move(Begun));
    }
    const AnswerCode Code = *valueOf(R).Code;
    recordFailedAttempt(E, *Id, nameOf(Code));
    Link.drop();
    Tried.insert(*Id);
    if (Code == AnswerCode::ReadOnly)
      E.ServerGroup->markNotPrimary(*Id);
    if (Code == AnswerCode::Lagging && Leader && Leader->Id == *Id)
      Constraint = ReadConstraint{std::nullopt, true};
    co_await sleepFor(RetryPause);
  }
  co_return std::variant<OpenTransaction, Answer>(std::move(Refusal));
}

} // namespace amaranthspur
