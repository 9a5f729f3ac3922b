#include "policy/GroupBeliefs.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {

Distance Locality::distanceTo(const DataCentre &There) const {
  if (There == this->Here)
    return Distance::SameDataCentre;
  return this->isSameRegion(this->Here, There) ? Distance::SameRegion
                                               : Distance::OtherRegion;
}

bool Locality::isSameRegion(const DataCentre &A, const DataCentre &B) const {
  if (A == B)
    return true;
  const auto OfA = this->Regions.find(A);
  const auto OfB = this->Regions.find(B);
  return OfA != this->Regions.end() && OfB != this->Regions.end() &&
         OfA->second == OfB->second;
}

bool GroupBeliefs::setServers(const std::vector<RegisteredServer> &Listed) {
  std::map<ServerId, ServerBelief> Next;
  bool Changed = Listed.size() != this->Servers.size();
  for (const RegisteredServer &R : Listed) {
    ServerBelief Belief;
    const auto Known = this->Servers.find(R.Id);
    const bool Same = Known != this->Servers.end() &&
                      Known->second.Registration.isSameStart(R);
    if (Same)
      Belief = Known->second;
    const bool RoleChanged = R.Role && R.Role != Belief.Registration.Role;
    Changed = Changed || !Same || RoleChanged ||
              Belief.Registration.Draining != R.Draining;
    if (RoleChanged && R.Role != Belief.Role) {
      Belief.Role = R.Role;
      Belief.TermNumber = 0;
    }
    Belief.Registration = R;
    Next.emplace(R.Id, std::move(Belief));
  }
  this->Servers = std::move(Next);
  return Changed;
}

const ServerBelief *GroupBeliefs::find(const ServerId &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

ServerBelief *GroupBeliefs::findMutable(const ServerId &Id) {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

void GroupBeliefs::observeStatus(const ServerId &Id, const ServerReport &Report,
                                 TimePoint Now) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  // Evidence of other entry VMs may still name a primary that has stepped down.
  if (Server->Role == ServerRole::Primary && Report.Role == ServerRole::Replica)
    Server->RefusedTerm = std::max(Server->RefusedTerm, Server->TermNumber);
  Server->Role = Report.Role;
  Server->TermNumber = Report.TermNumber;
  Server->AdoptedTerm = Report.AdoptedTerm;
  Server->FailingSince.reset();
  Server->LastAnswer = Now;
  Server->Busy = Report.Busy;
  Server->BusyAt = Now;
  if (Report.Role == ServerRole::Primary)
    this->observePrimaryEnd(Report.Received, Now);
  else
    Server->Progress.observePosition({Report.Received, Now, Report.ApplyLag},
                                     this->PrimaryEnds);
}

void GroupBeliefs::observePrimaryEnd(LogPosition End, TimePoint At) {
  // A takeover changes what the replicas follow.
  if (End.TermNumber > this->PrimaryEnds.newestTerm())
    for (auto &[Id, Server] : this->Servers)
      Server.Progress.allowProbe();
  this->PrimaryEnds.observe(End, At);
}

void GroupBeliefs::observeReplica(const ServerId &Id,
                                  const ReplicaPosition &Seen) {
  if (ServerBelief *Server = this->findMutable(Id))
    Server->Progress.observePosition(Seen, this->PrimaryEnds);
}

void GroupBeliefs::observeLagging(const ServerId &Id, LogPosition Floor,
                                  TimePoint SentAt, TimePoint Now,
                                  Random &Rng) {
  if (ServerBelief *Server = this->findMutable(Id))
    Server->Progress.observeRefusal(Floor, SentAt, Now, this->PrimaryEnds, Rng);
}

void GroupBeliefs::observeServed(const ServerId &Id, TimePoint SentAt) {
  if (ServerBelief *Server = this->findMutable(Id))
    Server->Progress.observeSuccess(SentAt);
}

void GroupBeliefs::observeLeader(const ServerId &Id, Term T) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server || T <= Server->RefusedTerm)
    return;
  for (const auto &[Other, Known] : this->Servers) {
    const bool IsRival = Other != Id && Known.Role == ServerRole::Primary;
    if (Known.TermNumber > T || (IsRival && Known.TermNumber == T))
      return;
  }
  Server->Role = ServerRole::Primary;
  Server->TermNumber = T;
}

