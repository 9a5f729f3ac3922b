// The decisions of a takeover as they are, for the explorer, and variants that
// are wrong on purpose: each leaves out one mend, which the explorer must find.
#ifndef AMARANTHSPUR_POLICY_TESTING_TAKEOVERVARIANTS_H
#define AMARANTHSPUR_POLICY_TESTING_TAKEOVERVARIANTS_H

#include "policy/CommitHolders.h"
#include "policy/testing/TakeoverExplorer.h"

#include <algorithm>

namespace amaranthspur::testing {

/// The procedure as it is.
class PresentLogic : public TakeoverLogic {
public:
  PresentLogic(std::vector<TakeoverServer> Servers,
               std::optional<ServerId> Preferred, TimePoint Begun)
      : Begun(Begun),
        // The entry VM remembers neither the term of a primary that does not
        // answer nor a longer log, as after a restart.
        Procedure(std::move(Servers), 0, RequiredEnd{}, std::move(Preferred),
                  Begun) {}
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<PresentLogic>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    return this->Procedure.next(Now);
  }
  void recordAnswers(const ServerReports &Answers, TimePoint Now) override {
    // The entry VM itself knows of no acknowledged commit, which is the case
    // with the fewest reasons against a target.
    this->Procedure.recordAnswers(Answers, LogPosition{}, Now);
  }
  void recordServers(
      const std::optional<std::vector<TakeoverServer>> &Listed) override {
    this->Procedure.recordServers(Listed);
  }
  void recordClaim(ClaimCheck Result) override {
    this->Procedure.recordClaim(Result);
  }
  void recordOrder(PromotionOutcome Outcome) override {
    this->Procedure.recordOrder(Outcome);
  }
  void recordEffect(std::optional<Term> Leading) override {
    this->Procedure.recordEffect(Leading);
  }
  void recordResumed() override { this->Procedure.recordResumed(); }
  Term oldTerm() const override { return this->Procedure.oldTerm(); }

protected:
  TimePoint Begun;
  TakeoverProcedure Procedure;
};

/// Requires the end at the step-down, as the caller does while it has no report
/// of the primary since a server left (Group::isLossCovered()).
class LossNotCovered final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<LossNotCovered>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    TakeoverAction Action = PresentLogic::next(Now);
    this->Step = Action.Step;
    return Action;
  }
  void recordAnswers(const ServerReports &Answers, TimePoint Now) override {
    if (this->Step == TakeoverStep::StepDown)
      for (const auto &[Id, Report] : Answers)
        if (Report.Role == ServerRole::Replica)
          this->Procedure.require({Report.Received, EndSource::OldPrimary, Id});
    PresentLogic::recordAnswers(Answers, Now);
  }

private:
  TakeoverStep Step = TakeoverStep::End;
};

/// Undoes adoptions whatever the time since the claim, as if a suspension had
/// not been noticed.
class UndoesLate final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<UndoesLate>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    const bool Late = !TakeoverClaim::mayUndo(this->Begun, Now);
    const TakeoverAction Action = this->Procedure.next(Now);
    if (Action.Step != TakeoverStep::End || !Late || this->Undone ||
        Action.End != TakeoverEnd::Open || this->Adopters.empty())
      return this->keep(Action);
    this->Undone = true;
    TakeoverAction Resume;
    Resume.Step = TakeoverStep::Resume;
    Resume.Servers = this->Adopters;
    return Resume;
  }
  void recordResumed() override {}

private:
  TakeoverAction keep(TakeoverAction Action) {
    if (Action.Step == TakeoverStep::Adopt)
      this->Adopters = Action.Servers;
    return Action;
  }
  std::vector<ServerId> Adopters;
  bool Undone = false;
};

/// Compares no logs: all of them look equally long.
class IgnoresEnds final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<IgnoresEnds>(*this);
  }
  void recordAnswers(const ServerReports &Answers, TimePoint Now) override {
    ServerReports Equal = Answers;
    for (auto &[Id, Report] : Equal)
      Report.Received = {};
    PresentLogic::recordAnswers(Equal, Now);
  }
};

