#include "policy/Failover.h"

#include "policy/Durability.h"

#include <algorithm>
#include <map>

namespace amaranthspur {
namespace {

/// An action ends at the latest this long after its time limit, unless the
/// process was paused in the meantime.
constexpr Duration ActionSlack = milliseconds(100);

/// Failure detection and the phases of a promotion. The parts in which the
/// majority failover and the naive one differ are virtual functions.
class FailoverStateMachine : public Failover {
public:
  explicit FailoverStateMachine(Random &Rng) : Rng(Rng) {}

  FailoverAction step(const GroupObservation &Seen, TimePoint Now) final {
    this->detectPause(Seen, Now);
    this->recordObservations(Seen, Now);
    if (Seen.Outcome) {
      FailoverAction Next = this->handleOutcome(*Seen.Outcome, Seen, Now);
      if (Next.Step != FailoverStep::Wait)
        return Next;
    }
    switch (this->Phase) {
    case FailoverPhase::Watching:
      return this->stepWatching(Seen, Now);
    case FailoverPhase::Delaying:
      return this->stepDelaying(Seen, Now);
    case FailoverPhase::BackingOff:
      if (Now >= this->BackOffUntil)
        this->Phase = FailoverPhase::Watching;
      return {};
    case FailoverPhase::Probing:
    case FailoverPhase::Claiming:
    case FailoverPhase::Adopting:
    case FailoverPhase::Promoting:
      break; // The outcome of the action is not known yet.
    }
    return {};
  }

  FailoverPhase phase() const final { return this->Phase; }
  FailoverReason reason() const final { return this->Reason; }

protected:
  /// Returns whether a promotion may start now.
  virtual bool canStart(const GroupObservation &Seen, TimePoint Now) const = 0;
  /// Sets the phase and returns the first action of a promotion in \p T.
  virtual FailoverAction startPromotion(const GroupObservation &Seen, Term T,
                                        TimePoint Now) = 0;
  /// Returns the server to promote after \p Adoptions, or nothing if they are
  /// not enough.
  virtual std::optional<ServerId>
  choosePromoted(const std::vector<Adoption> &Adoptions,
                 const GroupObservation &Seen) const = 0;

  static bool hasRecentAnswer(const ServerObservation &Server, TimePoint Now) {
    return Server.Status && Now - Server.AnsweredAt < SilenceLimit;
  }

  /// Returns whether the adoption and the log of \p Server count for a
  /// majority. An empty log counts only in a group in which no server has ever
  /// had an entry.
  bool countsForMajority(const ServerId &Server, LogPosition End) const {
    return !this->GroupHasLog ||
           (!this->LostLogs.contains(Server) && End.Index > 0);
  }

  FailoverAction startAdopting(Term T, std::vector<ServerId> From,
                               std::size_t Needed) {
    this->Phase = FailoverPhase::Adopting;
    this->TargetTerm = T;
    FailoverAction Action;
    Action.Step = FailoverStep::Adopt;
    Action.TermNumber = T;
    Action.Adopters = std::move(From);
    Action.Needed = Needed;
    return Action;
  }

  FailoverAction startClaiming(Term T) {
    this->Phase = FailoverPhase::Claiming;
    this->TargetTerm = T;
    FailoverAction Action;
    Action.Step = FailoverStep::Claim;
    Action.TermNumber = T;
    return Action;
  }

  /// Returns the adopt action that follows a successful or unanswered claim.
  /// The naive failover makes no claim.
  virtual FailoverAction continueAfterClaim(const GroupObservation &) {
    return {};
  }

  Term TargetTerm = 0; ///< Term of the current promotion.
  FailoverReason Reason = FailoverReason::None;
  std::optional<ServerId> Leader; ///< Primary of LeaderTerm.
  Term LeaderTerm = 0;            ///< Highest term known to have a primary.

private:
  /// Restarts the failure detection after a pause of this process, because the
  /// pause may be the reason why no answer was processed. An adoption by a
  /// majority stays valid: dropping it would leave the group without a primary
  /// for longer.
  void detectPause(const GroupObservation &Seen, TimePoint Now) {
    const Duration Limit = Seen.Outcome
                               ? std::max(ClaimLimit, CallLimit) + ActionSlack
                               : PauseLimit;
    const bool Paused = !this->LastStep || Now - *this->LastStep > Limit;
    this->LastStep = Now;
    if (!Paused)
      return;
    this->SilenceCountedFrom = Now;
    this->UnpromotedSince.reset();
    this->ProbeFailed = false;
    if (this->Phase != FailoverPhase::Adopting &&
        this->Phase != FailoverPhase::Promoting)
      this->Phase = FailoverPhase::Watching;
  }

