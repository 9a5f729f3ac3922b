#include "testing/line-group/LineGroup.h"

#include "core/Async.h"

#include <algorithm>

namespace amaranthspur::linegroup {
namespace {

Result<Answer> toResult(Answer A) { return Result<Answer>(std::move(A)); }

/// A connection to one server of the group.
class GroupLink final : public ServerLink {
public:
  GroupLink(LineGroup &Group, FakeServer &To, WorkspaceName For)
      : Group(Group), To(To), For(std::move(For)) {}

  QCoro::Task<Result<Answer>> run(Statement S, std::optional<LogPosition> Floor,
                                  std::string PreparedName,
                                  TimePoint Deadline) override {
    if (this->To.RunDelay > Duration::zero())
      co_await sleepFor(this->To.RunDelay);
    co_return this->execute(S, Floor, PreparedName, Deadline);
  }
  QCoro::Task<Result<Answer>> rollback(TimePoint) override {
    this->State = TransactionState::Idle;
    this->Wrote = this->ReadOnly = false;
    co_return this->acknowledge();
  }
  QCoro::Task<Result<Answer>> set(std::string Name, std::string Value,
                                  TimePoint Deadline) override {
    const TimePoint Done = steadyNow() + this->To.SetDelay;
    if (this->To.SetDelay > Duration::zero())
      co_await sleepFor(std::min(Done, Deadline) - steadyNow());
    if (Done > Deadline)
      co_return Error{"no answer in time"};
    this->Values[Name] = Value;
    co_return this->acknowledge();
  }
  QCoro::Task<Result<Answer>> prepare(std::string Name, Access, std::string,
                                      TimePoint) override {
    this->Prepared.insert(Name);
    co_return this->acknowledge();
  }
  QCoro::Task<Result<Answer>> reset(TimePoint) override {
    this->Values.clear();
    this->Prepared.clear();
    co_return this->acknowledge();
  }
  QCoro::Task<Result<StatusAnswer>> status(TimePoint) override {
    co_return this->report();
  }
  QCoro::Task<Result<StatusAnswer>> pause(Term T, TimePoint) override {
    if (T > this->To.Adopted)
      this->To.Adopted = T;
    const Result<StatusAnswer> Reported = this->report();
    if (this->To.LosesAdoptedTerm)
      this->To.Adopted = this->To.TermNumber;
    co_return Reported;
  }
  QCoro::Task<Result<StatusAnswer>> resume(TimePoint) override {
    this->To.Adopted = this->To.TermNumber;
    this->Group.replicateAll();
    co_return this->report();
  }
  QCoro::Task<Result<StatusAnswer>> stepDown(Term T, TimePoint) override {
    if (T > this->To.TermNumber)
      this->To.Role = ServerRole::Replica;
    co_return this->report();
  }

  bool isUsable() const override { return !this->Broken && this->To.Reachable; }
  void abort() override { this->Broken = true; }

private:
  /// Returns the success answer to a statement that the proxy itself issues.
  Result<Answer> acknowledge() {
    if (!this->isUsable())
      return Error{"connection to server lost"};
    return toResult(this->withSessionState(success(this->State)));
  }

  /// Fills in the transaction state and the log position of \p A.
  Answer withSessionState(Answer A) {
    A.State = this->State;
    A.Position =
        this->To.Role == ServerRole::Primary ? this->To.Log : this->To.Applied;
    return A;
  }

  Result<StatusAnswer> report() {
    if (!this->isUsable())
      return Error{"connection to server lost"};
    ++this->To.StatusRequests;
    ServerReport Report;
    Report.Role = this->To.Role;
    Report.TermNumber = this->To.TermNumber;
    Report.Received = this->To.Log;
    Report.AdoptedTerm = this->To.Adopted;
    return Result<StatusAnswer>(StatusAnswer(Report));
  }

  Result<Answer> execute(const Statement &S, std::optional<LogPosition> Floor,
                         const std::string &PreparedName, TimePoint) {
    if (!this->isUsable())
      return Error{"connection to server lost"};
    if (std::optional<AnswerCode> Refused =
            this->refusal(S, Floor, PreparedName)) {
      if (this->State == TransactionState::InTransaction)
        this->State = TransactionState::Failed;
      return toResult(this->withSessionState(failure(*Refused, "refused")));
    }
    std::string Setting;
    for (const auto &[Name, Value] : this->Values)
      Setting.append(Name).append("=").append(Value).append(" ");
    this->To.ExecutedStatements.push_back(Setting + S.Text);
    this->To.ExecutedFor.push_back(this->For.str());
    this->Wrote = this->Wrote || S.Kind == StatementVerb::Write;
    if (S.Kind == StatementVerb::Begin) {
      this->State = TransactionState::InTransaction;
      this->ReadOnly = S.Mode == Access::Read;
    } else if (S.Kind == StatementVerb::Rollback) {
      this->State = TransactionState::Idle;
      this->Wrote = false;
    }
    const bool Ends = S.Kind == StatementVerb::Commit ||
                      this->State == TransactionState::Idle;
    const bool Commits =
        Ends && std::exchange(this->Wrote, Ends ? false : this->Wrote);
    if (S.Kind == StatementVerb::Commit)
      this->State = TransactionState::Idle;
    this->ReadOnly =
        this->ReadOnly && this->State == TransactionState::InTransaction;
    if (Commits && !this->Group.commit(this->To.Id.str())) {
      this->Broken = true;
      return Error{"no answer in time"};
    }
    if (this->To.Fault == LinkFault::LoseAnswer) {
      this->Broken = true;
      return Error{"connection to server lost"};
    }
    if (this->To.Fault == LinkFault::Fail)
      return toResult(
          this->withSessionState(failure(AnswerCode::Failed, "failed")));
    Answer A = success(this->State);
    A.Detail = "digest:" + S.Text;
    return toResult(this->withSessionState(A));
  }