/// Gives a takeover up instead of ordering the promotion.
class NeverOrders final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<NeverOrders>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    TakeoverAction Action = this->Procedure.next(Now);
    return Action.Step == TakeoverStep::Order ? TakeoverAction{} : Action;
  }
};

/// Ends a takeover when its target leads, whatever terms the servers hold.
class LeavesStranded final : public PresentLogic {
public:
  using PresentLogic::PresentLogic;
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<LeavesStranded>(*this);
  }
  void recordEffect(std::optional<Term> Leading) override {
    PresentLogic::recordEffect(Leading);
    if (Leading &&
        this->Procedure.next(this->Begun).Step == TakeoverStep::Resume)
      this->Procedure.recordResumed();
  }
};

/// The procedure before the old primary had to step down: the target is chosen
/// by the plan, the other servers adopt the next term, and the order follows.
class NoStepDown final : public TakeoverLogic {
public:
  NoStepDown(const std::vector<TakeoverServer> &Servers, TimePoint Begun)
      : Begun(Begun), NextTerm(nextTerm(Servers)) {
    LogPosition Longest;
    for (const TakeoverServer &S : Servers)
      if (!S.OldPrimary && S.Report)
        Longest = std::max(Longest, S.Report->Received);
    this->Target = chooseTarget(Servers, Longest, std::nullopt);
    for (const TakeoverServer &S : Servers)
      if (!S.OldPrimary && this->Target != S.Id)
        this->Adopters.push_back(S.Id);
    this->Current = this->Target && !this->Adopters.empty()
                        ? TakeoverStep::Adopt
                        : TakeoverStep::End;
  }
  std::unique_ptr<TakeoverLogic> clone() const override {
    return std::make_unique<NoStepDown>(*this);
  }
  TakeoverAction next(TimePoint Now) override {
    if (this->Current == TakeoverStep::Order &&
        !TakeoverClaim::mayPromote(this->Begun, Now))
      this->Current = TakeoverStep::Resume;
    TakeoverAction Action;
    Action.Step = this->Current;
    Action.TermNumber = this->NextTerm;
    Action.End = this->Ended;
    Action.Target = this->Target.value_or(ServerId());
    if (this->Current == TakeoverStep::Adopt ||
        this->Current == TakeoverStep::Resume)
      Action.Servers = this->Adopters;
    if (this->Current == TakeoverStep::Poll) {
      Action.Servers = this->Adopters;
      Action.Servers.push_back(*this->Target);
    }
    return Action;
  }
  void recordAnswers(const ServerReports &Answers, TimePoint) override {
    bool Adopted = true;
    for (const ServerId &Id : this->Adopters) {
      const auto Found = Answers.find(Id);
      Adopted = Adopted && Found != Answers.end() &&
                Found->second.AdoptedTerm >= this->NextTerm;
      if (Found != Answers.end())
        this->Longest = std::max(this->Longest, Found->second.Received);
    }
    if (!Adopted) {
      this->Current = TakeoverStep::Resume;
    } else if (this->Current == TakeoverStep::Adopt) {
      this->Current = TakeoverStep::Poll;
    } else {
      const auto Found = Answers.find(*this->Target);
      const bool Complete = Found != Answers.end() &&
                            Found->second.Role == ServerRole::Replica &&
                            Found->second.Received >= this->Longest;
      this->Current = Complete ? TakeoverStep::Order : TakeoverStep::Resume;
    }
  }
  void
  recordServers(const std::optional<std::vector<TakeoverServer>> &) override {}
  void recordClaim(ClaimCheck) override {}
  void recordOrder(PromotionOutcome Outcome) override {
    if (Outcome == PromotionOutcome::Refused)
      this->Current = TakeoverStep::Resume;
    else if (Outcome != PromotionOutcome::NotDone)
      this->Current = TakeoverStep::AwaitEffect;
  }
  void recordEffect(std::optional<Term> Leading) override {
    this->Ended = Leading ? TakeoverEnd::Promoted : TakeoverEnd::Open;
    this->Current = TakeoverStep::End;
  }
  void recordResumed() override { this->Current = TakeoverStep::End; }
  Term oldTerm() const override { return this->NextTerm - 1; }

private:
  TimePoint Begun;
  Term NextTerm;
  std::optional<ServerId> Target;
  std::vector<ServerId> Adopters;
  LogPosition Longest;
  TakeoverStep Current = TakeoverStep::Adopt;
  TakeoverEnd Ended = TakeoverEnd::GivenUp;
};