  void recordObservations(const GroupObservation &Seen, TimePoint Now) {
    for (const ServerObservation &Server : Seen.Servers)
      if (Server.Status &&
          Server.AnsweredAt != this->LastStatuses[Server.Id].AnsweredAt)
        this->recordStatus(Server);
    this->HighestAdopted = this->LeaderTerm;
    for (const ServerObservation &Server : Seen.Servers)
      if (hasRecentAnswer(Server, Now))
        this->HighestAdopted =
            std::max(this->HighestAdopted, Server.Status->AdoptedTerm);
  }

  void recordStatus(const ServerObservation &Server) {
    const ServerStatus &Status = *Server.Status;
    this->HighestTerm = std::max(
        {this->HighestTerm, Status.AdoptedTerm, Status.LogEnd.TermNumber});
    this->GroupHasLog = this->GroupHasLog || Status.LogEnd.Index > 0;
    this->detectLostLog(Server);
    const bool Leads = Status.Role == ServerRole::Primary &&
                       Status.LogEnd.TermNumber == Status.AdoptedTerm;
    if (Leads && Status.AdoptedTerm > this->LeaderTerm)
      this->setLeader(Server.Id, Status.AdoptedTerm);
    this->LastStatuses[Server.Id] = {Status.AdoptedTerm, Status.LogEnd,
                                     Server.AnsweredAt};
  }

  void setLeader(const ServerId &Server, Term T) {
    this->Leader = Server;
    this->LeaderTerm = T;
    this->ProbeFailed = false;
    this->LastFollow.clear();
    // A majority adopted the term of this primary, so its log counts even if
    // this watcher had recorded it as lost.
    this->LostLogs.erase(Server);
    for (auto &[Id, CatchUp] : this->LostLogs)
      CatchUp.reset();
  }

