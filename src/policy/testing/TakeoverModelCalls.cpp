#include "policy/testing/TakeoverModel.h"

#include <algorithm>

namespace amaranthspur::testing::detail {

bool TakeoverModel::mayFail(const Vm &V, Kind How) const {
  const auto Only = this->Options->FaultySteps.find(How);
  const bool Faulty = Only == this->Options->FaultySteps.end() ||
                      (V.Now == Doing::Acting && V.Action.Step == Only->second);
  return Faulty && (How != Kind::HoldUp || this->maySend(V));
}

bool TakeoverModel::maySend(const Vm &V) const {
  if (V.Now == Doing::Claiming)
    return true;
  switch (V.Action.Step) {
  case TakeoverStep::StepDown:
  case TakeoverStep::Adopt:
  case TakeoverStep::Resume:
  case TakeoverStep::Confirm:
  case TakeoverStep::Order:
    return this->Now < V.Action.SendBy;
  case TakeoverStep::End:
    return V.Undoing || V.Action.End != TakeoverEnd::Open;
  case TakeoverStep::Poll:
  case TakeoverStep::ReadServers:
  case TakeoverStep::AwaitEffect:
    break;
  }
  return false;
}

bool TakeoverModel::mayArrive(const Call &C) const {
  // Calls of a connection that was reset are no longer in flight.
  return C.GivenUp || this->Now - C.SentAt <= C.Limit + KernelSlack;
}

bool TakeoverModel::mayWait(Duration Time) const {
  return std::none_of(this->Orders.begin(), this->Orders.end(),
                      [this, Time](const Order &O) {
                        return O.Pending && this->Now + Time - O.ArrivedAt >
                                                this->Options->LongestEffect;
                      });
}

Call TakeoverModel::makeCall(std::size_t V, std::size_t S) const {
  const Vm &M = this->Vms[V];
  Call C;
  C.Vm = V;
  C.Process = M.Process;
  C.SentAt = this->Now;
  C.Begun = M.Begun;
  C.Server = S;
  C.Step = M.Action.Step;
  C.TermNumber = M.Action.TermNumber;
  C.Expected = M.Fence;
  // The last moment at which an order under the written row can be under way.
  const ClaimTurn Turn =
      M.Claim.turnUntil((M.Now == Doing::Claiming ? M.Begun : this->Now) +
                        TakeoverClaim::OrderSpan);
  if (M.Now == Doing::Claiming) {
    C.What = CallKind::Write;
    C.Expected = M.Expected;
    C.Written = parseClaimRow(
        1, M.Undoing ? undoClaimValue(Turn)
                     : takeoverClaimValue(Turn, nextTerm(M.Plan)));
  } else if (C.Step == TakeoverStep::Confirm || this->mustRenew(M)) {
    C.What = CallKind::Write;
    C.Written = parseClaimRow(
        1, confirmedClaimValue(Turn, C.TermNumber, M.Action.Target));
  } else if (C.Step == TakeoverStep::End) {
    C.What = CallKind::Write;
    ClaimOutcome Outcome = M.Outcome;
    Outcome.Turn = M.Claim.turnUntil(M.OrderEnd);
    C.Written = parseClaimRow(1, finishedClaimValue(Outcome));
  } else if (C.Step == TakeoverStep::Order) {
    C.What = CallKind::Order;
    C.Limit = std::min(CallLimit, M.OrderBy - this->Now);
    C.Given = M.Given;
    C.Given.Vm = V;
    C.Given.Fence = M.Fence;
    C.Given.Target = indexOf(M.Action.Target);
  }
  return C;
}

void TakeoverModel::change(const Call &C) {
  Server &X = this->Servers[C.Server];
  if (C.Step == TakeoverStep::StepDown) {
    if (X.Primary && X.TermNumber < C.TermNumber)
      X.Primary = false;
  } else if (C.Step == TakeoverStep::Adopt) {
    if (!X.Primary && C.TermNumber > X.TermNumber)
      X.Held = std::max(X.Held, C.TermNumber);
  } else if (C.Step == TakeoverStep::Resume) {
    // A RESUME that was decided in time counts as part of the gap of an
    // unreachable primary; one that was decided later does not.
    if (X.Held != 0 && TakeoverClaim::mayUndo(C.Begun, C.SentAt))
      X.ResumedAt = this->Events;
    X.Held = 0;
  }
}

bool TakeoverModel::mayClaim(std::size_t V, ClaimPurpose Purpose) const {
  const TakeoverClaim &Seen = this->Vms[V].Claim;
  return this->Options->Claims ? this->Options->Claims->mayClaim(
                                     Seen, this->Row, Purpose, this->Now)
                               : Seen.mayClaim(this->Now, Purpose);
}

bool TakeoverModel::mustRenew(const Vm &V) const {
  return V.Now == Doing::Acting && V.Action.Step == TakeoverStep::Order &&
         V.OrderBy - this->Now < TakeoverClaim::LeastOrderTime;
}

ClaimCheck TakeoverModel::confirm(std::size_t V, Kind How) {
  Vm &M = this->Vms[V];
  const Call C = this->makeCall(V, 0);
  const bool Applied =
      How != Kind::LoseCall && How != Kind::GiveUp && this->write(C);
  if (How != Kind::Step)
    return ClaimCheck::Unknown;
  if (!Applied)
    return ClaimCheck::Lost;
  M.Fence = this->RowVersion;
  M.OrderBy = this->Now + TakeoverClaim::OrderSpan;
  return ClaimCheck::Held;
}

PromotionOutcome TakeoverModel::takeOrder(const Call &C) {
  Order O = C.Given;
  O.ArrivedAt = this->Now;
  O.Late = !C.GivenUp && this->Now - C.SentAt > C.Limit;
  const std::optional<Order> Last = this->LastOrder;
  const auto [Known, Added] = this->OrderedBy.emplace(O.Fence, O.Vm);
  if (!Added && Known->second != O.Vm)
    this->violate(Invariant::Claim, "two entry VMs order under one version");
  else if (O.Fence < this->HighestFence)
    this->violate(Invariant::Fence, "an order with fence " +
                                        std::to_string(O.Fence) +
                                        " arrives after one with " +
                                        std::to_string(this->HighestFence));
  else if (Last && Last->Vm != O.Vm &&
           this->Now - Last->ArrivedAt < TakeoverClaim::Lease)
    this->violate(Invariant::Turn,
                  "orders of two entry VMs arrive " +
                      std::to_string(inMs(this->Now - Last->ArrivedAt)) +
                      " ms apart");
  if (!this->Violation.empty() && (O.Late || (Last && Last->Late)))
    this->Gap = TakeoverGap::LateOrder;
  this->HighestFence = std::max(this->HighestFence, O.Fence);
  this->LastOrder = O;
  const Server &X = this->Servers[O.Target];
  if (!X.Running || X.Gone)
    return PromotionOutcome::Refused;
  this->Orders.push_back(O);
  return PromotionOutcome::Accepted;
}

void TakeoverModel::holdUp(std::size_t V, std::size_t S) {
  this->Vms[V].WaitsForOrder = this->makeCall(V, S).What == CallKind::Order;
  if (this->Vms[V].WaitsForOrder)
    this->Vms[V].Claim.recordOrder(this->Vms[V].OrderBy + EffectTimeout, false);
  this->InFlight.push_back(this->makeCall(V, S));
  this->Vms[V].Waiting = true;
  this->Vms[V].Asked = S;
}

void TakeoverModel::reset(std::size_t V) {
  if (this->Options->GivenUp == CallEnd::Reset)
    std::erase_if(this->InFlight, [V](const Call &C) { return C.Vm == V; });
  for (Call &C : this->InFlight)
    C.GivenUp = C.GivenUp || C.Vm == V;
}

void TakeoverModel::giveUp(std::size_t V) {
  this->reset(V);
  this->Vms[V].Waiting = false;
  this->step(V, this->Vms[V].Asked, Kind::GiveUp, false);
}

void TakeoverModel::arrive(std::size_t Index) {
  const Call C = this->InFlight[Index];
  this->InFlight.erase(this->InFlight.begin() +
                       static_cast<std::ptrdiff_t>(Index));
  switch (C.What) {
  case CallKind::Write:
    this->write(C);
    break;
  case CallKind::Change:
    if (this->Servers[C.Server].Running && !this->Servers[C.Server].Gone)
      this->change(C);
    break;
  case CallKind::Order:
    this->takeOrder(C);
    break;
  }
}

} // namespace amaranthspur::testing::detail
