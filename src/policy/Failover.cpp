#include "policy/Failover.h"

#include "policy/Durability.h"

#include <algorithm>
#include <map>

namespace amaranthspur {
namespace {

/// An action ends this long after its limit at the latest, unless the process
/// was paused meanwhile.
constexpr Duration ActionSlack = milliseconds(100);

/// Detection and the course of a promotion; the parts in which the majority
/// failover and the naive one differ are virtual.
class FailoverCourse : public Failover {
public:
  explicit FailoverCourse(Random &Rng) : Rng(Rng) {}

  FailoverAction step(const GroupObservation &Seen, TimePoint Now) final {
    this->noticePause(Seen, Now);
    this->takeIn(Seen, Now);
    if (Seen.Outcome) {
      FailoverAction Next = this->advance(*Seen.Outcome, Seen, Now);
      if (Next.Step != FailoverStep::Wait)
        return Next;
    }
    switch (this->Current) {
    case FailoverPhase::Watching:
      return this->watch(Seen, Now);
    case FailoverPhase::Delaying:
      return this->delay(Seen, Now);
    case FailoverPhase::BackingOff:
      if (Now >= this->BackOffUntil)
        this->Current = FailoverPhase::Watching;
      return {};
    case FailoverPhase::Probing:
    case FailoverPhase::Claiming:
    case FailoverPhase::Adopting:
    case FailoverPhase::Promoting:
      break; // The outcome has not come yet.
    }
    return {};
  }

  FailoverPhase phase() const final { return this->Current; }
  Trouble trouble() const final { return this->Reason; }

protected:
  /// Returns whether a promotion may start now.
  virtual bool mayStart(const GroupObservation &Seen, TimePoint Now) const = 0;
  /// Returns the first action of a promotion in \p T and sets the phase.
  virtual FailoverAction begin(const GroupObservation &Seen, Term T,
                               TimePoint Now) = 0;
  /// Returns whom to promote after \p Adoptions, or nothing if they are not
  /// enough.
  virtual std::optional<ServerId>
  choose(const std::vector<Adoption> &Adoptions,
         const GroupObservation &Seen) const = 0;

  static bool answersAt(const ServerObservation &Server, TimePoint Now) {
    return Server.Status && Now - Server.AnsweredAt < SilenceLimit;
  }

  /// Returns whether the promise and the log of \p Server count for a majority.
  /// An empty log counts only in a group that has never had another.
  bool counts(const ServerId &Server, LogPosition End) const {
    return !this->GroupHasLog ||
           (!this->LostLogs.contains(Server) && End.Index > 0);
  }

  FailoverAction adopt(Term T, std::vector<ServerId> From, std::size_t Needed) {
    this->Current = FailoverPhase::Adopting;
    this->Target = T;
    FailoverAction Action;
    Action.Step = FailoverStep::Adopt;
    Action.TermNumber = T;
    Action.Adopters = std::move(From);
    Action.Needed = Needed;
    return Action;
  }

  FailoverAction claim(Term T) {
    this->Current = FailoverPhase::Claiming;
    this->Target = T;
    FailoverAction Action;
    Action.Step = FailoverStep::Claim;
    Action.TermNumber = T;
    return Action;
  }

  /// Adopts after the claim; the naive failover makes no claim.
  virtual FailoverAction afterClaim(const GroupObservation &) { return {}; }

  Term Target = 0; ///< Term of the promotion under way.
  Trouble Reason = Trouble::None;
  std::optional<ServerId> Leader; ///< Primary of the highest term known.
  Term LeaderTerm = 0;

private:
  /// Forgets what a paused process cannot know: that the silence it sees is not
  /// its own. An adoption by a majority stays valid, and dropping it would
  /// leave the group without a primary for longer.
  void noticePause(const GroupObservation &Seen, TimePoint Now) {
    const Duration Limit = Seen.Outcome
                               ? std::max(ClaimLimit, CallLimit) + ActionSlack
                               : PauseLimit;
    const bool Paused = !this->LastStep || Now - *this->LastStep > Limit;
    this->LastStep = Now;
    if (!Paused)
      return;
    this->HeardSince = Now;
    this->StrandedSince.reset();
    this->ProbeFailed = false;
    if (this->Current != FailoverPhase::Adopting &&
        this->Current != FailoverPhase::Promoting)
      this->Current = FailoverPhase::Watching;
  }