/// The proof as it is.
class PresentProof final : public ProofLogic {
public:
  explicit PresentProof(Term T) : Proof(T, TimePoint()) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<PresentProof>(*this);
  }
  void recordReport(const ServerId &Id, const ServerReport &Report) override {
    this->Proof.recordReport(Id, Report);
  }
  void recordSilence(const ServerId &Id) override {
    this->Proof.recordSilence(Id);
  }
  void recordClaim(const ClaimRow &Row) override {
    this->Proof.recordClaim(Row);
  }
  ProofState state(const std::vector<ServerId> &Others) const override {
    return this->Proof.state(Others);
  }

private:
  LeadershipProof Proof;
};

/// Takes the report of any one replica for a proof.
class OneReplicaProves final : public ProofLogic {
public:
  explicit OneReplicaProves(Term T) : TermNumber(T) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<OneReplicaProves>(*this);
  }
  void recordReport(const ServerId &, const ServerReport &Report) override {
    if (Report.Role == ServerRole::Replica &&
        std::max(Report.TermNumber, Report.AdoptedTerm) <= this->TermNumber)
      this->Found = ProofState::Proved;
  }
  void recordSilence(const ServerId &) override {}
  void recordClaim(const ClaimRow &) override {}
  ProofState state(const std::vector<ServerId> &) const override {
    return this->Found;
  }

private:
  Term TermNumber;
  ProofState Found = ProofState::Open;
};

/// Takes any finished claim for a proof, whatever its term.
class AnyFinishedClaimProves final : public ProofLogic {
public:
  explicit AnyFinishedClaimProves(Term) {}
  std::unique_ptr<ProofLogic> clone() const override {
    return std::make_unique<AnyFinishedClaimProves>(*this);
  }
  void recordReport(const ServerId &, const ServerReport &) override {}
  void recordSilence(const ServerId &) override {}
  void recordClaim(const ClaimRow &Row) override {
    if (Row.State == ClaimState::Finished)
      this->Found = ProofState::Proved;
  }
  ProofState state(const std::vector<ServerId> &) const override {
    return this->Found;
  }

private:
  ProofState Found = ProofState::Open;
};

/// The rule for acknowledgements as it is.
class PresentHolders : public AcknowledgementRule {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<PresentHolders>(*this);
  }
  void setServers(const std::vector<RegisteredServer> &Servers,
                  TimePoint Now) override {
    this->Holders.setServers(Servers, Now);
  }
  void recordReport(const ServerId &Id, const ServerReport &Report) override {
    this->Holders.observeReport(Id, Report);
  }
  void recordProof(Term T, TimePoint At) override {
    this->Holders.observeProof(T, At);
  }
  std::optional<ServerId> holderOf(LogPosition Commit,
                                   const ServerId &Primary) const override {
    return this->Holders.holderOf(Commit, Primary);
  }

protected:
  CommitHolders Holders;
};

/// Passes on what the primary acknowledges, as before issue 37.
class AnyReplicaSuffices final : public AcknowledgementRule {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<AnyReplicaSuffices>(*this);
  }
  void setServers(const std::vector<RegisteredServer> &, TimePoint) override {}
  void recordReport(const ServerId &, const ServerReport &) override {}
  void recordProof(Term, TimePoint) override {}
  std::optional<ServerId> holderOf(LogPosition,
                                   const ServerId &Primary) const override {
    return Primary;
  }
};

/// Counts every replica that reports the commit, registered or not.
class CountsUnregistered final : public PresentHolders {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<CountsUnregistered>(*this);
  }
  void recordReport(const ServerId &Id, const ServerReport &Report) override {
    PresentHolders::recordReport(Id, Report);
    if (Report.Role == ServerRole::Replica)
      this->Ends[Id] = std::max(this->Ends[Id], Report.Received);
  }
  std::optional<ServerId> holderOf(LogPosition Commit,
                                   const ServerId &Primary) const override {
    for (const auto &[Id, End] : this->Ends)
      if (Id != Primary && End.TermNumber == Commit.TermNumber && End >= Commit)
        return Id;
    return std::nullopt;
  }

