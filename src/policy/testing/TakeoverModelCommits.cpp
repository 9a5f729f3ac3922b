// How commits reach servers and callers in the model: replication, the
// acknowledgements of the primaries, and what the observer passes on.
#include "policy/testing/TakeoverModel.h"

#include <algorithm>

namespace amaranthspur::testing::detail {

void TakeoverModel::receive(std::size_t To, std::size_t From) {
  std::vector<Entry> Log = this->Servers[From].Log;
  const std::vector<Entry> &Known = this->Servers[To].Log;
  bool Common = true;
  for (std::size_t I = 0; I < Log.size(); ++I) {
    Common = Common && I < Known.size() && Known[I] == Log[I];
    Log[I].ReceivedAt =
        Common ? Known[I].ReceivedAt : static_cast<std::uint16_t>(this->Events);
  }
  this->Servers[To].Log = std::move(Log);
}

void TakeoverModel::acknowledge(std::size_t Primary, std::size_t Replica) {
  const Server &X = this->Servers[Primary];
  for (const Entry &E : X.Log) {
    const std::uint32_t Bit = 1U << E.Commit;
    Commit &C = this->Written[E.Commit];
    // Only its first primary has the connection of the writer.
    if (E.TermNumber == X.TermNumber && C.Primary == Primary)
      this->Answered |= Bit;
    if ((this->Acknowledged & Bit) != 0)
      continue;
    this->Acknowledged |= Bit;
    C.Acknowledged = {Replica, this->Events, false, false};
    if (this->Servers[Replica].Registered)
      this->Counted |= Bit;
    if (X.TermNumber >= this->LeaderTerm)
      continue;
    this->Removed |= Bit;
    this->Stray |= Bit;
    if (!this->isJudgedLater(E.Commit, Primary))
      this->checkSuperseded(Primary, X.TermNumber, E.Commit);
  }
}

bool TakeoverModel::isJudgedLater(std::size_t C, std::size_t Primary) const {
  return !this->Servers[this->Written[C].Acknowledged.Replica].Registered ||
         this->Servers[Primary].Predecessor;
}

void TakeoverModel::checkSuperseded(std::size_t Primary, Term Led,
                                    std::size_t C) {
  // The rule excuses a primary that the holder could not reach.
  const Order &O = this->Effects.at(Led + 1);
  if (!O.OldReached && (!O.Old || O.Old == Primary))
    return;
  const std::string Text =
      "a superseded primary acknowledges commit " + std::to_string(C);
  const bool ByHolder = (this->Passed & (1U << C)) != 0 &&
                        this->Written[C].Passed.At > O.TookEffectAt;
  if (ByHolder && this->isJudgedLater(C, Primary))
    this->violate(FoundFault::ReceivedAfterPromotion, Invariant::One, Text);
  else
    this->violate(Invariant::One, Text, 1U << C, O);
}

Observed TakeoverModel::registration(std::size_t S) const {
  const Server &X = this->Servers[S];
  const Observed &Known = this->View[S];
  Observed Next = Known;
  Next.Listed = this->isListed(S);
  Next.LedUnknownTerm = Known.LedUnknownTerm || (X.Primary && !Known.Primary);
  Next.Primary = X.Primary;
  Next.Draining = X.Draining;
  if (Next.Draining && !Known.Draining)
    Next.LogLength = X.Log.size();
  if (Next.Listed && (!Known.Listed || Known.Start != X.Start)) {
    Next.Since = this->Events;
    Next.End = {};
    Next.Led = 0;
    Next.ProvedTerm = 0;
    Next.Start = X.Start;
  }
  return Next;
}

bool TakeoverModel::mayHear(std::size_t S) const {
  const Observed Next = this->registration(S);
  const Observed &Known = this->View[S];
  return Next.Listed != Known.Listed ||
         (Next.Listed &&
          (Next.Primary != Known.Primary || Next.Draining != Known.Draining ||
           Next.Start != Known.Start));
}

bool TakeoverModel::mayReport(std::size_t S) const {
  const Server &X = this->Servers[S];
  if (!X.Running || X.Gone)
    return false;
  const ServerReport R = this->report(X);
  const Observed &Known = this->View[S];
  if (X.Primary)
    return Known.Listed && Known.Led < R.TermNumber;
  return (Known.Listed ? Known.End : Known.UnlistedEnd) < R.Received;
}

void TakeoverModel::hear(std::size_t S) {
  this->View[S] = this->registration(S);
  std::vector<RegisteredServer> Listed;
  for (std::size_t I = 0; I < this->Servers.size(); ++I) {
    const Observed &Known = this->View[I];
    if (!Known.Listed)
      continue;
    RegisteredServer &R = Listed.emplace_back();
    R.Id = idOf(I);
    R.Role = Known.Primary ? ServerRole::Primary : ServerRole::Replica;
    R.Draining = Known.Draining;
    R.StartedAtMs = static_cast<std::int64_t>(Known.Start);
  }
  auto Next = this->Rule->clone();
  Next->setServers(Listed, timeOf(this->Events));
  this->Rule = std::move(Next);
}

void TakeoverModel::reportToObserver(std::size_t S) {
  const ServerReport R = this->report(this->Servers[S]);
  Observed &Known = this->View[S];
  Known.LedUnknownTerm = false;
  if (Known.Listed && this->Servers[S].Primary)
    Known.Led = std::max(Known.Led, R.TermNumber);
  else if (Known.Listed)
    Known.End = std::max(Known.End, R.Received);
  else
    Known.UnlistedEnd = std::max(Known.UnlistedEnd, R.Received);
  auto Next = this->Rule->clone();
  Next->recordReport(idOf(S), R);
  this->Rule = std::move(Next);
}

void TakeoverModel::observeProof(Term T, std::uint64_t At) {
  for (Observed &Known : this->View)
    if (Known.Listed && Known.Since <= At &&
        (Known.ProvedTerm == 0 || Known.ProvedTerm > T))
      Known.ProvedTerm = T;
  auto Next = this->Rule->clone();
  Next->recordProof(T, timeOf(At));
  this->Rule = std::move(Next);
}

void TakeoverModel::observe() {
  for (std::size_t S = 0;
       this->Options->ObservesAtOnce && S < this->Servers.size(); ++S) {
    if (this->mayHear(S))
      this->hear(S);
    if (this->mayReport(S))
      this->reportToObserver(S);
  }
  // A commit that is passed on is a proof, by which others may be passed on.
  for (bool Changed = true; Changed;) {
    Changed = false;
    for (std::size_t C = 0; C < this->Commits; ++C) {
      if ((this->Answered & ~this->Passed & (1U << C)) == 0)
        continue;
      const Commit &Known = this->Written[C];
      const std::optional<ServerId> Holder =
          this->Rule->holderOf(Known.Position, idOf(Known.Primary));
      if (!Holder)
        continue;
      this->pass(C, indexOf(*Holder));
      Changed = true;
    }
  }
}

void TakeoverModel::pass(std::size_t C, std::size_t Holder) {
  Commit &Known = this->Written[C];
  const std::uint32_t Bit = 1U << C;
  const Term ProvedTerm = this->View[Holder].ProvedTerm;
  this->Passed |= Bit;
  this->Counted |= Bit;
  this->observeProof(Known.Position.TermNumber, Known.SentAt);
  Known.Passed = Known.Acknowledged;
  if (Holder != Known.Primary) {
    const Server &X = this->Servers[Holder];
    Known.Passed = {Holder, 0, this->View[Holder].Start != X.Start,
                    this->View[Holder].Draining};
    for (const Entry &E : X.Log)
      if (E.Commit == C)
        Known.Passed.At = E.ReceivedAt;
  }
  if ((this->Stray & Bit) != 0) {
    if (this->isJudgedLater(C, Known.Primary))
      this->checkSuperseded(Known.Primary, Known.Position.TermNumber, C);
  } else if ((this->Removed & Bit) != 0) {
    // A later promotion may have brought it back.
    if ((commitsIn(this->Servers[this->Leader].Log) & Bit) != 0) {
      this->Removed &= ~Bit;
      return;
    }
    const std::string Text = "commit " + std::to_string(C) +
                             " is reported after a promotion has removed it";
    const Order &O = this->Effects.at(Known.RemovedBy);
    if (Holder != Known.Primary && Known.Passed.At > O.TookEffectAt)
      this->violate(FoundFault::ReceivedAfterPromotion, Invariant::Lost, Text);
    else if (Holder != Known.Primary && ProvedTerm > Known.Position.TermNumber)
      this->violate(FoundFault::EstablishedInLaterTerm, Invariant::Lost, Text);
    else
      this->violate(Invariant::Lost, Text, Bit, O);
  }
}

bool TakeoverModel::isHeldByNone(std::uint32_t Lost, const Order &O) const {
  for (std::size_t S = 0; S < this->Servers.size(); ++S)
    for (const Entry &E : this->Servers[S].Log)
      if (this->isListed(S) && !this->isOld(S, O) &&
          (Lost & (1U << E.Commit)) != 0)
        return false;
  return true;
}

std::optional<TakeoverGap>
TakeoverModel::gapOf(Invariant What, std::uint32_t Lost, const Order &O) const {
  bool Unseen = true;
  bool Released = true;
  bool Earlier = true;
  bool Left = true;
  for (std::size_t C = 0; C < MaxCommits; ++C) {
    if ((Lost & (1U << C)) == 0)
      continue;
    const Witness &W = What == Invariant::Lost ? this->Written[C].Passed
                                               : this->Written[C].Acknowledged;
    Unseen = Unseen && isUnseen(W, O);
    Left = Left && this->Servers[W.Replica].Gone && !W.Draining;
    Earlier = Earlier && this->Written[C].Position.TermNumber + 1 <
                             this->Written[C].RemovedBy;
    Released = Released && (this->Servers[W.Replica].ResumedAt > O.LastRead ||
                            (W.Unheard && this->isReleased(W.Replica, O)));
  }
  if (O.SteppedDownAt != 0 && this->OldRestarted > O.SteppedDownAt && Unseen)
    return TakeoverGap::RestartedPrimary;
  if (!O.OldReached && Released && Unseen)
    return TakeoverGap::UnreachablePrimary;
  if (!O.OldReached && Left && What == Invariant::Lost)
    return TakeoverGap::HolderLeft;
  if (!O.OldReached && Earlier && this->isHeldByNone(Lost, O))
    return TakeoverGap::SoleHolder;
  if (O.Late)
    return TakeoverGap::LateOrder;
  return std::nullopt;
}

void TakeoverModel::violate(FoundFault What, Invariant Broken,
                            const std::string &Text) {
  if (!this->Violation.empty())
    return;
  this->violate(Broken, Text);
  if (!this->Violation.empty() && this->Options->Skipped.count(What) != 0)
    this->Fault = What;
}

void TakeoverModel::violate(Invariant What, const std::string &Text) {
  if (this->Violation.empty() && this->Options->Unchecked.count(What) == 0)
    this->Violation = std::string(nameOf(What)) + ": " + Text;
}

void TakeoverModel::violate(Invariant What, const std::string &Text,
                            std::uint32_t Lost, const Order &O) {
  if (!this->Violation.empty())
    return;
  this->violate(What, Text);
  if (this->Violation.empty())
    return;
  this->Gap = this->gapOf(What, Lost, O);
  if (What != Invariant::Lost || this->Gap)
    return;
  const std::optional<FoundFault> Found = this->faultOf(Lost, O);
  if (Found && this->Options->Skipped.count(*Found) != 0)
    this->Fault = Found;
}

std::optional<FoundFault> TakeoverModel::faultOf(std::uint32_t Lost,
                                                 const Order &O) const {
  bool Left = O.SteppedDownAt != 0;
  bool Returned = true;
  for (std::size_t C = 0; C < MaxCommits; ++C) {
    if ((Lost & (1U << C)) == 0)
      continue;
    const Server &Holder = this->Servers[this->Written[C].Passed.Replica];
    Left = Left && Holder.Gone;
    Returned = Returned && Holder.Predecessor == this->Written[C].Primary;
  }
  if (Returned)
    return FoundFault::ReturnedPrimaryCounts;
  if (Left)
    return FoundFault::DepartureForgotten;
  return std::nullopt;
}

bool TakeoverModel::mayPassMore() const {
  const auto Limit = this->Options->Limits.find(Kind::Commit);
  const auto Count = this->Used.find(Kind::Commit);
  const bool MayCommit =
      Limit != this->Options->Limits.end() &&
      (Count == this->Used.end() || Count->second < Limit->second);
  return MayCommit || this->Passed != (1U << this->Commits) - 1;
}

void TakeoverModel::mixObserver(std::size_t &Hash) const {
  // After the last commit has been passed on, only the list of servers counts.
  const bool More = this->mayPassMore();
  for (std::size_t S = 0; S < this->Servers.size(); ++S) {
    const Observed &Known = this->View[S];
    mix(Hash, Known.Listed + 2 * Known.Draining + 4 * Known.Start +
                  2048 * Known.LogLength);
    if (!More)
      continue;
    mix(Hash, Known.ProvedTerm + 64 * Known.Led);
    mix(Hash, Known.Primary + 2 * Known.LedUnknownTerm);
    mix(Hash, Known.End.TermNumber * 64 + Known.End.Index);
    mix(Hash, Known.UnlistedEnd.TermNumber * 64 + Known.UnlistedEnd.Index);
    // By which proofs and commits it may become established.
    const bool Open = Known.Listed && Known.ProvedTerm != FirstTerm;
    for (std::size_t C = 1; Open && C < this->Commits; ++C)
      if ((this->Passed & (1U << C)) == 0)
        mix(Hash, Known.Since <= this->Written[C].SentAt);
    for (const Vm &V : this->Vms)
      if (Open && V.Proof.Logic)
        mix(Hash, Known.Since <= V.Proof.Since);
    // Which gap a loss of a commit would belong to that is not passed on yet.
    const auto MixOrder = [this, S, &Hash](const Order &O) {
      for (const Entry &E : this->Servers[S].Log)
        if ((this->Passed & (1U << E.Commit)) == 0)
          mix(Hash, O.Answered[S] < E.ReceivedAt);
      mix(Hash, this->isReleased(S, O));
    };
    this->forEachOrder(MixOrder);
  }
  for (std::size_t C = 1; C < this->Commits; ++C) {
    const Commit &Known = this->Written[C];
    mix(Hash, Known.RemovedBy);
    this->forEachOrder([&Known, &Hash](const Order &O) {
      mix(Hash,
          isUnseen(Known.Acknowledged, O) + 2UL * isUnseen(Known.Passed, O));
    });
    mix(Hash, Known.Passed.Replica * 4 + Known.Passed.Unheard * 2UL +
                  Known.Passed.Draining);
  }
  mix(Hash, this->Answered);
  mix(Hash, this->Passed);
  mix(Hash, this->Counted);
}

} // namespace amaranthspur::testing::detail
