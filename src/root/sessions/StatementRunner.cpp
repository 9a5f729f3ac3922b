#include "root/sessions/StatementRunner.h"

#include "core/BootClock.h"

#include <algorithm>
#include <set>

namespace amaranthspur {
namespace {

/// Pause before another attempt when every server has refused; a statement
/// frees its slot after 28 ms on average.
constexpr Duration RefusedPause = milliseconds(15);
/// Share of the remaining time that one attempt of a read gets, so that a
/// silent connection leaves time for another server.
constexpr double ReadAttemptShare = 0.6;
/// Sends of one read at most that a server may have spent time on.
constexpr unsigned MaxReadRuns = 4;
/// Times that a read which ran and failed is run elsewhere.
constexpr unsigned MaxFailedReads = 1;

void note(StatementContext &E, const ServerId &Server, std::string_view What) {
  if (!E.Trail.empty())
    E.Trail += ',';
  E.Trail += Server.str();
  E.Trail += ':';
  E.Trail += What;
}

/// Counts a statement as running on a server while it lives.
class InFlight {
public:
  InFlight(Group &Servers, ServerId Id) : Servers(Servers), Id(std::move(Id)) {
    this->Servers.beliefs().addInFlight(this->Id, 1);
  }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;
  ~InFlight() { this->Servers.beliefs().addInFlight(this->Id, -1); }

private:
  Group &Servers;
  ServerId Id;
};

/// Returns until when a server may be looked for: a statement that was offered
/// once may use its whole time.
TimePoint searchDeadline(const StatementContext &E) {
  return E.Offered ? E.Deadline : std::min(E.OfferBy, E.Deadline);
}

/// Takes a connection to \p Id while a server may be looked for, and brings it
/// to the session by \p Limit.
QCoro::Task<BorrowedLink> borrow(StatementContext &E, ServerId Id,
                                 TimePoint Limit) {
  const std::shared_ptr<ServerPool> Pool = E.Servers->pool(Id);
  if (!Pool) {
    note(E, Id, "gone");
    co_return BorrowedLink();
  }
  if (Pool->isMoving(steadyNow()))
    E.OfferBy = std::max(E.OfferBy, E.HoldBy);
  TakenLink Taken = co_await Pool->take(E.Values, E.Route.Urgency,
                                        std::min(Limit, searchDeadline(E)));
  if (const auto *Failure = std::get_if<OpenFailure>(&Taken)) {
    const bool Full = Failure->Code == AnswerCode::TooManyConnections;
    note(E, Id, Full ? "no-connection" : "unreachable");
    E.Servers->openFailed(Id, *Failure);
    co_return BorrowedLink();
  }
  BorrowedLink Link(Id, Pool,
                    std::move(std::get<std::unique_ptr<PooledLink>>(Taken)));
  const std::optional<Error> Mistake =
      co_await prepareFor(*Link, E.Values, E.Prepared, Limit);
  if (Mistake) {
    note(E, Id, "not-prepared");
    E.Servers->failed(Id, Mistake->Message);
    Link.drop();
  }
  co_return Link;
}

/// Takes in the answer to a statement that was sent. A replica that lags, or a
/// server in another role, could not have run it: that was no offer.
void noteOffer(StatementContext &E, const Answer &A) {
  E.Offered = E.Offered || !A.Code || !isUnable(*A.Code);
}

std::string preparedName(const StatementContext &E) {
  return E.Prepared ? sharedName(*E.Prepared) : std::string();
}

/// Waits until a primary with a known term is believed in and not avoided.
QCoro::Task<std::optional<BelievedPrimary>> awaitPrimary(StatementContext &E,
                                                         bool NeedTerm) {
  bool Waited = false;
  while (true) {
    const GroupBeliefs &Beliefs = E.Servers->beliefs();
    const std::optional<BelievedPrimary> Leader = Beliefs.primary();
    const bool Usable =
        Leader && (!NeedTerm || Leader->TermNumber != 0) &&
        !Beliefs.avoided(*Beliefs.find(Leader->Id), steadyNow());
    if (Usable) {
      // What waited for a primary is not refused for the crowd that meets it.
      if (Waited)
        E.OfferBy = E.Deadline;
      co_return Leader;
    }
    if (steadyNow() >= E.Deadline || !E.CallerPresent())
      co_return std::nullopt;
    // A takeover is shorter than a caller's tries together, and every entry VM
    // would refuse alike: what waits is served, late, when it is over.
    Waited = true;
    E.Servers->watchWake().wake();
    co_await E.Servers->primaryChanged().wait(std::min(
        E.Deadline, steadyNow() + GroupBeliefs::AvoidAfterFailure / 4));
  }
}

/// Returns the server for the next attempt of a read, or nothing if all were
/// tried.
std::optional<ServerId> nextServer(const StatementContext &E,
                                   const ReadGuard &Guard,
                                   const std::set<ServerId> &Tried) {
  for (const ServerId &Id :
       E.Servers->beliefs().readOrder(Guard.Floor, steadyNow()))
    if (Tried.count(Id) == 0)
      return Id;
  return std::nullopt;
}

TimePoint attemptDeadline(const StatementContext &E) {
  const Duration Left = E.Deadline - steadyNow();
  return steadyNow() +
         std::chrono::duration_cast<Duration>(Left * ReadAttemptShare);
}

} // namespace

Answer refuseNotRun(const std::string &Why, TransactionState State) {
  return failure(AnswerCode::Busy,
                 "not run; " + Why + "; retry-after-ms=" +
                     std::to_string(RetryAfter / milliseconds(1)),
                 State);
}

ReadGuard guardOf(const StatementContext &E) {
  ReadGuard Guard;
  if (E.Route.Consistency == ReadConsistency::Primary) {
    Guard.AtPrimary = true;
    return Guard;
  }
  Guard.Floor = E.Servers->floorAsOf(E.ArrivedBoot - E.Route.MaxStaleness +
                                     StalenessMargin);
  if (!Guard.Floor) {
    Guard.AtPrimary = true;
    return Guard;
  }
  if (E.Route.Consistency == ReadConsistency::ReadYourWrites && E.SessionFloor)
    Guard.Floor = std::max(*Guard.Floor, *E.SessionFloor);
  return Guard;
}

QCoro::Task<Answer> runRead(Statement S, StatementContext &E) {
  ReadGuard Guard = guardOf(E);
  std::set<ServerId> Tried;
  unsigned Failed = 0;
  unsigned Runs = 0;
  while (Runs < MaxReadRuns && steadyNow() < searchDeadline(E) &&
         E.CallerPresent()) {
    std::optional<BelievedPrimary> Leader = E.Servers->beliefs().primary();
    std::optional<ServerId> Id;
    if (Guard.AtPrimary) {
      Leader = co_await awaitPrimary(E, true);
      if (Leader)
        Id = Leader->Id;
    } else {
      Id = nextServer(E, Guard, Tried);
    }
    if (!Id) {
      if (Guard.AtPrimary)
        break;
      Tried.clear();
      co_await sleepFor(RefusedPause);
      continue;
    }
    E.Floor = Guard.Floor;
    const TimePoint Limit = attemptDeadline(E);
    BorrowedLink Link = co_await borrow(E, *Id, Limit);
    if (!Link) {
      Tried.insert(*Id);
      if (Guard.AtPrimary)
        co_await sleepFor(RefusedPause);
      continue;
    }
    if (!E.CallerPresent())
      break;
    ++E.Attempts;
    E.LastServer = *Id;
    const TimePoint SentAt = bootNow();
    const TimePoint Sent = steadyNow();
    const InFlight Running(*E.Servers, *Id);
    Result<Answer> R =
        co_await Link.wire().run(S, Guard.Floor, preparedName(E), Limit);
    if (!succeeded(R)) {
      note(E, *Id, "lost");
      E.Offered = true;
      E.Servers->failed(*Id, errorOf(R));
      Link.drop();
      Tried.insert(*Id);
      ++Runs;
      continue;
    }
    Answer A = valueOf(std::move(R));
    noteOffer(E, A);
    Runs += A.Code && isNotRun(*A.Code) ? 0 : 1;
    if (A.Code == AnswerCode::UnknownStatement)
      Link.drop();
    Link.giveBack();
    E.Servers->answered(*Id, A, SentAt);
    if (A.succeeded()) {
      E.Servers->beliefs().observeLatency(*Id, steadyNow() - Sent, steadyNow());
      if (!Guard.AtPrimary)
        co_return A;
      const bool Proved = co_await E.Servers->proved(Leader->TermNumber,
                                                     E.ArrivedBoot, E.Deadline);
      if (Proved)
        co_return A;
      note(E, *Id, "not-proved");
      continue;
    }
    note(E, *Id, nameOf(*A.Code));
    Tried.insert(*Id);
    if (A.Code == AnswerCode::UnknownStatement) {
      Tried.erase(*Id);
    } else if (A.Code == AnswerCode::Lagging) {
      // The primary itself lacks the position only if a takeover undid it.
      if (Leader && Leader->Id == *Id)
        Guard = ReadGuard{std::nullopt, true};
    } else if (!isNotRun(*A.Code) && Failed++ >= MaxFailedReads) {
      co_return A;
    }
    if (Guard.AtPrimary)
      co_await sleepFor(RefusedPause);
  }
  if (Runs == 0)
    co_return refuseNotRun("no server could be used");
  if (steadyNow() >= E.Deadline)
    co_return failure(AnswerCode::Timeout, "read ran out of time");
  co_return failure(AnswerCode::Failed, "no server gave a usable answer");
}

QCoro::Task<Answer> runWrite(Statement S, StatementContext &E) {
  while (true) {
    const bool NeedsProof = !E.Servers->commitsAreProofs();
    const std::optional<BelievedPrimary> Leader =
        co_await awaitPrimary(E, NeedsProof);
    if (!Leader)
      co_return refuseNotRun("no primary is known");
    BorrowedLink Link = co_await borrow(E, Leader->Id, E.Deadline);
    const bool OutOfTime =
        steadyNow() >= (Link ? E.Deadline : searchDeadline(E));
    if (!E.CallerPresent() || OutOfTime)
      co_return refuseNotRun("no connection in time");
    if (!Link) {
      co_await sleepFor(RefusedPause);
      continue;
    }
    ++E.Attempts;
    E.LastServer = Leader->Id;
    const TimePoint SentAt = bootNow();
    const TimePoint Sent = steadyNow();
    const InFlight Running(*E.Servers, Leader->Id);
    const auto Pending = E.Servers->pendingWrites().insert(Sent);
    Result<Answer> R =
        co_await Link.wire().run(S, std::nullopt, preparedName(E), E.Deadline);
    E.Servers->pendingWrites().erase(Pending);
    if (!succeeded(R)) {
      note(E, Leader->Id, "lost");
      E.Servers->failed(Leader->Id, errorOf(R));
      Link.drop();
      co_return failure(AnswerCode::OutcomeUnknown, errorOf(R));
    }
    Answer A = valueOf(std::move(R));
    noteOffer(E, A);
    E.Servers->answered(Leader->Id, A, SentAt);
    if (A.succeeded()) {
      E.Servers->beliefs().observeLatency(Leader->Id, steadyNow() - Sent,
                                          steadyNow());
      bool Kept = true;
      if (NeedsProof)
        Kept = co_await E.Servers->proved(Leader->TermNumber, bootNow(),
                                          E.Deadline);
      if (!Kept)
        co_return failure(AnswerCode::OutcomeUnknown, "primary not proved");
      E.Servers->committed(Leader->Id, A, SentAt);
      co_return A;
    }
    note(E, Leader->Id, nameOf(*A.Code));
    if (!isNotRun(*A.Code))
      co_return A;
    if (A.Code == AnswerCode::ReadOnly)
      E.Servers->markNotPrimary(Leader->Id);
    if (A.Code == AnswerCode::UnknownStatement)
      Link.drop();
    Link.giveBack();
    co_await sleepFor(RefusedPause);
  }
}

QCoro::Task<std::variant<OpenTransaction, Answer>>
beginTransaction(Statement Begin, ReadGuard Guard, StatementContext &E) {
  std::set<ServerId> Tried;
  while (steadyNow() < searchDeadline(E) && E.CallerPresent()) {
    std::optional<BelievedPrimary> Leader = E.Servers->beliefs().primary();
    std::optional<ServerId> Id;
    if (Guard.AtPrimary || Begin.Mode == Access::Write) {
      Leader = co_await awaitPrimary(E, Guard.AtPrimary ||
                                            !E.Servers->commitsAreProofs());
      if (!Leader)
        break;
      Id = Leader->Id;
    } else {
      Id = nextServer(E, Guard, Tried);
    }
    if (!Id) {
      Tried.clear();
      co_await sleepFor(RefusedPause);
      continue;
    }
    E.Floor = Guard.Floor;
    BorrowedLink Link = co_await borrow(E, *Id, attemptDeadline(E));
    if (!Link) {
      Tried.insert(*Id);
      co_await sleepFor(RefusedPause);
      continue;
    }
    E.LastServer = *Id;
    const TimePoint SentAt = bootNow();
    const Result<Answer> R =
        co_await Link.wire().run(Begin, Guard.Floor, "", attemptDeadline(E));
    if (!succeeded(R)) {
      note(E, *Id, "lost");
      E.Servers->failed(*Id, errorOf(R));
      Link.drop();
      Tried.insert(*Id);
      continue;
    }
    E.Servers->answered(*Id, valueOf(R), SentAt);
    if (valueOf(R).succeeded()) {
      OpenTransaction Begun;
      Begun.Link = std::move(Link);
      if (Leader && Leader->Id == *Id)
        Begun.LeaderTerm = Leader->TermNumber;
      Begun.NeedsProof = Guard.AtPrimary;
      co_return std::variant<OpenTransaction, Answer>(std::move(Begun));
    }
    const AnswerCode Code = *valueOf(R).Code;
    note(E, *Id, nameOf(Code));
    Link.drop();
    Tried.insert(*Id);
    if (Code == AnswerCode::ReadOnly)
      E.Servers->markNotPrimary(*Id);
    if (Code == AnswerCode::Lagging && Leader && Leader->Id == *Id)
      Guard = ReadGuard{std::nullopt, true};
    co_await sleepFor(RefusedPause);
  }
  co_return std::variant<OpenTransaction, Answer>(
      refuseNotRun("no server could begin the transaction"));
}

} // namespace amaranthspur