void GroupBeliefs::observeAnswer(const ServerId &Id,
                                 std::optional<LogPosition> Position,
                                 TimePoint Now) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  const std::optional<BelievedPrimary> Leader = this->primary();
  if (Position && Leader && Leader->Id == Id)
    this->observePrimaryEnd(*Position, Now);
  else if (Position)
    Server->Progress.observePosition({*Position, Now, Duration::zero()},
                                     this->PrimaryEnds);
  Server->FailingSince.reset();
  Server->LastAnswer = Now;
}

void GroupBeliefs::observeLatency(const ServerId &Id, Duration Took,
                                  TimePoint Now) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  if (Server->LatencyAt == TimePoint())
    Server->Latency = PriorLatency;
  const double Next =
      (1 - LatencyWeight) * static_cast<double>(Server->Latency.count()) +
      LatencyWeight * static_cast<double>(Took.count());
  Server->Latency = Duration(std::llround(Next));
  Server->LatencyAt = Now;
}

void GroupBeliefs::observeBusy(const ServerId &Id, TimePoint Now) {
  if (ServerBelief *Server = this->findMutable(Id))
    Server->RefusedAt = Now;
}

void GroupBeliefs::observeFailure(const ServerId &Id, TimePoint Now) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  if (!Server->FailingSince)
    Server->FailingSince = Now;
  Server->LastFailure = Now;
}

void GroupBeliefs::observeNotPrimary(const ServerId &Id) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  Server->Role = ServerRole::Replica;
  Server->RefusedTerm = std::max(Server->RefusedTerm, Server->TermNumber);
  Server->TermNumber = 0;
}

void GroupBeliefs::addInFlight(const ServerId &Id, int By) {
  ServerBelief *Server = this->findMutable(Id);
  if (!Server)
    return;
  const int Next = static_cast<int>(Server->InFlight) + By;
  Server->InFlight = static_cast<unsigned>(std::max(Next, 0));
}

std::optional<BelievedPrimary> GroupBeliefs::primary() const {
  const ServerBelief *Best = nullptr;
  const auto Precedes = [](const ServerBelief &A, const ServerBelief &B) {
    // The term of a server that has just registered as primary is not known
    // yet. It succeeds the primaries whose terms are known.
    if ((A.TermNumber == 0) != (B.TermNumber == 0))
      return A.TermNumber == 0;
    if (A.TermNumber != B.TermNumber)
      return A.TermNumber > B.TermNumber;
    return A.Registration.Version > B.Registration.Version;
  };
  for (const auto &[Id, Server] : this->Servers)
    if (Server.Role == ServerRole::Primary &&
        (!Best || Precedes(Server, *Best)))
      Best = &Server;
  if (!Best)
    return std::nullopt;
  return BelievedPrimary{Best->id(), Best->TermNumber};
}

bool GroupBeliefs::isAvoided(const ServerBelief &Server, TimePoint Now) const {
  return Server.FailingSince && Now - Server.LastFailure < AvoidAfterFailure;
}

SelectionCandidate
GroupBeliefs::candidate(const ServerBelief &Server,
                        const std::optional<BelievedPrimary> &Leader,
                        const ReadChoice &Read, TimePoint Now) const {
  SelectionCandidate C;
  C.Id = Server.id();
  C.Slots = std::max(Server.Registration.Slots, 1U);
  C.InFlight = Server.InFlight;
  C.Latency = PriorLatency;
  if (Server.LatencyAt != TimePoint()) {
    const double HalfLives =
        static_cast<double>((Now - Server.LatencyAt).count()) /
        static_cast<double>(LatencyHalfLife.count());
    C.Latency += Duration(std::llround(
        static_cast<double>((Server.Latency - PriorLatency).count()) *
        std::exp2(-HalfLives)));
  }
  if (Server.RefusedAt)
    C.RefusalAge = Now - *Server.RefusedAt;
  C.Busy = Server.Busy;
  C.BusyAge = Now - Server.BusyAt;
  switch (this->Where.distanceTo(Server.Registration.Location)) {
  case Distance::SameDataCentre:
    break;
  case Distance::SameRegion:
    C.Cost += SameRegionCost;
    break;
  case Distance::OtherRegion:
    C.Cost += OtherRegionCost;
    break;
  }
  if (Leader && Leader->Id == Server.id())
    C.Cost += PrimaryReadCost;
  if (Read.Connected && Read.Connected->count(Server.id()) == 0)
    C.Cost += OpenCost;
  return C;
}