  /// Returns the code with which the server refuses \p S; nothing if it runs
  /// the statement.
  std::optional<AnswerCode> refusal(const Statement &S,
                                    std::optional<LogPosition> Floor,
                                    const std::string &PreparedName) const {
    if (this->To.Fault == LinkFault::Busy)
      return AnswerCode::Busy;
    if (S.Kind == StatementVerb::Execute &&
        this->Prepared.count(PreparedName) == 0)
      return AnswerCode::UnknownStatement;
    const bool Replica = this->To.Role == ServerRole::Replica;
    const bool NeedsPrimary =
        S.Kind == StatementVerb::Write ||
        (S.Kind == StatementVerb::Begin && S.Mode == Access::Write);
    const bool Forbidden = this->ReadOnly && S.Kind == StatementVerb::Write;
    if ((Replica && NeedsPrimary) || Forbidden)
      return AnswerCode::ReadOnly;
    const LogPosition Seen = Replica ? this->To.Applied : this->To.Log;
    if (Floor && Seen < *Floor)
      return AnswerCode::Lagging;
    return std::nullopt;
  }

  LineGroup &Group;
  FakeServer &To;
  WorkspaceName For;
  TransactionState State = TransactionState::Idle;
  std::map<std::string, std::string> Values;
  std::set<std::string> Prepared;
  bool Wrote = false;
  bool ReadOnly = false; ///< Whether the open transaction is read-only.
  bool Broken = false;
};

} // namespace

LineGroup::LineGroup() {
  for (const char *Id : {"a", "b", "c"}) {
    FakeServer &S = this->Servers[Id];
    S.Id = ServerId(Id);
    S.Log = S.Applied = {1, 1};
  }
  this->Servers["a"].Role = ServerRole::Primary;
}

std::vector<RegisteredServer> LineGroup::registrations() const {
  std::vector<RegisteredServer> List;
  std::uint16_t Port = 1;
  for (const auto &[Id, S] : this->Servers) {
    RegisteredServer R;
    R.Id = S.Id;
    R.Service = ServiceName("ledger");
    R.At = {"127.0.0.1", Port++};
    R.Location = DataCentre("here");
    R.Role = S.Role;
    R.Draining = S.Draining;
    R.Version = StoreVersion(Port);
    List.push_back(R);
  }
  return List;
}

void LineGroup::promote(const std::string &Id) {
  // The platform counts the terms that were led, not those that were adopted.
  Term Next = 0;
  for (const auto &[Other, S] : this->Servers)
    Next = std::max(Next, S.TermNumber + 1);
  FakeServer &Target = this->Servers.at(Id);
  Target.Role = ServerRole::Primary;
  Target.TermNumber = Target.Adopted = Next;
  ++Target.Log.Index;
  Target.Log.TermNumber = Next;
  this->replicate(Id);
}

bool LineGroup::commit(const std::string &Id) {
  FakeServer &Primary = this->Servers.at(Id);
  if (Primary.Role != ServerRole::Primary)
    return false;
  ++Primary.Log.Index;
  Primary.Log.TermNumber = Primary.TermNumber;
  this->replicate(Id);
  unsigned Holders = 0;
  for (const auto &[Other, S] : this->Servers)
    Holders += Other != Id && S.Log == Primary.Log ? 1 : 0;
  return Holders >= this->SyncReplicas;
}

void LineGroup::replicate(const std::string &Id) {
  const FakeServer &Primary = this->Servers.at(Id);
  for (auto &[Other, S] : this->Servers) {
    const bool Receives = Other != Id && S.Reachable && !S.ReplicationStopped &&
                          S.Role == ServerRole::Replica &&
                          S.Adopted <= Primary.TermNumber;
    if (!Receives)
      continue;
    S.TermNumber = S.Adopted = Primary.TermNumber;
    S.Log = Primary.Log;
    if (!S.Lags)
      S.Applied = S.Log;
  }
}

void LineGroup::replicateAll() {
  for (const auto &[Id, S] : this->Servers)
    if (S.Role == ServerRole::Primary)
      this->replicate(Id);
}

QCoro::Task<OpenedLink> LineGroup::open(RegisteredServer To, WorkspaceName For,
                                        TimePoint) {
  FakeServer &S = this->Servers.at(To.Id.str());
  if (!S.Reachable)
    co_return OpenedLink(OpenFailure{false, std::nullopt, "cannot connect"});
  ++S.OpenedConnections;
  S.OpenedFor.push_back(For.str());
  const Duration Delay = this->OpenDelay(S);
  if (Delay > Duration::zero())
    co_await sleepFor(Delay);
  std::unique_ptr<ServerLink> Opened =
      std::make_unique<GroupLink>(*this, S, std::move(For));
  co_return OpenedLink(std::move(Opened));
}

} // namespace amaranthspur::linegroup
