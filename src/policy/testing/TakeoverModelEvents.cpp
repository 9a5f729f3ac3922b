#include "policy/testing/TakeoverModel.h"

#include <algorithm>

namespace amaranthspur::testing::detail {

namespace {

/// Returns whether events of \p K are unlimited if no limit is given.
bool isFree(Kind K) {
  return K == Kind::Plan || K == Kind::Step || K == Kind::Arrive ||
         K == Kind::GiveUp || K == Kind::Deliver || K == Kind::Effect ||
         K == Kind::Ask || K == Kind::Register || K == Kind::Hear ||
         K == Kind::Report;
}

} // namespace

bool TakeoverModel::mayDeliver(std::size_t From, std::size_t To) const {
  const Server &X = this->Servers[From];
  const Server &Y = this->Servers[To];
  return From != To && X.Primary && X.Running && !X.Gone && Y.Running &&
         !Y.Gone && !Y.Deaf && Y.Held == 0 &&
         (Y.Primary ? Y.TermNumber < X.TermNumber
                    : Y.TermNumber <= X.TermNumber) &&
         (Y.Log != X.Log || Y.TermNumber != X.TermNumber);
}

bool TakeoverModel::mayLeave(std::size_t S) const {
  const Server &X = this->Servers[S];
  if (X.Primary)
    return false;
  // Without a limit for Drain, leaving is one event, and the whole log has been
  // transferred to a successor before. Otherwise the server ends some time
  // after the entry VMs have heard that it leaves. What it had received then
  // has been transferred; what it receives afterwards ends with it.
  if (this->Options->Limits.count(Kind::Drain) == 0)
    return this->isTransferred(S, X.Log.size());
  return X.Draining && this->View[S].Draining &&
         this->isTransferred(S, this->View[S].LogLength);
}

bool TakeoverModel::isTransferred(std::size_t S, std::size_t Length) const {
  const std::vector<Entry> &Log = this->Servers[S].Log;
  for (std::size_t I = 0; I < this->Servers.size(); ++I) {
    const Server &Other = this->Servers[I];
    if (I != S && I != this->Leader && !Other.Primary && !Other.Gone &&
        Other.Running && Other.Log.size() >= Length && Log.size() >= Length &&
        std::equal(Log.begin(),
                   Log.begin() + static_cast<std::ptrdiff_t>(Length),
                   Other.Log.begin()))
      return true;
  }
  return false;
}

std::vector<std::size_t> TakeoverModel::stranded(std::size_t V) const {
  std::vector<std::size_t> Found;
  const Vm &M = this->Vms[V];
  if (!M.Believed || !this->reaches(V, *M.Believed) ||
      !this->Servers[*M.Believed].Primary)
    return Found;
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    if (S != *M.Believed && this->isListed(S) && this->reaches(V, S) &&
        this->Servers[S].Held > this->Servers[*M.Believed].TermNumber)
      Found.push_back(S);
  return Found;
}

std::vector<ExplorerEvent> TakeoverModel::enabled(bool Coarse) const {
  std::vector<ExplorerEvent> Found;
  const auto Add = [this, &Found](Kind K, std::size_t A, std::size_t B = 0) {
    const auto Limit = this->Options->Limits.find(K);
    const auto Count = this->Used.find(K);
    const unsigned Done = Count == this->Used.end() ? 0 : Count->second;
    if (Limit == this->Options->Limits.end() ? isFree(K) : Done < Limit->second)
      Found.push_back({K, A, B});
  };
  for (std::size_t V = 0; V < this->Vms.size(); ++V) {
    const Vm &M = this->Vms[V];
    if (M.Now == Doing::Nothing) {
      if (this->mayClaim(V, ClaimPurpose::Order))
        Add(Kind::Plan, V);
      if (this->mayClaim(V, ClaimPurpose::Undo) && !this->stranded(V).empty())
        Add(Kind::Undo, V);
    } else if (M.Waiting) {
      Add(Kind::GiveUp, V);
    } else {
      const std::size_t Calls = M.Pending.size();
      for (std::size_t I = 0; I < std::max<std::size_t>(Calls, 1); ++I) {
        const std::size_t S = Calls == 0 ? 0 : M.Pending[I];
        const bool Waits = M.Now == Doing::Acting &&
                           M.Action.Step == TakeoverStep::AwaitEffect &&
                           !(this->reaches(V, indexOf(M.Action.Target)) &&
                             this->Servers[indexOf(M.Action.Target)].Primary) &&
                           this->Now - M.Ordered < milliseconds(2500);
        if (!Waits)
          Add(Kind::Step, V, S);
        for (const Kind K : {Kind::LoseAnswer, Kind::LoseCall, Kind::HoldUp})
          if (this->mayFail(M, K))
            Add(K, V, S);
        if (Coarse)
          break;
      }
    }
    for (std::size_t S = 0; S < this->Servers.size(); ++S)
      if (this->Led[S] != 0 && !this->Servers[S].Gone && !M.Proof.Logic)
        Add(Kind::Prove, V, S);
    if (M.Proof.Logic) {
      for (std::size_t S = 0; S < this->Servers.size(); ++S)
        if (S != M.Proof.Leader && this->View[S].Listed &&
            M.Proof.Asked.count(S) == 0)
          Add(Kind::Ask, V, S);
      if (M.Proof.Asked.count(ClaimRowOperand) == 0)
        Add(Kind::Ask, V, ClaimRowOperand);
    }
    Add(Kind::Die, V);
    for (std::size_t S = 0; S < this->Servers.size(); ++S)
      if (!this->Servers[S].Gone)
        Add(Kind::Cut, V, S);
  }
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    const Server &X = this->Servers[S];
    if (!this->Options->ObservesAtOnce && this->mayHear(S))
      Add(Kind::Hear, S);
    if (X.Gone)
      continue;
    if (!this->Options->ObservesAtOnce && this->mayReport(S))
      Add(Kind::Report, S);
    if (X.Running && !X.Registered)
      Add(Kind::Register, S);
    if (X.Running && X.Registered && !X.Primary && !X.Draining)
      Add(Kind::Drain, S);
    if (!X.Running && X.Primary && this->Servers.size() < MaxServers)
      Add(Kind::Return, S);
    // Writes are sent to servers whose registrations are known.
    if (X.Running && X.Primary && this->View[S].Listed &&
        this->Commits < MaxCommits)
      Add(Kind::Commit, S);
    for (std::size_t T = 0; T < this->Servers.size(); ++T)
      if (this->mayDeliver(S, T))
        Add(Kind::Deliver, S, T);
    if (X.Running && X.Primary && this->Servers.size() < MaxServers)
      Add(Kind::Join, S);
    if (X.Running && this->mayLeave(S))
      Add(Kind::Leave, S);
    if (X.Running)
      Add(Kind::Restart, S);
    Add(Kind::Crash, S);
    if (X.Running && !X.Primary)
      Add(Kind::Deafen, S);
  }
  for (std::size_t I = 0; I < this->Orders.size(); ++I)
    if (this->Orders[I].Pending)
      Add(Kind::Effect, I);
  for (std::size_t I = 0; I < this->InFlight.size(); ++I)
    if (this->mayArrive(this->InFlight[I]))
      Add(Kind::Arrive, I);
  for (const std::size_t Ms : this->Options->Waits)
    if (this->mayWait(milliseconds(Ms)))
      Add(Kind::Wait, Ms);
  return Found;
}