  void takeIn(const GroupObservation &Seen, TimePoint Now) {
    for (const ServerObservation &Server : Seen.Servers)
      if (Server.Status &&
          Server.AnsweredAt != this->Last[Server.Id].AnsweredAt)
        this->takeInStatus(Server);
    this->HighestAdopted = this->LeaderTerm;
    for (const ServerObservation &Server : Seen.Servers)
      if (answersAt(Server, Now))
        this->HighestAdopted =
            std::max(this->HighestAdopted, Server.Status->AdoptedTerm);
  }

  void takeInStatus(const ServerObservation &Server) {
    const ServerStatus &Status = *Server.Status;
    this->HighestTerm = std::max(
        {this->HighestTerm, Status.AdoptedTerm, Status.LogEnd.TermNumber});
    this->GroupHasLog = this->GroupHasLog || Status.LogEnd.Index > 0;
    this->noticeLostLog(Server);
    const bool Leads = Status.Role == ServerRole::Primary &&
                       Status.LogEnd.TermNumber == Status.AdoptedTerm;
    if (Leads && Status.AdoptedTerm > this->LeaderTerm)
      this->setLeader(Server.Id, Status.AdoptedTerm);
    this->Last[Server.Id] = {Status.AdoptedTerm, Status.LogEnd,
                             Server.AnsweredAt};
  }

  void setLeader(const ServerId &Server, Term T) {
    this->Leader = Server;
    this->LeaderTerm = T;
    this->ProbeFailed = false;
    this->LastFollow.clear();
    // It was chosen by a majority, whatever this watcher thought of its log.
    this->LostLogs.erase(Server);
    for (auto &[Id, CatchUp] : this->LostLogs)
      CatchUp.reset();
  }

  /// The adopted term never goes back, and a log that has entries of the
  /// adopted term never gets shorter, unless the server lost its state. Such a
  /// server counts again when it holds what the primary reported afterwards.
  void noticeLostLog(const ServerObservation &Server) {
    const ServerStatus &Status = *Server.Status;
    const Memory &Before = this->Last[Server.Id];
    const bool Shorter = Status.AdoptedTerm == Before.AdoptedTerm &&
                         Before.LogEnd.TermNumber == Before.AdoptedTerm &&
                         Status.LogEnd < Before.LogEnd;
    if (Status.AdoptedTerm < Before.AdoptedTerm || Shorter) {
      this->LostLogs[Server.Id] = std::nullopt;
      return;
    }
    // A server that is new to this watcher may have been emptied before.
    if (Status.AdoptedTerm == 0)
      this->LostLogs.try_emplace(Server.Id);
    if (this->Leader == Server.Id) {
      for (auto &[Id, CatchUp] : this->LostLogs)
        if (!CatchUp && Id != Server.Id)
          CatchUp = Status.LogEnd;
      return;
    }
    const auto Lost = this->LostLogs.find(Server.Id);
    if (Lost != this->LostLogs.end() && Lost->second &&
        Status.AdoptedTerm == this->LeaderTerm &&
        Status.LogEnd >= *Lost->second)
      this->LostLogs.erase(Lost);
  }

  const ServerObservation *find(const GroupObservation &Seen,
                                const ServerId &Id) const {
    for (const ServerObservation &Server : Seen.Servers)
      if (Server.Id == Id)
        return &Server;
    return nullptr;
  }

