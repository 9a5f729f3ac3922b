#include "policy/SwimMembership.h"

#include "policy/Ownership.h"

#include <algorithm>
#include <bit>

namespace amaranthspur {
namespace {

/// Number of members of the own data centre that are asked to ping a member
/// that did not answer. One member of another data centre is asked as well. It
/// never declares the member dead, but its relayed answer proves that the
/// member is alive even if links inside the data centre are broken.
constexpr std::size_t IndirectProbeHelpers = 2;
/// One member of another data centre is pinged every this many probe periods,
/// so that updates and the configuration revision reach the other data centres.
constexpr std::uint64_t OtherCentrePingPeriods = 2;
/// Number of members of the own data centre that are pinged at once after a
/// death, a new revision or a change of this member's leaving state. One member
/// of each other data centre is pinged as well.
constexpr std::size_t PushOwnCentre = 3;
/// After a partition inside a data centre, each side considers the other side
/// dead, and neither would ping the other again. In each probe period, about
/// this many members of a data centre therefore ping a dead member.
constexpr std::uint64_t DeadPingsPerPeriod = 2;
/// Number of probe periods between two reviews of all member records.
constexpr std::uint64_t ReviewPeriods = 4;
/// Maximum number of candidates that are pinged in one probe period.
constexpr std::size_t CandidatesPerPeriod = 8;
/// How long the record of a dead member is kept. This is longer than one
/// round-robin pass through 3,400 members, so every member learns of a death
/// before the record is removed.
constexpr Duration DeadRecordRetention = std::chrono::minutes(10);
/// The checks of an unlisted member by all other members are spread over this
/// number of milliseconds per member.
constexpr std::uint64_t UnlistedCheckSpreadMs = 10;
/// What a new member learns from others during this time is already known to
/// them, so it is not queued as an update.
constexpr Duration JoinDuration = std::chrono::seconds(10);
/// How often an update is sent, per doubling of the number of members.
constexpr unsigned SendsPerDoubling = 3;

} // namespace

SwimMembership::SwimMembership(Member Self) : Self(std::move(Self)) {}

void SwimMembership::applyReport(const Member &Report, const Member *Reporter,
                                 bool Direct, TimePoint Now) {
  if (Report.Id == this->Self.Id) {
    this->applyReportAboutSelf(Report);
    return;
  }
  const auto Found = this->Records.find(Report.Id);
  if (Found != this->Records.end()) {
    if (overrides(Report, Found->second.M))
      this->replace(Found->second, Report, Now);
    return;
  }
  if (Report.State == MemberState::Dead)
    return;
  // After a long partition, another data centre may still report members of
  // this data centre that have died and whose records were removed here. They
  // become candidates and have to answer first.
  const bool Trusted = Direct || !this->sameCentre(Report) ||
                       (Reporter && this->sameCentre(*Reporter));
  if (Trusted)
    this->insert(Report, Direct, Now);
  else
    this->Candidates.addReported(
        {Report.Id, Report.PeerAddress, Report.Location, false}, Now);
}

void SwimMembership::applyReportAboutSelf(const Member &Report) {
  const bool Consistent =
      Report.Incarnation == this->Self.Incarnation &&
      (Report.State == MemberState::Live || Report.State == this->Self.State);
  if (Report.Incarnation < this->Self.Incarnation || Consistent)
    return;
  this->Self.Incarnation = Report.Incarnation + 1;
  ++this->Counters.Refutations;
  this->changed();
}

void SwimMembership::insert(const Member &Report, bool Direct, TimePoint Now) {
  if (this->Records.size() >= MaxMembers)
    return;
  Record &R = this->Records[Report.Id];
  R.M = Report;
  if (const ListedMember *Listed = this->Candidates.find(Report.Id))
    R.ListedLeaving = Listed->Leaving;
  this->Candidates.remove(Report.Id);
  if (Report.State == MemberState::Suspect) {
    R.M.State = MemberState::Live;
    this->startSuspicion(R, Now);
  }
  if (Direct || (this->FirstTick && Now - *this->FirstTick > JoinDuration))
    this->Updates.add(Report.Id);
  this->changed();
}

void SwimMembership::replace(Record &R, const Member &Report, TimePoint Now) {
  if (R.SuspicionEnd)
    this->Suspicions.erase({*R.SuspicionEnd, R.M.Id});
  R.SuspicionEnd.reset();
  R.ProbeFailed = false;
  const bool NewIncarnation = Report.Incarnation > R.M.Incarnation;
  if (NewIncarnation) {
    R.M = Report;
    R.Removed = false;
    R.Unlisted.onHeard();
  }
  R.M.State = Report.State;
  if (Report.State == MemberState::Dead)
    R.DeadSince = Now;
  if (Report.State == MemberState::Suspect) {
    R.M.State = MemberState::Live;
    this->startSuspicion(R, Now);
  }
  this->Updates.add(R.M.Id);
  this->changed();
}

void SwimMembership::startSuspicion(Record &R, TimePoint Now) {
  if (R.M.State == MemberState::Dead || R.SuspicionEnd)
    return;
  // A leaving member keeps its state, because it receives no new work anyway.
  if (R.M.State == MemberState::Live) {
    R.M.State = MemberState::Suspect;
    this->Updates.add(R.M.Id);
    this->changed();
  }
  if (!this->sameCentre(R.M))
    return;
  ++this->Counters.Suspicions;
  R.SuspicionEnd = Now + SuspicionTime;
  this->Suspicions.emplace(*R.SuspicionEnd, R.M.Id);
}

void SwimMembership::addSeeds(const std::vector<ListedMember> &Seeds,
                              TimePoint Now) {
  for (const ListedMember &Seed : Seeds)
    if (Seed.Id != this->Self.Id && !this->Records.contains(Seed.Id))
      this->Candidates.add(Seed, true, Now);
}

void SwimMembership::setListed(const std::vector<ListedMember> &List,
                               TimePoint Now) {
  if (List.empty())
    return;
  std::set<EntryVmId> Ids;
  bool SelfLeaving = false;
  for (const ListedMember &Listed : List) {
    Ids.insert(Listed.Id);
    if (Listed.Id == this->Self.Id) {
      SelfLeaving = Listed.Leaving;
      continue;
    }
    const auto Found = this->Records.find(Listed.Id);
    if (Found == this->Records.end() || Found->second.Removed) {
      this->Candidates.add(Listed, false, Now);
      continue;
    }
    Record &R = Found->second;
    R.Unlisted.onListed();
    if (std::exchange(R.ListedLeaving, Listed.Leaving) != Listed.Leaving)
      this->changed();
  }
  for (auto &[Id, R] : this->Records)
    if (!Ids.contains(Id))
      R.Unlisted.onUnlisted(
          Now, milliseconds(rendezvousWeight(this->Self.Id.str(), Id) %
                            (UnlistedCheckSpreadMs * this->Records.size())));
  this->Candidates.retain(Ids);
  if (std::exchange(this->ListedAsLeaving, SelfLeaving) != SelfLeaving)
    this->announceSelf(SelfLeaving || this->LeaveRequested);
}

void SwimMembership::leave() {
  if (!std::exchange(this->LeaveRequested, true))
    this->announceSelf(true);
}

void SwimMembership::announceSelf(bool IsLeaving) {
  this->Self.State = IsLeaving ? MemberState::Leaving : MemberState::Live;
  this->PushPending = true;
  ++this->Self.Incarnation;
  this->changed();
}

std::vector<OutgoingMembershipMessage> SwimMembership::tick(TimePoint Now,
                                                            Random &Rng) {
  Outgoing Out;
  if (this->LastTick && Now - *this->LastTick > PauseThreshold)
    this->resetAfterPause(Now);
  if (!this->LastTick) {
    this->NextPeriod = Now;
    this->FirstTick = Now;
  }
  this->LastTick = Now;
  this->checkProbes(Now, Rng, Out);
  this->checkSuspicions(Now);
  if (std::exchange(this->PushPending, false))
    this->pushUpdates(Rng, Out);
  if (Now < this->NextPeriod)
    return Out;
  this->NextPeriod = std::max(this->NextPeriod + ProbePeriod, Now);
  ++this->Period;
  this->probeNext(Now, Rng, Out);
  this->pingSuspects(Out);
  if (this->Period % OtherCentrePingPeriods == 0)
    this->pingOtherCentre(Rng, Out);
  this->pingDead(Rng, Out);
  this->pingCandidates(Now, Rng, Out);
  if (this->Period % ReviewPeriods != 0)
    return Out;
  this->checkUnlisted(Now, Out);
  this->removeExpiredRecords(Now);
  return Out;
}

void SwimMembership::resetAfterPause(TimePoint Now) {
  ++this->Counters.Pauses;
  this->Probes.clear();
  this->Relays.clear();
  this->Suspicions.clear();
  for (auto &[Id, R] : this->Records) {
    if (!R.SuspicionEnd)
      continue;
    R.SuspicionEnd = Now + SuspicionTime;
    this->Suspicions.emplace(*R.SuspicionEnd, Id);
  }
}

void SwimMembership::probeNext(TimePoint Now, Random &Rng, Outgoing &Out) {
  while (true) {
    if (this->ProbeOrder.empty()) {
      if (this->index().OwnCentre.empty()) {
        this->pingOtherCentre(Rng, Out);
        return;
      }
      for (const Record *R : this->index().OwnCentre)
        this->ProbeOrder.push_back(R->M.Id);
      detail::shuffle(this->ProbeOrder, Rng);
    }
    const EntryVmId Id = this->ProbeOrder.back();
    this->ProbeOrder.pop_back();
    const auto Found = this->Records.find(Id);
    if (Found == this->Records.end() ||
        Found->second.M.State == MemberState::Dead || Found->second.Removed)
      continue;
    const std::uint64_t Sequence = this->NextSequence++;
    this->Probes.emplace(Sequence, Probe{Id, Now, false});
    Out.push_back(this->makeOutgoing(
        Found->second,
        this->makeMessage(MembershipMessageKind::Ping, Sequence, Id)));
    return;
  }
}

void SwimMembership::checkProbes(TimePoint Now, Random &Rng, Outgoing &Out) {
  for (auto It = this->Probes.begin(); It != this->Probes.end();) {
    auto &[Sequence, P] = *It;
    const auto Target = this->Records.find(P.Target);
    if (Target == this->Records.end()) {
      It = this->Probes.erase(It);
      continue;
    }
    if (Now - P.SentAt >= DirectTimeout + ProbePeriod / 2) {
      this->startSuspicion(Target->second, Now);
      Target->second.ProbeFailed = true;
      It = this->Probes.erase(It);
      continue;
    }
    if (Now - P.SentAt >= DirectTimeout && !std::exchange(P.Indirect, true)) {
      std::vector<const Record *> Helpers = this->index().OwnCentre;
      std::erase(Helpers, &Target->second);
      detail::shuffle(Helpers, Rng);
      if (Helpers.size() > IndirectProbeHelpers)
        Helpers.resize(IndirectProbeHelpers);
      if (!this->index().OtherCentres.empty()) {
        const auto &Centre =
            this->index()
                .OtherCentres[Rng.below(this->index().OtherCentres.size())];
        Helpers.push_back(Centre[Rng.below(Centre.size())]);
      }
      for (const Record *Helper : Helpers) {
        MembershipMessage Request = this->makeMessage(
            MembershipMessageKind::PingRequest, Sequence, Helper->M.Id);
        Request.Subject = P.Target;
        Out.push_back(this->makeOutgoing(*Helper, std::move(Request)));
      }
    }
    ++It;
  }
  this->Relays.expire(Now);
}

void SwimMembership::checkSuspicions(TimePoint Now) {
  while (!this->Suspicions.empty() && this->Suspicions.begin()->first <= Now) {
    Record &R = this->Records.at(this->Suspicions.begin()->second);
    this->Suspicions.erase(this->Suspicions.begin());
    R.SuspicionEnd.reset();
    R.M.State = MemberState::Dead;
    R.DeadSince = Now;
    ++this->Counters.Deaths;
    this->PushPending = true;
    this->Updates.add(R.M.Id);
    this->changed();
  }
}

void SwimMembership::pingSuspects(Outgoing &Out) {
  // A ping from the member that suspects it lets a live member refute in time
  // even if messages are lost. Without these pings, two of three test runs with
  // 15 members and 5 % message loss declared a live member dead.
  for (const auto &[End, Id] : this->Suspicions) {
    const Record &R = this->Records.at(Id);
    if (R.ProbeFailed)
      this->ping(R, Out);
  }
}

void SwimMembership::ping(const Record &R, Outgoing &Out) {
  Out.push_back(
      this->makeOutgoing(R, this->makeMessage(MembershipMessageKind::Ping,
                                              this->NextSequence++, R.M.Id)));
}

void SwimMembership::pingOtherCentre(Random &Rng, Outgoing &Out) {
  if (this->index().OtherCentres.empty())
    return;
  const auto &Centre =
      this->index().OtherCentres[Rng.below(this->index().OtherCentres.size())];
  this->ping(*Centre[Rng.below(Centre.size())], Out);
}

void SwimMembership::pushUpdates(Random &Rng, Outgoing &Out) {
  const MemberIndex &Known = this->index();
  for (std::size_t I = 0; I < PushOwnCentre && !Known.OwnCentre.empty(); ++I)
    this->ping(*Known.OwnCentre[Rng.below(Known.OwnCentre.size())], Out);
  for (const auto &Centre : Known.OtherCentres)
    this->ping(*Centre[Rng.below(Centre.size())], Out);
}

void SwimMembership::pingDead(Random &Rng, Outgoing &Out) {
  if (this->index().DeadInOwnCentre.empty() ||
      Rng.below(this->index().OwnCentre.size() + 1) >= DeadPingsPerPeriod)
    return;
  this->ping(
      *this->index()
           .DeadInOwnCentre[Rng.below(this->index().DeadInOwnCentre.size())],
      Out);
}

void SwimMembership::pingCandidates(TimePoint Now, Random &Rng, Outgoing &Out) {
  // Candidates of the own data centre come first, because their answers contain
  // the members that this one has to probe.
  for (const ListedMember &C : this->Candidates.due(
           CandidatesPerPeriod, this->Self.Location, Now, Rng)) {
    MembershipMessage Request = this->makeMessage(
        MembershipMessageKind::PingRequest, this->NextSequence++, C.Id);
    Request.Subject = C.Id;
    Out.push_back({C.Id, C.PeerAddress, std::move(Request)});
  }
}

void SwimMembership::checkUnlisted(TimePoint Now, Outgoing &Out) {
  for (auto &[Id, R] : this->Records) {
    if (R.Removed || R.M.State == MemberState::Dead)
      continue;
    const UnlistedAction Action = R.Unlisted.nextAction(Now);
    if (Action == UnlistedAction::Ping)
      this->ping(R, Out);
    if (Action != UnlistedAction::Remove)
      continue;
    if (R.SuspicionEnd)
      this->Suspicions.erase({*R.SuspicionEnd, Id});
    R.SuspicionEnd.reset();
    R.Removed = true;
    R.DeadSince = Now;
    this->Updates.remove(Id);
    this->changed();
  }
}

void SwimMembership::removeExpiredRecords(TimePoint Now) {
  for (auto It = this->Records.begin(); It != this->Records.end();) {
    const Record &R = It->second;
    const bool DeadOrRemoved = R.Removed || R.M.State == MemberState::Dead;
    if (!DeadOrRemoved || Now - R.DeadSince < DeadRecordRetention) {
      ++It;
      continue;
    }
    this->Updates.remove(It->first);
    It = this->Records.erase(It);
    this->changed();
  }
}

unsigned SwimMembership::maxSends() const {
  return SendsPerDoubling *
         static_cast<unsigned>(std::bit_width(this->Records.size() + 1));
}

MembershipMessage SwimMembership::makeMessage(MembershipMessageKind Kind,
                                              std::uint64_t Sequence,
                                              const EntryVmId &To) {
  MembershipMessage Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.Revision = this->Revision;
  Message.Members.push_back(this->Self);
  const auto Recipient = this->Records.find(To);
  const bool Known = Recipient != this->Records.end();
  const bool InOwnCentre = Known && this->sameCentre(Recipient->second.M);
  // The message to a member that is considered suspect or dead contains its own
  // record, so that the member can refute it.
  if (Known && !Recipient->second.Removed &&
      (Recipient->second.M.State == MemberState::Suspect ||
       Recipient->second.M.State == MemberState::Dead))
    Message.Members.push_back(Recipient->second.M);
  // Suspicions are sent only within the own data centre, because only members
  // of the suspect's data centre declare it dead.
  const auto IsRelevant = [this, InOwnCentre, &To](const EntryVmId &Id) {
    if (Id == To)
      return false;
    return InOwnCentre || this->Records.at(Id).M.State != MemberState::Suspect;
  };
  for (const EntryVmId &Id :
       this->Updates.take(MaxPiggybackedUpdates, this->maxSends(), IsRelevant))
    Message.Members.push_back(this->Records.at(Id).M);
  auto Next = this->Records.upper_bound(this->RoundRobinCursor);
  if (Next == this->Records.end())
    Next = this->Records.begin();
  if (Next == this->Records.end())
    return Message;
  this->RoundRobinCursor = Next->first;
  if (!Next->second.Removed && Next->first != To &&
      (InOwnCentre || Next->second.M.State != MemberState::Suspect))
    Message.Members.push_back(Next->second.M);
  return Message;
}

MembershipMessage SwimMembership::makeAck(std::uint64_t Sequence,
                                          const EntryVmId &To) {
  MembershipMessage Answer =
      this->makeMessage(MembershipMessageKind::Ack, Sequence, To);
  Answer.Subject = this->Self.Id;
  return Answer;
}

void SwimMembership::addMemberSample(MembershipMessage &Message, Random &Rng) {
  const auto AddFrom = [&Message, &Rng](const std::vector<const Record *> &All,
                                        std::size_t Count) {
    if (All.empty())
      return;
    const std::size_t First = Rng.below(All.size());
    for (std::size_t I = 0; I < std::min(Count, All.size()); ++I)
      Message.Members.push_back(All[(First + I) % All.size()]->M);
  };
  AddFrom(this->index().OwnCentre, MaxSampleEntries / 2);
  for (const auto &Centre : this->index().OtherCentres)
    AddFrom(Centre, MaxSampleEntries / 2 / this->index().OtherCentres.size());
}

MembershipResponse SwimMembership::onMessage(const EntryVmId &From,
                                             std::uint64_t Incarnation,
                                             const MembershipMessage &Message,
                                             TimePoint Now, Random &Rng) {
  MembershipResponse Response;
  if (From == this->Self.Id) {
    Response.Result = MembershipResult::ClaimsToBeSelf;
    return Response;
  }
  auto Sender = this->Records.find(From);
  const Member *SenderEntry = nullptr;
  for (const Member &M : Message.Members)
    if (M.Id == From && M.Incarnation == Incarnation)
      SenderEntry = &M;
  if (Sender == this->Records.end() && !SenderEntry) {
    Response.Result = MembershipResult::UnknownSender;
    return Response;
  }
  if (Sender != this->Records.end() &&
      Incarnation + MaxRefutations < Sender->second.M.Incarnation) {
    // A process that was started after its clock was set back sends an
    // incarnation that is too low and cannot detect this itself. The answer
    // therefore contains the recorded incarnation.
    Response.Result = MembershipResult::StaleSender;
    MembershipMessage Answer =
        this->makeMessage(MembershipMessageKind::Ack, Message.Sequence, From);
    Answer.Subject = this->Self.Id;
    Answer.Members.push_back(Sender->second.M);
    if (Message.Kind == MembershipMessageKind::Ping && SenderEntry)
      Response.Messages.push_back(
          {From, SenderEntry->PeerAddress, std::move(Answer)});
    return Response;
  }
  if (SenderEntry)
    this->applyReport(*SenderEntry, nullptr, true, Now);
  Sender = this->Records.find(From);
  if (Sender == this->Records.end()) {
    Response.Result = MembershipResult::UnknownSender;
    return Response;
  }
  Record &R = Sender->second;
  R.Unlisted.onHeard();
  if (std::exchange(R.Removed, false))
    this->changed();
  this->Candidates.remove(From);
  const Member Reporter = R.M;
  for (const Member &M : Message.Members)
    if (M.Id != From)
      this->applyReport(M, &Reporter, false, Now);

  switch (Message.Kind) {
  case MembershipMessageKind::Ping: {
    MembershipMessage Answer =
        this->makeMessage(MembershipMessageKind::Ack, Message.Sequence, From);
    Answer.Subject = this->Self.Id;
    Response.Messages.push_back(this->makeOutgoing(R, std::move(Answer)));
    break;
  }
  case MembershipMessageKind::PingRequest: {
    if (Message.Subject == this->Self.Id) {
      MembershipMessage Answer =
          this->makeMessage(MembershipMessageKind::Ack, Message.Sequence, From);
      Answer.Subject = this->Self.Id;
      this->addMemberSample(Answer, Rng);
      Response.Messages.push_back(this->makeOutgoing(R, std::move(Answer)));
      break;
    }
    const auto Target = this->Records.find(Message.Subject);
    const std::uint64_t Sequence = this->NextSequence++;
    if (Target == this->Records.end() ||
        !this->Relays.add(Sequence, {From, Message.Sequence, Message.Subject,
                                     Now + RelayTable::RelayTimeout}))
      break;
    Response.Messages.push_back(this->makeOutgoing(
        Target->second, this->makeMessage(MembershipMessageKind::Ping, Sequence,
                                          Message.Subject)));
    break;
  }
  case MembershipMessageKind::Ack: {
    const auto Probed = this->Probes.find(Message.Sequence);
    if (Probed != this->Probes.end() &&
        Probed->second.Target == Message.Subject)
      this->Probes.erase(Probed);
    const std::optional<RelayedPing> Relayed =
        this->Relays.take(Message.Sequence, From);
    const auto Requester =
        Relayed ? this->Records.find(Relayed->Requester) : this->Records.end();
    if (Requester == this->Records.end())
      break;
    MembershipMessage Answer = this->makeMessage(
        MembershipMessageKind::Ack, Relayed->Sequence, Relayed->Requester);
    Answer.Subject = Relayed->Target;
    Response.Messages.push_back(
        this->makeOutgoing(Requester->second, std::move(Answer)));
    break;
  }
  }
  return Response;
}

const MemberIndex &SwimMembership::index() {
  if (std::exchange(this->IndexStale, false))
    this->Index.rebuild(this->Records, this->Self.Location);
  return this->Index;
}

const std::vector<Member> &SwimMembership::members() const {
  if (!std::exchange(this->ViewStale, false))
    return this->View;
  this->View.clear();
  this->View.push_back(this->Self);
  for (const auto &[Id, R] : this->Records)
    if (!R.Removed)
      this->View.push_back(R.effective());
  std::sort(this->View.begin(), this->View.end(),
            [](const Member &A, const Member &B) { return A.Id < B.Id; });
  return this->View;
}

std::optional<Member> SwimMembership::find(const EntryVmId &Id) const {
  if (Id == this->Self.Id)
    return this->Self;
  const auto Found = this->Records.find(Id);
  if (Found == this->Records.end() || Found->second.Removed)
    return std::nullopt;
  return Found->second.effective();
}

MembershipStats SwimMembership::stats() const {
  MembershipStats Stats = this->Counters;
  Stats.Candidates = this->Candidates.size();
  Stats.Live = acceptsWork(this->Self) ? 1 : 0;
  Stats.Leaving = 1 - Stats.Live;
  for (const auto &[Id, R] : this->Records) {
    if (R.Removed)
      continue;
    const Member M = R.effective();
    Stats.Live += acceptsWork(M) ? 1 : 0;
    Stats.Leaving += M.State == MemberState::Leaving ? 1 : 0;
    Stats.Dead += M.State == MemberState::Dead ? 1 : 0;
  }
  return Stats;
}

std::unique_ptr<Membership> makeSwimMembership(Member Self) {
  return std::make_unique<SwimMembership>(std::move(Self));
}

} // namespace amaranthspur