ReplicaReadiness GroupBeliefs::readiness(const ServerBelief &Server,
                                         std::optional<LogPosition> Floor,
                                         TimePoint Now) const {
  const std::optional<BelievedPrimary> Leader = this->primary();
  if (!Floor || (Leader && Leader->Id == Server.id()))
    return ReplicaReadiness::Ready;
  return Server.Progress.readiness(*Floor, Now, this->PrimaryEnds);
}

ReadTier GroupBeliefs::tierOf(const ServerBelief &Server,
                              const std::optional<BelievedPrimary> &Leader,
                              bool LeaderUsable, const ReadChoice &Read,
                              TimePoint Now) const {
  const bool IsLeader = Leader && Leader->Id == Server.id();
  if (Server.Registration.Draining && !IsLeader)
    return ReadTier::LeftOut;
  const ReplicaReadiness State = this->readiness(Server, Read.Floor, Now);
  if (LeaderUsable && State == ReplicaReadiness::Behind)
    return ReadTier::LeftOut;
  if (this->isAvoided(Server, Now) || Server.Registration.Draining)
    return ReadTier::Last;
  // A probe costs one read a round trip; it is tried first, since the servers
  // after it can still run the read.
  if (State == ReplicaReadiness::Probe)
    return ReadTier::Probe;
  return State == ReplicaReadiness::Behind ? ReadTier::Behind
                                           : ReadTier::Usable;
}

namespace {

/// Applies the preference of a home to the servers that can run the read,
/// unless the workspace has an idle connection to one of them.
void preferOneServer(std::vector<ReadCandidate> &All, const ReadChoice &Read) {
  std::vector<SelectionCandidate> Usable;
  for (const ReadCandidate &C : All)
    if (C.Tier == ReadTier::Usable)
      Usable.push_back(C.Evidence);
  const bool IsConnected = std::any_of(
      Usable.begin(), Usable.end(), [&Read](const SelectionCandidate &C) {
        return Read.Connected && Read.Connected->count(C.Id) != 0;
      });
  if (IsConnected)
    return;
  preferByHash(Usable, Read.AtHomeOf);
  auto Next = Usable.begin();
  for (ReadCandidate &C : All)
    if (C.Tier == ReadTier::Usable)
      C.Evidence = std::move(*Next++);
}

} // namespace

std::vector<ReadCandidate> GroupBeliefs::readCandidates(const ReadChoice &Read,
                                                        TimePoint Now) const {
  const std::optional<BelievedPrimary> Leader = this->primary();
  const bool LeaderUsable =
      Leader && !this->isAvoided(*this->find(Leader->Id), Now);
  std::vector<ReadCandidate> Out;
  Out.reserve(this->Servers.size());
  for (const auto &[Id, Server] : this->Servers)
    Out.push_back({this->candidate(Server, Leader, Read, Now),
                   this->tierOf(Server, Leader, LeaderUsable, Read, Now)});
  if (!Read.AtHomeOf.empty())
    preferOneServer(Out, Read);
  return Out;
}

std::vector<ServerId> GroupBeliefs::readOrder(const ReadChoice &Read,
                                              TimePoint Now,
                                              Random &Rng) const {
  std::vector<ServerId> Order;
  std::map<ReadTier, std::vector<SelectionCandidate>> Tiers;
  for (ReadCandidate &C : this->readCandidates(Read, Now)) {
    if (C.Tier == ReadTier::Probe)
      Order.push_back(std::move(C.Evidence.Id));
    else if (C.Tier != ReadTier::LeftOut)
      Tiers[C.Tier].push_back(std::move(C.Evidence));
  }
  for (const auto &[Tier, Servers] : Tiers)
    for (ServerId &Id : selectionOrder(Servers, Read.Choosers, Rng))
      Order.push_back(std::move(Id));
  return Order;
}

std::optional<ServerId> GroupBeliefs::chooseReader(const ReadChoice &Read,
                                                   TimePoint Now, Random &Rng) {
  for (const ServerId &Id : this->readOrder(Read, Now, Rng)) {
    if (Read.Tried.count(Id) != 0)
      continue;
    ServerBelief &Chosen = this->Servers.at(Id);
    if (this->readiness(Chosen, Read.Floor, Now) == ReplicaReadiness::Probe)
      Chosen.Progress.beginProbe(Now, Rng);
    return Id;
  }
  return std::nullopt;
}

} // namespace amaranthspur