  /// Returns why the group needs a promotion, before any probe.
  Trouble assess(const GroupObservation &Seen, TimePoint Now) {
    if (this->HighestAdopted > this->LeaderTerm) {
      if (!this->StrandedSince || this->StrandedTerm != this->HighestAdopted)
        this->StrandedSince = Now;
      this->StrandedTerm = this->HighestAdopted;
      if (Now - *this->StrandedSince >= StrandedLimit)
        return Trouble::Stranded;
    } else {
      this->StrandedSince.reset();
    }
    const ServerObservation *Primary =
        this->Leader ? this->find(Seen, *this->Leader) : nullptr;
    const TimePoint Heard =
        std::max(this->HeardSince, Primary ? Primary->AnsweredAt : TimePoint());
    if (Now - Heard >= SilenceLimit)
      return Trouble::Silent;
    if (!Primary || !Primary->Status || Primary->AnsweredAt < this->HeardSince)
      return Trouble::None; // Not heard yet.
    if (this->LostLogs.contains(Primary->Id))
      return Trouble::LostLog;
    if (Primary->Status->AdoptedTerm == this->LeaderTerm &&
        Primary->Status->Role != ServerRole::Primary)
      return Trouble::LostRole;
    if (Primary->Leaving && Now >= this->NextSwitch &&
        this->successorReady(Seen, Now))
      return Trouble::Leaving;
    return Trouble::None;
  }

  /// Returns whether a majority without the leaving servers is close behind the
  /// primary, so that a planned switch interrupts writes only for the calls.
  bool successorReady(const GroupObservation &Seen, TimePoint Now) const {
    std::size_t Ready = 0;
    for (const ServerObservation &Server : Seen.Servers)
      if (!Server.Leaving && answersAt(Server, Now) &&
          this->counts(Server.Id, Server.Status->LogEnd) &&
          Server.Status->LogEnd.TermNumber == this->LeaderTerm)
        ++Ready;
    return Ready >= majorityOf(Seen.Servers.size());
  }

  FailoverAction watch(const GroupObservation &Seen, TimePoint Now) {
    this->Reason = this->assess(Seen, Now);
    if (this->Reason == Trouble::None) {
      this->ProbeFailed = false;
      return this->nextFollow(Seen, Now);
    }
    if (this->Reason == Trouble::Silent && this->Leader && !this->ProbeFailed &&
        this->find(Seen, *this->Leader)) {
      this->Current = FailoverPhase::Probing;
      FailoverAction Action;
      Action.Step = FailoverStep::ProbeFresh;
      Action.Server = *this->Leader;
      return Action;
    }
    this->Current = FailoverPhase::Delaying;
    this->DelayUntil = Now + Seen.Rank * RankDelay;
    return this->delay(Seen, Now);
  }

  FailoverAction delay(const GroupObservation &Seen, TimePoint Now) {
    this->Reason = this->assess(Seen, Now);
    if (this->Reason == Trouble::None) {
      this->Current = FailoverPhase::Watching;
      this->ProbeFailed = false;
      return {};
    }
    if (Now < this->DelayUntil || !this->mayStart(Seen, Now) ||
        this->otherAtWork(Seen, Now))
      return {};
    return this->begin(Seen, std::max(this->HighestTerm, this->Burnt) + 1, Now);
  }

  /// Returns whether a term was adopted so lately that its promoter, another
  /// watcher, may still be at work.
  bool otherAtWork(const GroupObservation &Seen, TimePoint Now) const {
    return this->StrandedSince &&
           Now - *this->StrandedSince < StrandedLimit + Seen.Rank * RankDelay;
  }

  FailoverAction advance(const FailoverOutcome &Outcome,
                         const GroupObservation &Seen, TimePoint Now) {
    switch (this->Current) {
    case FailoverPhase::Probing:
      this->Current = FailoverPhase::Watching;
      this->ProbeFailed = Outcome.Result != ActionResult::Succeeded;
      return {};
    case FailoverPhase::Claiming:
      return this->claimed(Outcome, Seen, Now);
    case FailoverPhase::Adopting:
      return this->adopted(Outcome, Seen, Now);
    case FailoverPhase::Promoting:
      this->promoted(Outcome, Now);
      return {};
    case FailoverPhase::Watching:
    case FailoverPhase::Delaying:
    case FailoverPhase::BackingOff:
      break; // A follow, or an action that a pause made void.
    }
    return {};
  }

