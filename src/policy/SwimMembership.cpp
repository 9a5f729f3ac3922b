#include "policy/SwimMembership.h"

#include "policy/Ownership.h"

#include <algorithm>
#include <bit>

namespace amaranthspur {
namespace {

/// Members of the own data centre that are asked to ping in place of this one.
/// One of another data centre is asked as well: it decides nothing, but a
/// member that it reaches is not dead, though links inside the data centre be
/// broken.
constexpr std::size_t IndirectProbes = 2;
/// Every second period one member of another data centre is pinged, so that
/// news and the configuration revision get there.
constexpr std::uint64_t OtherCentrePeriods = 2;
/// Members of the own data centre that are told at once of a death, a new
/// revision or leaving; so is one of each other data centre.
constexpr std::size_t PushOwnCentre = 3;
/// After a partition inside a data centre both sides hold each other for dead,
/// and one has to begin. About this many members of a data centre ping a dead
/// one in each period.
constexpr std::uint64_t DeadPings = 2;
/// Periods between two looks through all members.
constexpr std::uint64_t ReviewPeriods = 4;
/// Candidates that are pinged in one period.
constexpr std::size_t CandidatesPerPeriod = 8;
/// Longer than a rotation through 3,400 members, so that every member has
/// learned of a death before it is forgotten.
constexpr Duration DeadMemory = std::chrono::minutes(10);
/// Checks by all members are spread over this time per member.
constexpr std::uint64_t UnlistedSpreadMs = 10;
/// What a member learns from others in its first seconds is no news to them.
constexpr Duration JoinTime = std::chrono::seconds(10);
/// Times that news is sent, per doubling of the number of members.
constexpr unsigned SendsPerDoubling = 3;

} // namespace

SwimMembership::SwimMembership(Member Self) : Self(std::move(Self)) {}

void SwimMembership::applyReport(const Member &Report, const Member *Reporter,
                                 bool Direct, TimePoint Now) {
  if (Report.Id == this->Self.Id) {
    this->applyAboutSelf(Report);
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
  // After a long partition another data centre may still report members of
  // this one that died and were forgotten meanwhile; they have to answer.
  const bool Trusted = Direct || !this->sameCentre(Report) ||
                       (Reporter && this->sameCentre(*Reporter));
  if (Trusted)
    this->insert(Report, Direct, Now);
  else
    this->Candidates.addReported(
        {Report.Id, Report.PeerAddress, Report.Location, false}, Now);
}

void SwimMembership::applyAboutSelf(const Member &Report) {
  const bool Agrees =
      Report.Incarnation == this->Self.Incarnation &&
      (Report.State == MemberState::Live || Report.State == this->Self.State);
  if (Report.Incarnation < this->Self.Incarnation || Agrees)
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
  if (Direct || (this->FirstTick && Now - *this->FirstTick > JoinTime))
    this->News.add(Report.Id);
  this->changed();
}

void SwimMembership::replace(Record &R, const Member &Report, TimePoint Now) {
  if (R.SuspicionEnd)
    this->Suspicions.erase({*R.SuspicionEnd, R.M.Id});
  R.SuspicionEnd.reset();
  R.OwnSuspicion = false;
  const bool NewIncarnation = Report.Incarnation > R.M.Incarnation;
  if (NewIncarnation) {
    R.M = Report;
    R.Gone = false;
    R.Unlisted.onHeard();
  }
  R.M.State = Report.State;
  if (Report.State == MemberState::Dead)
    R.DeadSince = Now;
  if (Report.State == MemberState::Suspect) {
    R.M.State = MemberState::Live;
    this->startSuspicion(R, Now);
  }
  this->News.add(R.M.Id);
  this->changed();
}

void SwimMembership::startSuspicion(Record &R, TimePoint Now) {
  if (R.M.State == MemberState::Dead || R.SuspicionEnd)
    return;
  // A leaving member keeps its state: it gets no work anyway.
  if (R.M.State == MemberState::Live) {
    R.M.State = MemberState::Suspect;
    this->News.add(R.M.Id);
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
    if (Found == this->Records.end() || Found->second.Gone) {
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
                            (UnlistedSpreadMs * this->Records.size())));
  this->Candidates.retain(Ids);
  if (std::exchange(this->LeavingByList, SelfLeaving) != SelfLeaving)
    this->announceSelf(SelfLeaving || this->LeavingBySelf);
}

void SwimMembership::leave() {
  if (!std::exchange(this->LeavingBySelf, true))
    this->announceSelf(true);
}

void SwimMembership::announceSelf(bool IsLeaving) {
  this->Self.State = IsLeaving ? MemberState::Leaving : MemberState::Live;
  this->PushDue = true;
  ++this->Self.Incarnation;
  this->changed();
}

std::vector<OutgoingMembershipMessage> SwimMembership::tick(TimePoint Now,
                                                            Random &Rng) {
  Outgoing Out;
  if (this->LastTick && Now - *this->LastTick > MaxTickGap)
    this->afterPause(Now);
  if (!this->LastTick) {
    this->NextPeriod = Now;
    this->FirstTick = Now;
  }
  this->LastTick = Now;
  this->checkProbes(Now, Rng, Out);
  this->checkSuspicions(Now);
  if (std::exchange(this->PushDue, false))
    this->pushNews(Rng, Out);
  if (Now < this->NextPeriod)
    return Out;
  this->NextPeriod = std::max(this->NextPeriod + ProbePeriod, Now);
  ++this->Period;
  this->probeNext(Now, Rng, Out);
  this->pingSuspects(Out);
  if (this->Period % OtherCentrePeriods == 0)
    this->pingOtherCentre(Rng, Out);
  this->pingDead(Rng, Out);
  this->pingCandidates(Now, Rng, Out);
  if (this->Period % ReviewPeriods != 0)
    return Out;
  this->checkUnlisted(Now, Out);
  this->forgetDead(Now);
  return Out;
}

void SwimMembership::afterPause(TimePoint Now) {
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
    if (this->Ring.empty()) {
      if (this->index().OwnCentre.empty()) {
        this->pingOtherCentre(Rng, Out);
        return;
      }
      for (const Record *R : this->index().OwnCentre)
        this->Ring.push_back(R->M.Id);
      detail::shuffle(this->Ring, Rng);
    }
    const EntryVmId Id = this->Ring.back();
    this->Ring.pop_back();
    const auto Found = this->Records.find(Id);
    if (Found == this->Records.end() ||
        Found->second.M.State == MemberState::Dead || Found->second.Gone)
      continue;
    const std::uint64_t Sequence = this->NextSequence++;
    this->Probes.emplace(Sequence, Probe{Id, Now, false});
    Out.push_back(
        this->to(Found->second,
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
      Target->second.OwnSuspicion = true;
      It = this->Probes.erase(It);
      continue;
    }
    if (Now - P.SentAt >= DirectTimeout && !std::exchange(P.Indirect, true)) {
      std::vector<const Record *> Helpers = this->index().OwnCentre;
      std::erase(Helpers, &Target->second);
      detail::shuffle(Helpers, Rng);
      if (Helpers.size() > IndirectProbes)
        Helpers.resize(IndirectProbes);
      if (!this->index().OtherCentres.empty()) {
        const auto &Centre =
            this->index()
                .OtherCentres[Rng.below(this->index().OtherCentres.size())];
        Helpers.push_back(Centre[Rng.below(Centre.size())]);
      }
      for (const Record *Helper : Helpers) {
        MembershipMessage Request = this->makeMessage(
            MembershipMessageKind::PingRequest, Sequence, Helper->M.Id);
        Request.About = P.Target;
        Out.push_back(this->to(*Helper, std::move(Request)));
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
    this->PushDue = true;
    this->News.add(R.M.Id);
    this->changed();
  }
}

void SwimMembership::pingSuspects(Outgoing &Out) {
  // Told by the one that suspects it, a live member refutes in time also if
  // messages are lost. Without this, two of three test runs of 15 members at 5
  // % loss declared a live member dead.
  for (const auto &[End, Id] : this->Suspicions) {
    const Record &R = this->Records.at(Id);
    if (R.OwnSuspicion)
      this->ping(R, Out);
  }
}

void SwimMembership::ping(const Record &R, Outgoing &Out) {
  Out.push_back(this->to(R, this->makeMessage(MembershipMessageKind::Ping,
                                              this->NextSequence++, R.M.Id)));
}

void SwimMembership::pingOtherCentre(Random &Rng, Outgoing &Out) {
  if (this->index().OtherCentres.empty())
    return;
  const auto &Centre =
      this->index().OtherCentres[Rng.below(this->index().OtherCentres.size())];
  this->ping(*Centre[Rng.below(Centre.size())], Out);
}

void SwimMembership::pushNews(Random &Rng, Outgoing &Out) {
  const MemberIndex &Known = this->index();
  for (std::size_t I = 0; I < PushOwnCentre && !Known.OwnCentre.empty(); ++I)
    this->ping(*Known.OwnCentre[Rng.below(Known.OwnCentre.size())], Out);
  for (const auto &Centre : Known.OtherCentres)
    this->ping(*Centre[Rng.below(Centre.size())], Out);
}

void SwimMembership::pingDead(Random &Rng, Outgoing &Out) {
  if (this->index().DeadOnes.empty() ||
      Rng.below(this->index().OwnCentre.size() + 1) >= DeadPings)
    return;
  this->ping(*this->index().DeadOnes[Rng.below(this->index().DeadOnes.size())],
             Out);
}

void SwimMembership::pingCandidates(TimePoint Now, Random &Rng, Outgoing &Out) {
  // The own data centre first: its members answer with those whom this one has
  // to probe.
  for (const ListedMember &C : this->Candidates.due(
           CandidatesPerPeriod, this->Self.Location, Now, Rng)) {
    MembershipMessage Request = this->makeMessage(
        MembershipMessageKind::PingRequest, this->NextSequence++, C.Id);
    Request.About = C.Id;
    Out.push_back({C.Id, C.PeerAddress, std::move(Request)});
  }
}

void SwimMembership::checkUnlisted(TimePoint Now, Outgoing &Out) {
  for (auto &[Id, R] : this->Records) {
    if (R.Gone || R.M.State == MemberState::Dead)
      continue;
    const UnlistedStep Step = R.Unlisted.step(Now);
    if (Step == UnlistedStep::Ping)
      this->ping(R, Out);
    if (Step != UnlistedStep::GiveUp)
      continue;
    if (R.SuspicionEnd)
      this->Suspicions.erase({*R.SuspicionEnd, Id});
    R.SuspicionEnd.reset();
    R.Gone = true;
    R.DeadSince = Now;
    this->News.remove(Id);
    this->changed();
  }
}

void SwimMembership::forgetDead(TimePoint Now) {
  for (auto It = this->Records.begin(); It != this->Records.end();) {
    const Record &R = It->second;
    const bool Over = R.Gone || R.M.State == MemberState::Dead;
    if (!Over || Now - R.DeadSince < DeadMemory) {
      ++It;
      continue;
    }
    this->News.remove(It->first);
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
  const bool Near = Known && this->sameCentre(Recipient->second.M);
  // Who is suspected or held for dead is told so that it can refute.
  if (Known && !Recipient->second.Gone &&
      (Recipient->second.M.State == MemberState::Suspect ||
       Recipient->second.M.State == MemberState::Dead))
    Message.Members.push_back(Recipient->second.M);
  // Suspicions matter only where deaths are decided.
  const auto Wanted = [this, Near, &To](const EntryVmId &Id) {
    if (Id == To)
      return false;
    return Near || this->Records.at(Id).M.State != MemberState::Suspect;
  };
  for (const EntryVmId &Id : this->News.take(MaxNews, this->maxSends(), Wanted))
    Message.Members.push_back(this->Records.at(Id).M);
  auto Next = this->Records.upper_bound(this->RotationCursor);
  if (Next == this->Records.end())
    Next = this->Records.begin();
  if (Next == this->Records.end())
    return Message;
  this->RotationCursor = Next->first;
  if (!Next->second.Gone && Next->first != To &&
      (Near || Next->second.M.State != MemberState::Suspect))
    Message.Members.push_back(Next->second.M);
  return Message;
}

MembershipMessage SwimMembership::makeAck(std::uint64_t Sequence,
                                          const EntryVmId &To) {
  MembershipMessage Answer =
      this->makeMessage(MembershipMessageKind::Ack, Sequence, To);
  Answer.About = this->Self.Id;
  return Answer;
}

void SwimMembership::addPage(MembershipMessage &Message, Random &Rng) {
  const auto AddFrom = [&Message, &Rng](const std::vector<const Record *> &All,
                                        std::size_t Count) {
    if (All.empty())
      return;
    const std::size_t First = Rng.below(All.size());
    for (std::size_t I = 0; I < std::min(Count, All.size()); ++I)
      Message.Members.push_back(All[(First + I) % All.size()]->M);
  };
  AddFrom(this->index().OwnCentre, MaxPage / 2);
  for (const auto &Centre : this->index().OtherCentres)
    AddFrom(Centre, MaxPage / 2 / this->index().OtherCentres.size());
}

MembershipResponse SwimMembership::onMessage(const EntryVmId &From,
                                             std::uint64_t Incarnation,
                                             const MembershipMessage &Message,
                                             TimePoint Now, Random &Rng) {
  MembershipResponse Response;
  if (From == this->Self.Id) {
    Response.Verdict = MembershipVerdict::ClaimsToBeSelf;
    return Response;
  }
  auto Sender = this->Records.find(From);
  const Member *Own = nullptr;
  for (const Member &M : Message.Members)
    if (M.Id == From && M.Incarnation == Incarnation)
      Own = &M;
  if (Sender == this->Records.end() && !Own) {
    Response.Verdict = MembershipVerdict::UnknownSender;
    return Response;
  }
  if (Sender != this->Records.end() &&
      Incarnation + MaxRefutations < Sender->second.M.Incarnation) {
    // A process that was started with its clock set back cannot know that its
    // incarnation is too low; the answer tells it.
    Response.Verdict = MembershipVerdict::StaleSender;
    MembershipMessage Answer =
        this->makeMessage(MembershipMessageKind::Ack, Message.Sequence, From);
    Answer.About = this->Self.Id;
    Answer.Members.push_back(Sender->second.M);
    if (Message.Kind == MembershipMessageKind::Ping && Own)
      Response.Send.push_back({From, Own->PeerAddress, std::move(Answer)});
    return Response;
  }
  if (Own)
    this->applyReport(*Own, nullptr, true, Now);
  Sender = this->Records.find(From);
  if (Sender == this->Records.end()) {
    Response.Verdict = MembershipVerdict::UnknownSender;
    return Response;
  }
  Record &R = Sender->second;
  R.Unlisted.onHeard();
  if (std::exchange(R.Gone, false))
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
    Answer.About = this->Self.Id;
    Response.Send.push_back(this->to(R, std::move(Answer)));
    break;
  }
  case MembershipMessageKind::PingRequest: {
    if (Message.About == this->Self.Id) {
      MembershipMessage Answer =
          this->makeMessage(MembershipMessageKind::Ack, Message.Sequence, From);
      Answer.About = this->Self.Id;
      this->addPage(Answer, Rng);
      Response.Send.push_back(this->to(R, std::move(Answer)));
      break;
    }
    const auto Target = this->Records.find(Message.About);
    const std::uint64_t Sequence = this->NextSequence++;
    if (Target == this->Records.end() ||
        !this->Relays.add(Sequence, {From, Message.Sequence, Message.About,
                                     Now + RelayTable::AnswerTime}))
      break;
    Response.Send.push_back(
        this->to(Target->second, this->makeMessage(MembershipMessageKind::Ping,
                                                   Sequence, Message.About)));
    break;
  }
  case MembershipMessageKind::Ack: {
    const auto Probed = this->Probes.find(Message.Sequence);
    if (Probed != this->Probes.end() && Probed->second.Target == Message.About)
      this->Probes.erase(Probed);
    const std::optional<Relay> Back = this->Relays.take(Message.Sequence, From);
    const auto Requester =
        Back ? this->Records.find(Back->Requester) : this->Records.end();
    if (Requester == this->Records.end())
      break;
    MembershipMessage Answer = this->makeMessage(
        MembershipMessageKind::Ack, Back->Sequence, Back->Requester);
    Answer.About = Back->Target;
    Response.Send.push_back(this->to(Requester->second, std::move(Answer)));
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
    if (!R.Gone)
      this->View.push_back(R.shown());
  std::sort(this->View.begin(), this->View.end(),
            [](const Member &A, const Member &B) { return A.Id < B.Id; });
  return this->View;
}

std::optional<Member> SwimMembership::find(const EntryVmId &Id) const {
  if (Id == this->Self.Id)
    return this->Self;
  const auto Found = this->Records.find(Id);
  if (Found == this->Records.end() || Found->second.Gone)
    return std::nullopt;
  return Found->second.shown();
}

MembershipStats SwimMembership::stats() const {
  MembershipStats Stats = this->Counters;
  Stats.Candidates = this->Candidates.size();
  Stats.Live = takesWork(this->Self) ? 1 : 0;
  Stats.Leaving = 1 - Stats.Live;
  for (const auto &[Id, R] : this->Records) {
    if (R.Gone)
      continue;
    const Member M = R.shown();
    Stats.Live += takesWork(M) ? 1 : 0;
    Stats.Leaving += M.State == MemberState::Leaving ? 1 : 0;
    Stats.Dead += M.State == MemberState::Dead ? 1 : 0;
  }
  return Stats;
}

std::unique_ptr<Membership> makeSwimMembership(Member Self) {
  return std::make_unique<SwimMembership>(std::move(Self));
}

} // namespace amaranthspur