bool TakeoverModel::isEnabled(const ExplorerEvent &E) const {
  for (const ExplorerEvent &Other : this->enabled(false))
    if (Other.Kind == E.Kind && Other.A == E.A && Other.B == E.B)
      return true;
  return false;
}

void TakeoverModel::die(std::size_t V) {
  this->reset(V);
  Vm Fresh;
  Fresh.Claim = TakeoverClaim(vmId(V));
  Fresh.Process = this->Vms[V].Process + 1;
  Fresh.Believed = this->Vms[V].Believed;
  this->observeRow(Fresh);
  this->Vms[V] = Fresh;
}

void TakeoverModel::commit(std::size_t S) {
  Server &X = this->Servers[S];
  Commit &New = this->Written[this->Commits];
  X.Log.push_back({static_cast<std::uint8_t>(X.TermNumber), this->Commits++,
                   static_cast<std::uint16_t>(this->Events)});
  New.Position = {X.TermNumber, X.Log.size()};
  New.Primary = S;
  New.SentAt = this->Events;
}

void TakeoverModel::join(std::size_t Primary) {
  Server New;
  New.Deaf = this->Servers[Primary].Deaf;
  New.TermNumber = this->Servers[Primary].TermNumber;
  New.Log = this->Servers[Primary].Log;
  for (Entry &Copied : New.Log)
    Copied.ReceivedAt = static_cast<std::uint16_t>(this->Events);
  New.Registered = this->registersAtOnce();
  this->Servers.push_back(New);
  this->acknowledge(Primary, this->Servers.size() - 1);
}