  FailoverAction claimed(const FailoverOutcome &Outcome,
                         const GroupObservation &Seen, TimePoint Now) {
    if (Outcome.Result == ActionResult::Refused) {
      this->Burnt = std::max(this->Burnt, Outcome.TermNumber);
      return this->backOff(Now);
    }
    // The claim may have taken a while; another watcher may have finished.
    if (this->assess(Seen, Now) == Trouble::None) {
      this->Current = FailoverPhase::Watching;
      return {};
    }
    if (this->HighestTerm >= this->Target)
      return this->backOff(Now);
    return this->afterClaim(Seen);
  }

  FailoverAction adopted(const FailoverOutcome &Outcome,
                         const GroupObservation &Seen, TimePoint Now) {
    // Whatever happens next, this term is not used a second time.
    this->Burnt = std::max(this->Burnt, this->Target);
    const std::optional<ServerId> Chosen =
        this->choose(Outcome.Adoptions, Seen);
    if (!Chosen)
      return this->backOff(Now);
    this->Current = FailoverPhase::Promoting;
    this->Candidate = *Chosen;
    FailoverAction Action;
    Action.Step = FailoverStep::Promote;
    Action.TermNumber = this->Target;
    Action.Server = *Chosen;
    return Action;
  }

  void promoted(const FailoverOutcome &Outcome, TimePoint Now) {
    if (Outcome.Result != ActionResult::Succeeded) {
      this->backOff(Now);
      return;
    }
    this->Current = FailoverPhase::Watching;
    if (this->Target > this->LeaderTerm)
      this->setLeader(this->Candidate, this->Target);
    this->NextSwitch = Now + SwitchInterval;
    this->HighestTerm = std::max(this->HighestTerm, this->Target);
    this->HeardSince = Now;
  }

  FailoverAction backOff(TimePoint Now) {
    this->Current = FailoverPhase::BackingOff;
    const auto Spread =
        static_cast<std::uint64_t>((MaxBackOff - MinBackOff).count());
    this->BackOffUntil =
        Now + MinBackOff +
        Duration(static_cast<Duration::rep>(this->Rng.below(Spread + 1)));
    this->ProbeFailed = false;
    return {};
  }

  /// Returns a follow for a server that does not replicate from the primary:
  /// one that comes back, an old primary, or one that missed the promotion.
  FailoverAction nextFollow(const GroupObservation &Seen, TimePoint Now) {
    if (!this->Leader)
      return {};
    for (const ServerObservation &Server : Seen.Servers) {
      if (Server.Id == *this->Leader || !answersAt(Server, Now))
        continue;
      const ServerStatus &Status = *Server.Status;
      const bool Follows = Status.Role == ServerRole::Replica &&
                           Status.AdoptedTerm == this->LeaderTerm &&
                           Status.Primary == *this->Leader;
      if (Follows || Status.AdoptedTerm > this->LeaderTerm)
        continue;
      const auto Last = this->LastFollow.find(Server.Id);
      if (Last != this->LastFollow.end() && Now - Last->second < FollowInterval)
        continue;
      this->LastFollow[Server.Id] = Now;
      FailoverAction Action;
      Action.Step = FailoverStep::Follow;
      Action.TermNumber = this->LeaderTerm;
      Action.Server = Server.Id;
      Action.Primary = *this->Leader;
      return Action;
    }
    return {};
  }

  struct Memory {
    Term AdoptedTerm = 0;
    LogPosition LogEnd;
    TimePoint AnsweredAt{};
  };