  /// Detects a server that lost its state: its adopted term decreased, or its
  /// log, which had entries of the adopted term, got shorter. Such a server
  /// counts again when its log reaches the position that the primary reported
  /// afterwards.
  void detectLostLog(const ServerObservation &Server) {
    const ServerStatus &Status = *Server.Status;
    const StatusSummary &Before = this->LastStatuses[Server.Id];
    const bool Shorter = Status.AdoptedTerm == Before.AdoptedTerm &&
                         Before.LogEnd.TermNumber == Before.AdoptedTerm &&
                         Status.LogEnd < Before.LogEnd;
    if (Status.AdoptedTerm < Before.AdoptedTerm || Shorter) {
      this->LostLogs[Server.Id] = std::nullopt;
      return;
    }
    // A server that this watcher sees for the first time may have lost its
    // state before.
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

  /// Returns the reason why the group needs a promotion. The result of a probe
  /// is not taken into account.
  FailoverReason findReason(const GroupObservation &Seen, TimePoint Now) {
    if (this->HighestAdopted > this->LeaderTerm) {
      if (!this->UnpromotedSince ||
          this->UnpromotedTerm != this->HighestAdopted)
        this->UnpromotedSince = Now;
      this->UnpromotedTerm = this->HighestAdopted;
      if (Now - *this->UnpromotedSince >= TermWithoutPrimaryLimit)
        return FailoverReason::TermWithoutPrimary;
    } else {
      this->UnpromotedSince.reset();
    }
    const ServerObservation *Primary =
        this->Leader ? this->find(Seen, *this->Leader) : nullptr;
    const TimePoint LastHeard = std::max(
        this->SilenceCountedFrom, Primary ? Primary->AnsweredAt : TimePoint());
    if (Now - LastHeard >= SilenceLimit)
      return FailoverReason::Silent;
    if (!Primary || !Primary->Status ||
        Primary->AnsweredAt < this->SilenceCountedFrom)
      return FailoverReason::None; // The primary has not answered yet.
    if (this->LostLogs.contains(Primary->Id))
      return FailoverReason::LostLog;
    if (Primary->Status->AdoptedTerm == this->LeaderTerm &&
        Primary->Status->Role != ServerRole::Primary)
      return FailoverReason::LostRole;
    if (Primary->Leaving && Now >= this->NextSwitch &&
        this->successorReady(Seen, Now))
      return FailoverReason::Leaving;
    return FailoverReason::None;
  }

  /// Returns whether a majority of the group consists of servers that answer,
  /// are not leaving and have a log of the primary's term. A planned switch
  /// then interrupts writes only for the time of the control calls.
  bool successorReady(const GroupObservation &Seen, TimePoint Now) const {
    std::size_t Ready = 0;
    for (const ServerObservation &Server : Seen.Servers)
      if (!Server.Leaving && hasRecentAnswer(Server, Now) &&
          this->countsForMajority(Server.Id, Server.Status->LogEnd) &&
          Server.Status->LogEnd.TermNumber == this->LeaderTerm)
        ++Ready;
    return Ready >= majorityOf(Seen.Servers.size());
  }

  FailoverAction stepWatching(const GroupObservation &Seen, TimePoint Now) {
    this->Reason = this->findReason(Seen, Now);
    if (this->Reason == FailoverReason::None) {
      this->ProbeFailed = false;
      return this->nextFollow(Seen, Now);
    }
    if (this->Reason == FailoverReason::Silent && this->Leader &&
        !this->ProbeFailed && this->find(Seen, *this->Leader)) {
      this->Phase = FailoverPhase::Probing;
      FailoverAction Action;
      Action.Step = FailoverStep::ProbeOverNewConnection;
      Action.Server = *this->Leader;
      return Action;
    }
    this->Phase = FailoverPhase::Delaying;
    this->DelayUntil = Now + Seen.Rank * RankDelay;
    return this->stepDelaying(Seen, Now);
  }

  FailoverAction stepDelaying(const GroupObservation &Seen, TimePoint Now) {
    this->Reason = this->findReason(Seen, Now);
    if (this->Reason == FailoverReason::None) {
      this->Phase = FailoverPhase::Watching;
      this->ProbeFailed = false;
      return {};
    }
    if (Now < this->DelayUntil || !this->canStart(Seen, Now) ||
        this->otherPromotionPending(Seen, Now))
      return {};
    return this->startPromotion(
        Seen, std::max(this->HighestTerm, this->HighestUsedTerm) + 1, Now);
  }

  /// Returns whether another watcher may still be promoting a server in a term
  /// that was adopted recently.
  bool otherPromotionPending(const GroupObservation &Seen,
                             TimePoint Now) const {
    return this->UnpromotedSince &&
           Now - *this->UnpromotedSince <
               TermWithoutPrimaryLimit + Seen.Rank * RankDelay;
  }

  FailoverAction handleOutcome(const FailoverOutcome &Outcome,
                               const GroupObservation &Seen, TimePoint Now) {
    switch (this->Phase) {
    case FailoverPhase::Probing:
      this->Phase = FailoverPhase::Watching;
      this->ProbeFailed = Outcome.Result != ActionResult::Succeeded;
      return {};
    case FailoverPhase::Claiming:
      return this->handleClaimOutcome(Outcome, Seen, Now);
    case FailoverPhase::Adopting:
      return this->handleAdoptOutcome(Outcome, Seen, Now);
    case FailoverPhase::Promoting:
      this->handlePromoteOutcome(Outcome, Now);
      return {};
    case FailoverPhase::Watching:
    case FailoverPhase::Delaying:
    case FailoverPhase::BackingOff:
      break; // The outcome of a follow, or of an action before a pause.
    }
    return {};
  }

  FailoverAction handleClaimOutcome(const FailoverOutcome &Outcome,
                                    const GroupObservation &Seen,
                                    TimePoint Now) {
    if (Outcome.Result == ActionResult::Refused) {
      this->HighestUsedTerm =
          std::max(this->HighestUsedTerm, Outcome.TermNumber);
      return this->startBackOff(Now);
    }
    // Another watcher may have finished its promotion during the claim.
    if (this->findReason(Seen, Now) == FailoverReason::None) {
      this->Phase = FailoverPhase::Watching;
      return {};
    }
    if (this->HighestTerm >= this->TargetTerm)
      return this->startBackOff(Now);
    return this->continueAfterClaim(Seen);
  }

  FailoverAction handleAdoptOutcome(const FailoverOutcome &Outcome,
                                    const GroupObservation &Seen,
                                    TimePoint Now) {
    // A term is used only once, whatever the outcome of the promotion.
    this->HighestUsedTerm = std::max(this->HighestUsedTerm, this->TargetTerm);
    const std::optional<ServerId> Chosen =
        this->choosePromoted(Outcome.Adoptions, Seen);
    if (!Chosen)
      return this->startBackOff(Now);
    this->Phase = FailoverPhase::Promoting;
    this->Candidate = *Chosen;
    FailoverAction Action;
    Action.Step = FailoverStep::Promote;
    Action.TermNumber = this->TargetTerm;
    Action.Server = *Chosen;
    return Action;
  }

  void handlePromoteOutcome(const FailoverOutcome &Outcome, TimePoint Now) {
    if (Outcome.Result != ActionResult::Succeeded) {
      this->startBackOff(Now);
      return;
    }
    this->Phase = FailoverPhase::Watching;
    if (this->TargetTerm > this->LeaderTerm)
      this->setLeader(this->Candidate, this->TargetTerm);
    this->NextSwitch = Now + SwitchInterval;
    this->HighestTerm = std::max(this->HighestTerm, this->TargetTerm);
    this->SilenceCountedFrom = Now;
  }

  FailoverAction startBackOff(TimePoint Now) {
    this->Phase = FailoverPhase::BackingOff;
    const auto JitterRange =
        static_cast<std::uint64_t>((MaxBackOff - MinBackOff).count());
    this->BackOffUntil =
        Now + MinBackOff +
        Duration(static_cast<Duration::rep>(this->Rng.below(JitterRange + 1)));
    this->ProbeFailed = false;
    return {};
  }

  /// Returns a follow action for a server that does not replicate from the
  /// primary: a server that restarted, a former primary, or a server that
  /// missed the promotion. Returns Wait if there is none.
  FailoverAction nextFollow(const GroupObservation &Seen, TimePoint Now) {
    if (!this->Leader)
      return {};
    for (const ServerObservation &Server : Seen.Servers) {
      if (Server.Id == *this->Leader || !hasRecentAnswer(Server, Now))
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

  struct StatusSummary {
    Term AdoptedTerm = 0;
    LogPosition LogEnd;
    TimePoint AnsweredAt{};
  };

  Random &Rng;
  FailoverPhase Phase = FailoverPhase::Watching;
  std::optional<TimePoint> LastStep;
  TimePoint SilenceCountedFrom{}; ///< Earliest start of a silence.
  bool ProbeFailed = false;
  Term HighestTerm = 0;     ///< Highest term seen so far.
  Term HighestAdopted = 0;  ///< Highest term adopted by an answering server.
  Term HighestUsedTerm = 0; ///< Terms up to this one are not used again.
  std::optional<TimePoint> UnpromotedSince;
  Term UnpromotedTerm = 0;
  TimePoint DelayUntil{};
  TimePoint BackOffUntil{};
  ServerId Candidate;
  std::map<ServerId, StatusSummary> LastStatuses;
  /// Servers that lost their state, with the log position that they have to
  /// reach before they count again; nothing until the primary has reported one.
  std::map<ServerId, std::optional<LogPosition>> LostLogs;
  bool GroupHasLog = false; ///< Some server has had a log entry.
  TimePoint NextSwitch{};
  std::map<ServerId, TimePoint> LastFollow;
};

class MajorityFailover final : public FailoverStateMachine {
public:
  using FailoverStateMachine::FailoverStateMachine;

protected:
  bool canStart(const GroupObservation &Seen, TimePoint Now) const override {
    // Without a majority, an adoption would only disconnect the adopting
    // servers from a primary that may still be running in another partition.
    std::size_t Answering = 0;
    for (const ServerObservation &Server : Seen.Servers)
      if (hasRecentAnswer(Server, Now) &&
          this->countsForMajority(Server.Id, Server.Status->LogEnd))
        ++Answering;
    return Answering >= majorityOf(Seen.Servers.size());
  }

  FailoverAction startPromotion(const GroupObservation &, Term T,
                                TimePoint) override {
    return this->startClaiming(T);
  }

  FailoverAction continueAfterClaim(const GroupObservation &Seen) override {
    std::vector<ServerId> All;
    All.reserve(Seen.Servers.size());
    for (const ServerObservation &Server : Seen.Servers)
      All.push_back(Server.Id);
    return this->startAdopting(this->TargetTerm, std::move(All),
                               majorityOf(Seen.Servers.size()));
  }

  std::optional<ServerId>
  choosePromoted(const std::vector<Adoption> &Adoptions,
                 const GroupObservation &Seen) const override {
    const std::size_t Needed = majorityOf(Seen.Servers.size());
    std::vector<Adoption> All;
    std::vector<Adoption> Staying;
    for (const ServerObservation &Server : Seen.Servers) {
      for (const Adoption &A : Adoptions) {
        if (A.Server != Server.Id ||
            !this->countsForMajority(A.Server, A.LogEnd))
          continue;
        All.push_back(A);
        if (!Server.Leaving)
          Staying.push_back(A);
      }
    }
    // Any majority of adopters is sufficient, so a leaving server is skipped if
    // the others form a majority: entries that it alone holds were never
    // confirmed.
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

class NaiveFailover final : public FailoverStateMachine {
public:
  using FailoverStateMachine::FailoverStateMachine;

protected:
  bool canStart(const GroupObservation &Seen, TimePoint Now) const override {
    return this->firstReachable(Seen, Now) != nullptr;
  }

  FailoverAction startPromotion(const GroupObservation &Seen, Term T,
                                TimePoint Now) override {
    return this->startAdopting(T, {this->firstReachable(Seen, Now)->Id}, 1);
  }

  std::optional<ServerId>
  choosePromoted(const std::vector<Adoption> &Adoptions,
                 const GroupObservation &) const override {
    if (Adoptions.empty())
      return std::nullopt;
    return Adoptions.front().Server;
  }

private:
  const ServerObservation *firstReachable(const GroupObservation &Seen,
                                          TimePoint Now) const {
    for (const ServerObservation &Server : Seen.Servers)
      if (hasRecentAnswer(Server, Now) && this->Leader != Server.Id)
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
