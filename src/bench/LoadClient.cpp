#include "bench/LoadClient.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

namespace amaranthspur::bench {
namespace {

/// Delay after a failed connection attempt before the next entry VM is tried.
constexpr Duration ReconnectDelay = milliseconds(50);
/// Timeout of one connection attempt, including the start-up exchange.
constexpr Duration ConnectTimeout = milliseconds(1000);
/// A caller waits for an answer until this long after its deadline, so that it
/// still receives a refusal that is sent at the deadline.
constexpr Duration AnswerGracePeriod = milliseconds(1500);

std::string quoted(const std::string &Text) { return "'" + Text + "'"; }

std::string insertStatement(const Operation &Op, unsigned Part) {
  return "INSERT INTO bench_rows(operation, session, sequence, part) VALUES (" +
         quoted(Op.Id) + ", " + quoted(Op.Session) + ", " +
         std::to_string(Op.Sequence) + ", " + std::to_string(Part) +
         ") RETURNING operation";
}

std::string readStatement(const Operation &Op) {
  return "SELECT " + quoted(Op.Id) +
         ", COALESCE(MAX(sequence), 0) FROM bench_rows WHERE session = " +
         quoted(Op.Session);
}

std::string workStatement(const Operation &Op, Duration Length) {
  // The column name gives statements of different lengths different shapes, as
  // in a caller's program, because the daemon learns statement lengths by
  // shape.
  const std::string Ms = std::to_string(Length / milliseconds(1));
  return "SELECT " + quoted(Op.Id) + ", sim_work(" + Ms + ") AS work_" + Ms;
}

std::uint64_t parseCount(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

struct LoadClient::Session {
  const CallerLoad &Load;
  std::string Name;
  Random Rng;
  std::size_t Entry;
  TimePoint LastArrival;
  std::string Token;
  std::unique_ptr<CallerConnection> Conn;
  std::uint64_t Operations = 0;
  std::uint64_t Sequence = 0;
  WaitPoint Pause; ///< Waits for the next arrival; stop() wakes it.
};

LoadClient::LoadClient(LoadPlan RequestedPlan)
    : Plan(std::move(RequestedPlan)) {
  for (const RatePhase &Phase : this->Plan.Phases)
    this->MaxFactor = std::max(this->MaxFactor, Phase.Factor);
  std::size_t Number = 0;
  for (const CallerLoad &Load : this->Plan.Callers)
    for (unsigned I = 0; I < Load.Sessions; ++I, ++Number)
      this->Sessions.push_back(std::unique_ptr<Session>(
          new Session{Load,
                      this->Plan.Prefix + std::to_string(Number),
                      Random(this->Plan.Seed * 1000003 + Number),
                      I % Load.Entries.size(),
                      TimePoint(),
                      {},
                      nullptr,
                      0,
                      0,
                      {}}));
}

LoadClient::~LoadClient() = default;

QCoro::Task<> LoadClient::run() {
  this->Start = steadyNow() + this->Plan.ConnectTime;
  this->End = this->Start + this->Plan.Length;
  this->ActiveSessions = this->Sessions.size();
  for (const auto &S : this->Sessions)
    this->runSession(*S);
  while (this->ActiveSessions > 0)
    co_await this->AllSessionsEnded.wait();
}

void LoadClient::stop() {
  this->Stopping = true;
  for (const auto &S : this->Sessions)
    S->Pause.wake();
}

QCoro::Task<> LoadClient::runSession(Session &S) {
  // Connection attempts are spread over the first half of ConnectTime, because
  // a backend server takes about 12 ms to open a connection.
  const auto Spread = static_cast<std::int64_t>(
      S.Rng.unit() * static_cast<double>(this->Plan.ConnectTime.count()) / 2);
  co_await S.Pause.wait(steadyNow() + Duration(Spread));
  co_await this->connect(S, this->Start);
  S.LastArrival = this->Start;
  for (;;) {
    const TimePoint Intended = this->nextArrival(S);
    if (Intended >= this->End)
      break;
    S.LastArrival = Intended;
    if (Intended > steadyNow())
      co_await S.Pause.wait(Intended);
    if (this->Stopping)
      break;
    Operation Op = this->drawOperation(S, Intended);
    co_await this->runOperation(S, Op);
    this->Recorded.Operations.push_back(std::move(Op));
  }
  S.Conn.reset();
  if (--this->ActiveSessions == 0)
    this->AllSessionsEnded.wake();
}

TimePoint LoadClient::nextArrival(Session &S) const {
  if (S.Load.RatePerSecond <= 0) {
    // The first operation of each closed-loop session starts at a random time
    // within one think time.
    if (S.Operations == 0)
      return this->Start +
             Duration(static_cast<std::int64_t>(
                 S.Rng.unit() * static_cast<double>(S.Load.ThinkTime.count())));
    return steadyNow() + S.Load.ThinkTime;
  }
  // Thinning: candidate arrivals are drawn at the plan's highest rate, and each
  // is kept with the probability of its current rate over the highest rate.
  const double PeakPerMicrosecond =
      S.Load.RatePerSecond * this->MaxFactor / S.Load.Sessions / 1e6;
  TimePoint At = S.LastArrival;
  do {
    const double Gap = -std::log(1 - S.Rng.unit()) / PeakPerMicrosecond;
    At += Duration(static_cast<std::int64_t>(Gap) + 1);
  } while (At < this->End &&
           S.Rng.unit() * this->MaxFactor >= this->rateFactorAt(At));
  return At;
}

double LoadClient::rateFactorAt(TimePoint When) const {
  double Factor = 1;
  for (const RatePhase &Phase : this->Plan.Phases)
    if (When >= this->Start + Phase.Since)
      Factor = Phase.Factor;
  return Factor;
}

Operation LoadClient::drawOperation(Session &S, TimePoint Intended) const {
  Operation Op;
  Op.Id = S.Name + "." + std::to_string(++S.Operations);
  Op.Caller = S.Load.Caller;
  Op.Service = S.Load.Service;
  Op.Session = S.Name;
  Op.Intended = Intended;
  const auto Mark = S.Load.Settings.find("amaranthspur.repeatable");
  if (Mark != S.Load.Settings.end())
    Op.Repeatability =
        parseName<Repeatable>(Mark->second).value_or(Repeatable::Off);
  const unsigned Total =
      std::accumulate(S.Load.Mix.begin(), S.Load.Mix.end(), 0U);
  std::uint64_t Pick = S.Rng.below(Total);
  std::size_t Index = 0;
  while (Pick >= S.Load.Mix[Index])
    Pick -= S.Load.Mix[Index++];
  Op.Kind = EnumNames<OperationKind>::Entries[Index].first;
  if (writesRows(Op.Kind) || Op.Kind == OperationKind::Rollback)
    Op.Sequence = ++S.Sequence;
  return Op;
}

void LoadClient::maybeSwitchEntryVm(Session &S) const {
  if (S.Load.Entries.size() < 2 || S.Rng.unit() >= S.Load.RoamShare)
    return;
  S.Entry = (S.Entry + 1 + S.Rng.below(S.Load.Entries.size() - 1)) %
            S.Load.Entries.size();
  S.Conn.reset();
}

QCoro::Task<> LoadClient::runOperation(Session &S, Operation &Op) {
  const TimePoint Deadline = Op.Intended + S.Load.Deadline;
  if (steadyNow() < Deadline) {
    this->maybeSwitchEntryVm(S);
    const bool Connected = co_await this->connect(S, Deadline);
    Op.EntryVm = S.Load.Entries[S.Entry].Name;
    if (Connected) {
      Op.Sent = steadyNow();
      co_await this->perform(S, Op, Deadline + AnswerGracePeriod);
    }
  }
  Op.Answered = steadyNow();
}

QCoro::Task<bool> LoadClient::connect(Session &S, TimePoint Deadline) {
  while (!this->Stopping) {
    if (S.Conn && S.Conn->usable())
      co_return true;
    S.Conn.reset();
    std::map<std::string, std::string> Parameters = S.Load.Settings;
    Parameters["user"] = S.Load.Caller.str();
    Parameters["database"] = S.Load.Service.str();
    if (!S.Token.empty())
      Parameters["amaranthspur.session"] = S.Token;
    const Address To = S.Load.Entries[S.Entry].At;
    const TimePoint Limit = std::min(Deadline, steadyNow() + ConnectTimeout);
    auto Opened =
        co_await CallerConnection::open(To, S.Load.BindHost, Parameters, Limit);
    if (succeeded(Opened)) {
      S.Conn = std::move(valueOf(Opened));
      continue;
    }
    S.Entry = (S.Entry + 1) % S.Load.Entries.size();
    if (steadyNow() + ReconnectDelay >= Deadline)
      co_return false;
    co_await sleepFor(ReconnectDelay);
  }
  co_return false;
}

QCoro::Task<> LoadClient::perform(Session &S, Operation &Op,
                                  TimePoint Deadline) {
  switch (Op.Kind) {
  case OperationKind::Read:
    co_await this->send(S, Op, readStatement(Op), Deadline);
    break;
  case OperationKind::Write:
    co_await this->send(S, Op, insertStatement(Op, 0), Deadline);
    break;
  case OperationKind::Work:
    co_await this->send(S, Op, workStatement(Op, S.Load.WorkLength), Deadline);
    break;
  case OperationKind::Transaction:
  case OperationKind::Rollback:
    co_await this->performTransaction(S, Op, Deadline);
    break;
  }
  // A connection without an answer cannot be used again, and its entry VM may
  // have failed.
  if (S.Conn && !S.Conn->usable()) {
    S.Conn.reset();
    S.Entry = (S.Entry + 1) % S.Load.Entries.size();
  }
}

QCoro::Task<> LoadClient::performTransaction(Session &S, Operation &Op,
                                             TimePoint Deadline) {
  const std::string Body[] = {"BEGIN", insertStatement(Op, 1),
                              insertStatement(Op, 2)};
  for (const std::string &Sql : Body) {
    const bool Good = co_await this->send(S, Op, Sql, Deadline);
    if (Good)
      continue;
    // No COMMIT was sent, so the transaction must leave no rows.
    Op.Outcome = OperationOutcome::RolledBack;
    if (S.Conn->usable())
      S.Conn.reset();
    co_return;
  }
  if (Op.Kind == OperationKind::Rollback) {
    co_await this->send(S, Op, "ROLLBACK", Deadline);
    Op.Outcome = OperationOutcome::RolledBack;
    co_return;
  }
  co_await this->send(S, Op, "COMMIT", Deadline);
}

QCoro::Task<bool> LoadClient::send(Session &S, Operation &Op, std::string Sql,
                                   TimePoint Deadline) {
  Op.Statement = Sql;
  const Answer Reply = co_await S.Conn->query(std::move(Sql), Deadline);
  S.Token = S.Conn->token().empty() ? S.Token : S.Conn->token();
  recordAnswer(Op, Reply);
  co_return Op.Outcome == OperationOutcome::Acknowledged;
}

void LoadClient::recordAnswer(Operation &Op, const Answer &Reply) {
  if (Reply.End == AnswerEnd::Refused) {
    Op.SqlState = Reply.Refusal.SqlState;
    Op.Message = Reply.Refusal.Message;
    Op.Outcome = outcomeOfRefusal(Op.SqlState, Op.Message);
    return;
  }
  if (Reply.End != AnswerEnd::Complete) {
    Op.Message = nameOf(Reply.End);
    Op.Outcome = OperationOutcome::Unknown;
    return;
  }
  ++Op.Statements;
  Op.Outcome = OperationOutcome::Acknowledged;
  // PostgreSQL answers the COMMIT of a failed transaction with ROLLBACK.
  if (Op.Statement == "COMMIT" && Reply.Tag == "ROLLBACK")
    Op.Outcome = OperationOutcome::RolledBack;
  for (const auto &Row : Reply.Rows) {
    if (!Row.empty())
      Op.Echoes.push_back(Row.front().value_or(""));
    if (Op.Kind == OperationKind::Read && Row.size() > 1)
      Op.SeenSequence = parseCount(Row[1].value_or("0"));
  }
}

} // namespace amaranthspur::bench