  Random &Rng;
  FailoverPhase Current = FailoverPhase::Watching;
  std::optional<TimePoint> LastStep;
  TimePoint HeardSince{}; ///< Silence is counted from here at the earliest.
  bool ProbeFailed = false;
  Term HighestTerm = 0;    ///< Ever seen.
  Term HighestAdopted = 0; ///< Of the servers that answer now.
  Term Burnt = 0;          ///< Terms up to here are not used any more.
  std::optional<TimePoint> StrandedSince;
  Term StrandedTerm = 0;
  TimePoint DelayUntil{};
  TimePoint BackOffUntil{};
  ServerId Candidate;
  std::map<ServerId, Memory> Last; ///< Of each server, from its last status.
  /// Servers that lost their state, with the position that they have to reach;
  /// nothing until the primary has reported one.
  std::map<ServerId, std::optional<LogPosition>> LostLogs;
  bool GroupHasLog = false; ///< Some server had an entry at some time.
  TimePoint NextSwitch{};
  std::map<ServerId, TimePoint> LastFollow;
};

class MajorityFailover final : public FailoverCourse {
public:
  using FailoverCourse::FailoverCourse;

protected:
  bool mayStart(const GroupObservation &Seen, TimePoint Now) const override {
    // Without a majority an adoption would only cut its servers off from a
    // primary that may live elsewhere.
    std::size_t Answering = 0;
    for (const ServerObservation &Server : Seen.Servers)
      if (answersAt(Server, Now) &&
          this->counts(Server.Id, Server.Status->LogEnd))
        ++Answering;
    return Answering >= majorityOf(Seen.Servers.size());
  }

  FailoverAction begin(const GroupObservation &, Term T, TimePoint) override {
    return this->claim(T);
  }

  FailoverAction afterClaim(const GroupObservation &Seen) override {
    std::vector<ServerId> All;
    All.reserve(Seen.Servers.size());
    for (const ServerObservation &Server : Seen.Servers)
      All.push_back(Server.Id);
    return this->adopt(this->Target, std::move(All),
                       majorityOf(Seen.Servers.size()));
  }

  std::optional<ServerId> choose(const std::vector<Adoption> &Adoptions,
                                 const GroupObservation &Seen) const override {
    const std::size_t Needed = majorityOf(Seen.Servers.size());
    std::vector<Adoption> All;
    std::vector<Adoption> Staying;
    for (const ServerObservation &Server : Seen.Servers) {
      for (const Adoption &A : Adoptions) {
        if (A.Server != Server.Id || !this->counts(A.Server, A.LogEnd))
          continue;
        All.push_back(A);
        if (!Server.Leaving)
          Staying.push_back(A);
      }
    }
    // Any majority of adopters will do, so a leaving server is passed over if
    // the others are enough: what it alone holds was never confirmed.
    const std::vector<Adoption> &From =
        Staying.size() >= Needed ? Staying : All;
    if (From.size() < Needed)
      return std::nullopt;
    return std::max_element(From.begin(), From.end(),
                            [](const Adoption &A, const Adoption &B) {
                              return A.LogEnd < B.LogEnd;
                            })
        ->Server;
  }
};

class NaiveFailover final : public FailoverCourse {
public:
  using FailoverCourse::FailoverCourse;

protected:
  bool mayStart(const GroupObservation &Seen, TimePoint Now) const override {
    return this->firstReachable(Seen, Now) != nullptr;
  }

  FailoverAction begin(const GroupObservation &Seen, Term T,
                       TimePoint Now) override {
    return this->adopt(T, {this->firstReachable(Seen, Now)->Id}, 1);
  }

  std::optional<ServerId> choose(const std::vector<Adoption> &Adoptions,
                                 const GroupObservation &) const override {
    if (Adoptions.empty())
      return std::nullopt;
    return Adoptions.front().Server;
  }

private:
  const ServerObservation *firstReachable(const GroupObservation &Seen,
                                          TimePoint Now) const {
    for (const ServerObservation &Server : Seen.Servers)
      if (answersAt(Server, Now) && this->Leader != Server.Id)
        return &Server;
    return nullptr;
  }
};

} // namespace

std::unique_ptr<Failover> makeMajorityFailover(Random &Rng) {
  return std::make_unique<MajorityFailover>(Rng);
}

std::unique_ptr<Failover> makeNaiveFailover(Random &Rng) {
  return std::make_unique<NaiveFailover>(Rng);
}

} // namespace amaranthspur
