#include "policy/TakeoverProcedure.h"

namespace amaranthspur {

TakeoverProcedure::TakeoverProcedure(TakeoverPlan Plan,
                                     std::optional<ServerId> Old,
                                     bool SyncReplicas, TimePoint Begun)
    : Plan(std::move(Plan)), Old(std::move(Old)), Begun(Begun),
      // Without synchronous replicas the old primary can still acknowledge
      // commits on its own, so it must step down first.
      Current(this->Old && !SyncReplicas ? TakeoverStep::StepDown
                                         : TakeoverStep::Adopt) {}

void TakeoverProcedure::fail(std::string Why) {
  this->Reason = std::move(Why);
  this->Ended = TakeoverEnd::GivenUp;
  this->Current = TakeoverStep::Resume;
}

TakeoverAction TakeoverProcedure::next(TimePoint Now) {
  if (this->Current == TakeoverStep::Adopt &&
      this->NextAdopter == this->Plan.Adopters.size())
    this->Current = TakeoverStep::Poll;
  if (this->Current == TakeoverStep::Order &&
      !TakeoverClaim::mayPromote(this->Begun, Now))
    this->fail("promotion outcome: not-done");
  TakeoverAction Action;
  Action.Step = this->Current;
  switch (this->Current) {
  case TakeoverStep::StepDown:
    Action.Servers = {*this->Old};
    break;
  case TakeoverStep::Adopt:
    Action.Servers = {this->Plan.Adopters[this->NextAdopter]};
    break;
  case TakeoverStep::Resume:
    Action.Servers = this->Plan.Adopters;
    break;
  case TakeoverStep::End:
    Action.End = this->Ended;
    Action.Why = this->Reason;
    break;
  case TakeoverStep::Poll:
  case TakeoverStep::Order:
  case TakeoverStep::AwaitEffect:
    break;
  }
  return Action;
}

void TakeoverProcedure::recordAnswers(const ServerReports &Answers) {
  if (this->Current == TakeoverStep::StepDown) {
    this->Current =
        this->OldStepsDownLast ? TakeoverStep::End : TakeoverStep::Adopt;
    return;
  }
  const ServerId Id = this->Plan.Adopters[this->NextAdopter];
  const auto Adopter = Answers.find(Id);
  if (Adopter == Answers.end() ||
      Adopter->second.AdoptedTerm < this->Plan.NextTerm) {
    this->fail("server " + Id.str() + " did not adopt the term");
    return;
  }
  this->Positions.push_back(Adopter->second.Received);
  ++this->NextAdopter;
}

void TakeoverProcedure::recordPoll(const ServerReports &Answers,
                                   LogPosition Acknowledged) {
  const auto Target = Answers.find(this->Plan.Target);
  if (Target == Answers.end()) {
    this->fail("the target does not answer");
    return;
  }
  if (Target->second.Role != ServerRole::Replica) {
    this->fail("the target is not a replica");
    return;
  }
  // A server that has restarted no longer knows the term that it adopted.
  for (const ServerId &Id : this->Plan.Adopters) {
    const auto Adopter = Answers.find(Id);
    if (Adopter == Answers.end() ||
        Adopter->second.AdoptedTerm < this->Plan.NextTerm) {
      this->fail("server " + Id.str() + " no longer holds the adopted term");
      return;
    }
  }
  if (std::optional<std::string> Why =
          reasonAgainstTarget(Target->second, this->Positions, Acknowledged)) {
    this->fail(std::move(*Why));
    return;
  }
  this->Current = TakeoverStep::Order;
}

void TakeoverProcedure::recordOrder(PromotionOutcome Outcome) {
  switch (Outcome) {
  case PromotionOutcome::NotDone:
    break;
  case PromotionOutcome::Accepted:
  case PromotionOutcome::Unknown:
    this->Current = TakeoverStep::AwaitEffect;
    break;
  case PromotionOutcome::Refused:
    this->fail("promotion outcome: " + std::string(nameOf(Outcome)));
    break;
  }
}

void TakeoverProcedure::recordEffect(bool Leads) {
  if (!Leads) {
    // The promotion order may still take effect. The adopted terms therefore
    // stay, and the claim is held until its lease expires.
    this->Reason = "the promotion has not taken effect";
    this->Ended = TakeoverEnd::Open;
    this->Current = TakeoverStep::End;
    return;
  }
  this->Ended = TakeoverEnd::Promoted;
  this->OldStepsDownLast = true;
  // The old primary stops being primary by itself, but only one second after it
  // reaches the new one. Until then it would accept writes that no replica
  // acknowledges.
  this->Current = this->Old ? TakeoverStep::StepDown : TakeoverStep::End;
}

void TakeoverProcedure::recordResumed() { this->Current = TakeoverStep::End; }

} // namespace amaranthspur