void TakeoverModel::apply(const ExplorerEvent &E, bool Coarse) {
  ++this->Events;
  if (this->Options->Limits.count(E.Kind) != 0)
    ++this->Used[E.Kind];
  switch (E.Kind) {
  case Kind::Plan:
    this->plan(E.A);
    break;
  case Kind::Undo:
    this->undo(E.A);
    break;
  case Kind::Step:
  case Kind::LoseAnswer:
  case Kind::LoseCall:
    this->step(E.A, E.B, E.Kind, Coarse);
    break;
  case Kind::HoldUp:
    this->holdUp(E.A, E.B);
    break;
  case Kind::Arrive:
    this->arrive(E.A);
    break;
  case Kind::GiveUp:
    this->giveUp(E.A);
    break;
  case Kind::Die:
    this->die(E.A);
    break;
  case Kind::Cut:
    if (this->Cuts.erase({E.A, E.B}) == 0)
      this->Cuts.insert({E.A, E.B});
    break;
  case Kind::Commit:
    this->commit(E.A);
    break;
  case Kind::Deliver: {
    Server &Y = this->Servers[E.B];
    this->receive(E.B, E.A);
    Y.TermNumber = this->Servers[E.A].TermNumber;
    Y.Primary = false;
    this->acknowledge(E.A, E.B);
    break;
  }
  case Kind::Join:
    this->join(E.A);
    break;
  case Kind::Register: {
    Server &X = this->Servers[E.A];
    X.Registered = true;
    // An address belongs to the server with the latest start.
    if (X.Predecessor)
      this->Servers[*X.Predecessor].Expiring = false;
    break;
  }
  case Kind::Drain:
    this->Servers[E.A].Draining = true;
    break;
  case Kind::Leave:
    this->Servers[E.A].Gone = true;
    this->Servers[E.A].Log.clear();
    break;
  case Kind::Restart:
    this->restart(E.A);
    break;
  case Kind::Crash:
    this->Servers[E.A].Running = !this->Servers[E.A].Running;
    if (this->Servers[E.A].Running)
      this->restart(E.A);
    break;
  case Kind::Return:
    this->comeBack(E.A);
    break;
  case Kind::Deafen:
    this->Servers[E.A].Deaf = !this->Servers[E.A].Deaf;
    break;
  case Kind::Effect:
    this->takeEffect(this->Orders[E.A]);
    break;
  case Kind::Prove:
    this->prove(E.A, E.B);
    break;
  case Kind::Ask:
    this->ask(E.A, E.B);
    break;
  case Kind::Hear:
    this->hear(E.A);
    break;
  case Kind::Report:
    this->reportToObserver(E.A);
    break;
  case Kind::Wait:
    this->Now += milliseconds(E.A);
    break;
  }
  this->observe();
}