private:
  std::map<ServerId, LogPosition> Ends;
};

/// Counts a registered server without a proof since its registration.
class CountsNotEstablished final : public PresentHolders {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<CountsNotEstablished>(*this);
  }
  void setServers(const std::vector<RegisteredServer> &Servers,
                  TimePoint Now) override {
    this->Holders.setServers(Servers, Now);
    this->Holders.observeProof(FirstTerm, Now);
  }
};

/// Counts a server that is leaving although another one is registered.
class CountsLeaving final : public PresentHolders {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<CountsLeaving>(*this);
  }
  void setServers(const std::vector<RegisteredServer> &Servers,
                  TimePoint Now) override {
    std::vector<RegisteredServer> Staying = Servers;
    for (RegisteredServer &R : Staying)
      R.Draining = false;
    this->Holders.setServers(Staying, Now);
  }
};

/// Counts the primary itself when it reports as a replica.
class CountsPrimary final : public PresentHolders {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<CountsPrimary>(*this);
  }
  void recordReport(const ServerId &Id, const ServerReport &Report) override {
    PresentHolders::recordReport(Id, Report);
    if (Report.Role == ServerRole::Replica)
      this->Ends[Id] = Report.Received;
  }
  std::optional<ServerId> holderOf(LogPosition Commit,
                                   const ServerId &Primary) const override {
    const auto Own = this->Ends.find(Primary);
    if (Own != this->Ends.end() &&
        Own->second.TermNumber == Commit.TermNumber && Own->second >= Commit)
      return Primary;
    return PresentHolders::holderOf(Commit, Primary);
  }

private:
  std::map<ServerId, LogPosition> Ends;
};

/// Counts a server whose log ends later than the commit, in whatever term.
class CountsAnyTerm final : public PresentHolders {
public:
  std::unique_ptr<AcknowledgementRule> clone() const override {
    return std::make_unique<CountsAnyTerm>(*this);
  }
  std::optional<ServerId> holderOf(LogPosition Commit,
                                   const ServerId &Primary) const override {
    static constexpr Term MostTerms = 8;
    std::optional<ServerId> Found = PresentHolders::holderOf(Commit, Primary);
    for (Term T = Commit.TermNumber + 1; T <= MostTerms && !Found; ++T)
      Found = PresentHolders::holderOf({T, 0}, Primary);
    return Found;
  }
};

template <typename Rule> std::unique_ptr<AcknowledgementRule> makeRule() {
  return std::make_unique<Rule>();
}

template <typename Logic> std::unique_ptr<ProofLogic> makeProof(Term T) {
  return std::make_unique<Logic>(T);
}

template <typename Logic>
std::unique_ptr<TakeoverLogic> make(std::vector<TakeoverServer> Servers,
                                    std::optional<ServerId> Preferred,
                                    TimePoint Begun) {
  return std::make_unique<Logic>(std::move(Servers), std::move(Preferred),
                                 Begun);
}

inline std::unique_ptr<TakeoverLogic>
makeNoStepDown(const std::vector<TakeoverServer> &Servers,
               const std::optional<ServerId> & /*Preferred*/, TimePoint Begun) {
  return std::make_unique<NoStepDown>(Servers, Begun);
}

/// Takes no turns: a released claim may be taken at once by any entry VM.
class ReleasedIsFree final : public ClaimRule {
public:
  bool mayClaim(const TakeoverClaim &Seen, const ClaimRow &Row,
                ClaimPurpose Purpose, TimePoint Now) const override {
    return Row.State == ClaimState::Finished || Seen.mayClaim(Now, Purpose);
  }
};

/// Does not wait for the time in which an order may still be under way.
class OrdersArriveAtOnce final : public ClaimRule {
public:
  bool mayClaim(const TakeoverClaim &Seen, const ClaimRow &,
                ClaimPurpose Purpose, TimePoint Now) const override {
    return Seen.mayClaim(Now + TakeoverClaim::OrderSpan, Purpose);
  }
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_TESTING_TAKEOVERVARIANTS_H