std::size_t TakeoverModel::hash() const {
  std::size_t H = 0;
  for (const Server &S : this->Servers) {
    mix(H, S.Primary + 2 * S.Running + 4 * S.Gone + 8 * S.Deaf +
               16 * S.TermNumber + 1024 * S.Held);
    mix(H, S.Registered + 2 * S.Draining + 4 * S.Expiring +
               8 * S.Predecessor.value_or(9) + 128 * S.Start);
    for (const Entry &E : S.Log)
      mix(H, E.TermNumber * 64 + E.Commit);
    mix(H, 12345);
  }
  for (const Vm &V : this->Vms) {
    mix(H, static_cast<std::size_t>(V.Now) + 4UL * V.Undoing + 8 * V.Fence +
               128 * V.Expected + 8192 * V.Believed.value_or(9));
    mix(H, V.Claim.mayClaim(this->Now) + 2UL * V.Given.OldReached +
               4UL * (V.Given.SteppedDownAt != 0) +
               16UL * (this->OldRestarted > V.Given.SteppedDownAt));
    mix(H, V.Proof.Inputs + 4UL * (V.Proof.Logic != nullptr) +
               8UL * (V.Proof.Missing != 0) + 16 * V.Proof.TermNumber);
    if (V.Now == Doing::Nothing)
      continue;
    mix(H, V.Inputs);
    mix(H, V.Waiting + 2 * V.Asked + 64UL * V.WaitsForOrder);
    mix(H, (V.OrderBy - this->Now).count());
    mix(H, (V.Begun - this->Now).count());
    mix(H, (V.Ordered - this->Now).count());
    for (const std::size_t S : V.Pending)
      mix(H, S);
    for (const auto &[Id, R] : V.Answers) {
      mix(H, indexOf(Id) * 2 + (R.Role == ServerRole::Primary));
      mix(H, R.TermNumber * 64 + R.AdoptedTerm);
      mix(H, R.Received.TermNumber * 64 + R.Received.Index);
    }
  }
  for (const auto &Cut : this->Cuts)
    mix(H, Cut.first * 16 + Cut.second);
  for (const auto &[K, Count] : this->Used)
    mix(H, static_cast<std::size_t>(K) * 64 + Count);
  for (const Order &O : this->Orders)
    mix(H, O.Target * 64 + O.Vm * 8 + O.Pending * 4UL + O.OldReached * 2UL +
               512UL * (this->OldRestarted > O.SteppedDownAt) +
               1024UL * O.Late);
  if (this->LastOrder)
    mix(H, this->LastOrder->Vm * 64 + this->HighestFence);
  for (const Order &O : this->Orders)
    if (O.Pending)
      mix(H, O.ArrivedAt.time_since_epoch().count());
  if (this->LastOrder)
    mix(H, this->LastOrder->ArrivedAt.time_since_epoch().count());
  for (const Call &C : this->InFlight) {
    mix(H, static_cast<std::size_t>(C.What) * 64 + C.Vm * 8 + C.Server);
    mix(H, C.Expected * 64 + C.TermNumber * 2 + C.GivenUp);
    mix(H, static_cast<std::size_t>(C.Step) * 64 + C.Given.Target);
    mix(H, C.SentAt.time_since_epoch().count());
  }
  this->mixObserver(H);
  mix(H, this->LateEffect);
  mix(H, this->Acknowledged);
  mix(H, this->Removed);
  mix(H, this->Stray);
  mix(H, this->RowVersion * 2 + (this->Row.State == ClaimState::Held));
  mix(H, this->Row.LastTerm * 128 +
             (this->Row.Target ? indexOf(*this->Row.Target) : 99));
  mix(H, this->Row.Turn ? std::hash<std::string>()(this->Row.Turn->Holder.str())
                        : 0);
  mix(H, this->Row.Turn ? this->Row.Turn->WaitFromMs : 0);
  mix(H, this->RowWriter.value_or(9) + 16 * this->RowProcess);
  mix(H, this->Now.time_since_epoch().count());
  return H;
}

std::string TakeoverModel::describe(const ExplorerEvent &E) const {
  std::string Text(nameOf(E.Kind));
  const bool IsStep = E.Kind == Kind::Step || E.Kind == Kind::LoseAnswer ||
                      E.Kind == Kind::LoseCall || E.Kind == Kind::HoldUp;
  if (IsStep) {
    const Vm &V = this->Vms[E.A];
    Text += " vm" + std::to_string(E.A) + " ";
    if (V.Now == Doing::Claiming)
      return Text + "claim";
    Text += nameOf(V.Action.Step);
    if (!V.Pending.empty())
      Text += " " + idOf(E.B).str();
    if (!V.Action.Target.empty())
      Text += " target=" + V.Action.Target.str();
    if (V.Action.Step == TakeoverStep::End)
      Text += " " + std::string(nameOf(V.Action.End)) + " " + V.Action.Why;
    return Text;
  }
  const bool IsVm = E.Kind == Kind::Plan || E.Kind == Kind::Undo ||
                    E.Kind == Kind::Die || E.Kind == Kind::Cut ||
                    E.Kind == Kind::Prove || E.Kind == Kind::Ask ||
                    E.Kind == Kind::GiveUp;
  if (E.Kind == Kind::Effect)
    return Text + " of the order for " + idOf(this->Orders[E.A].Target).str() +
           " by vm" + std::to_string(this->Orders[E.A].Vm);
  if (E.Kind == Kind::Arrive) {
    const Call &C = this->InFlight[E.A];
    return Text + " of the " + std::string(nameOf(C.What)) + " by vm" +
           std::to_string(C.Vm) + " after " +
           std::to_string(inMs(this->Now - C.SentAt)) + " ms";
  }
  if (E.Kind == Kind::Wait)
    return Text + " " + std::to_string(E.A) + " ms";
  if (E.Kind == Kind::Ask && E.B == ClaimRowOperand)
    return Text + " vm" + std::to_string(E.A) + " the claim row";
  if (E.Kind == Kind::Hear || E.Kind == Kind::Report)
    return Text + " to the observer of " + idOf(E.A).str();
  Text += IsVm ? " vm" + std::to_string(E.A) : " " + idOf(E.A).str();
  if (E.Kind == Kind::Prove || E.Kind == Kind::Ask || E.Kind == Kind::Cut ||
      E.Kind == Kind::Deliver)
    Text += " " + idOf(E.B).str();
  return Text;
}

} // namespace amaranthspur::testing::detail
