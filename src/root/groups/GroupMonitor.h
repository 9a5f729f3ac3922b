// Monitors the primary of one group and replaces it when necessary.
//
// A single task does the work. It wakes when the group's beliefs change, when a
// failure is reported, and at a regular interval. It asks the servers for their
// status over new connections and carries out a takeover by the decisions of
// policy/Takeover.h. Every entry VM runs a monitor for every group; a claim row
// in the platform's store ensures that only one of them acts at a time.
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUPMONITOR_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUPMONITOR_H

#include "core/Async.h"
#include "core/Random.h"
#include "platform/Platform.h"
#include "platform/PromotionClient.h"
#include "policy/ClaimRow.h"
#include "policy/StoreHistory.h"
#include "policy/TakeoverProcedure.h"
#include "root/groups/Group.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthspur {

/// Reads the registrations of a group's servers from where they are kept, so
/// that they are not older than the call.
class ServerRegistrations {
public:
  virtual ~ServerRegistrations() = default;

  /// Returns the servers of \p Service that are registered, or an error if they
  /// could not be read by \p Deadline.
  virtual QCoro::Task<Result<std::vector<RegisteredServer>>>
  read(ServiceName Service, TimePoint Deadline) = 0;
};

/// The kinds of calls that a monitor makes to a server.
enum class ServerRequest { Status, StepDown, Adopt, Resume };

/// The objects that a monitor uses. All must outlive it.
struct MonitorDependencies {
  EntryVmId Self;
  Platform &Store;
  ServerRegistrations &Registrations;
  PromotionClient &Orders;
  Metrics &Counters;
  Random &Rng;
  const StoreHistory &History; ///< Of the store.
};

/// Monitors one group and carries out its takeovers.
class GroupMonitor {
public:
  /// Interval between checks while nothing is wrong. Events wake the monitor
  /// earlier.
  static constexpr Duration NormalInterval = std::chrono::seconds(2);
  /// Interval between checks while something is wrong.
  static constexpr Duration DegradedInterval = milliseconds(100);
  /// Timeout of one call to a server. A round trip between regions takes 16 ms.
  static constexpr Duration CallTimeout = milliseconds(300);
  /// The primary is replaced after it could not be reached for this time. This
  /// is long enough for two failed connections, and longer than the
  /// interruptions of a network link that recovers by itself.
  static constexpr Duration UnreachableTimeout = milliseconds(400);
  /// When a write waits longer than this, the monitor compares the logs of the
  /// primary and the replicas. Writes take 10 ms on average.
  static constexpr Duration SlowWriteThreshold = milliseconds(400);
  /// Pause between two polls that check whether the logs have advanced.
  static constexpr Duration AdvanceInterval = milliseconds(300);
  /// Timeout of a call to the platform's store for the claim. The store answers
  /// in 4 ms, and in 240 ms when it runs 60 times slower.
  static constexpr Duration ClaimTimeout = milliseconds(1200);
  /// Timeout of the confirmation of a claim before an order.
  static constexpr Duration ConfirmTimeout = milliseconds(400);
  /// Timeout of one promotion request, within the claim's promotion window.
  static constexpr Duration OrderTimeout = milliseconds(700);
  /// Pause before a step of a takeover is repeated, for example an order that
  /// the platform refused for the moment.
  static constexpr Duration StepRetryDelay = milliseconds(50);
  /// Pause after a takeover in which the old primary was made to lead again.
  /// Each such attempt interrupts its writes.
  static constexpr Duration ReturnedLeadPause = std::chrono::seconds(1);
  /// Time for an accepted promotion to take effect. The deployments' platforms
  /// take 1 s at most.
  static constexpr Duration EffectTimeout = milliseconds(2500);
  /// Pause between two polls of the target, and between two rounds of calls to
  /// the other servers.
  static constexpr Duration EffectPollInterval = milliseconds(50);
  /// Pause after an abandoned takeover.
  static constexpr Duration FailedTakeoverPause = milliseconds(300);
  /// If a replica receives nothing from the primary because of a term that it
  /// holds, it is resumed after this time, under a claim. A takeover that goes
  /// on has the claim and ends sooner.
  static constexpr Duration StrandedAdoptionTimeout =
      TakeoverClaim::PromotionWindow;

  /// An entry VM that follows a relay leaves a takeover to the relays for this
  /// time, and a random part of FollowerSpread. Otherwise all entry VMs would
  /// ask the remaining servers for their status at once, which takes the slots
  /// that statements need. The time covers a takeover by a relay: detection,
  /// claim and promotion.
  static constexpr Duration FollowerDelay = milliseconds(2500);
  static constexpr Duration FollowerSpread = milliseconds(1500);
  /// A suspicion that another entry VM has reported counts for this time.
  static constexpr Duration ReportedSuspicion = std::chrono::seconds(1);

  GroupMonitor(std::shared_ptr<Group> Monitored,
               MonitorDependencies Dependencies);

  void start();
  QCoro::Task<> stop();

  /// Returns whether the primary may need replacing, as far as is known without
  /// asking the servers.
  bool isSuspicious() const { return this->SuspectSince.has_value(); }
  /// Records that another entry VM suspects the primary.
  void suspect();

private:
  /// A claim on the takeover, held by this entry VM.
  struct HeldClaim {
    StoreVersion Version;   ///< Of the row; determines the fencing token.
    TimePoint Begun;        ///< Boot clock (core/BootClock.h).
    TimePoint OrderBy;      ///< Boot clock; end of OrderSpan.
    ClaimRow Before;        ///< The row that the claim has replaced.
    bool Ordered = false;   ///< An order was given under the claim.
    TimePoint OrderEnd;     ///< Boot clock; end of the last order's call.
    Term LedTerm = 0;       ///< Of the server that leads by the last order.
    std::string Unanswered; ///< Last change of the row without an answer.
    /// What the next holder has to require.
    std::optional<RequiredLog> Required;
  };

  /// What the tasks share that await the effect of an order.
  struct EffectWait {
    ServerId Target;
    Term Adopted = 0;         ///< The term that the other servers adopt.
    TimePoint SendBy;         ///< Boot clock; no server is asked later.
    std::set<ServerId> Asked; ///< Servers that have not answered yet.
    TaskGroup Running;
    bool Done = false;
  };

  QCoro::Task<> watch();
  /// Returns whether the beliefs call for a check of the primary.
  bool looksSuspicious() const;
  /// Returns whether a write has waited longer than SlowWriteThreshold.
  bool hasSlowWrite() const;
  void updateSuspicion();
  /// Returns whether the check of the primary is left to a relay for now.
  bool defersToRelay() const;
  /// Returns why the group needs another primary now, or None.
  QCoro::Task<TakeoverReason> checkPrimary();
  /// Returns whether \p Leader has not answered in two polls and the replicas
  /// have received nothing in between.
  QCoro::Task<bool> isUnreachable(BelievedPrimary Leader);
  /// Returns whether no replica receives what \p Leader commits.
  QCoro::Task<bool> isIsolated(BelievedPrimary Leader);
  /// Returns whether a server other than \p Leaving could be promoted.
  bool hasSuccessor(const ServerId &Leaving) const;
  /// Asks the believed primary for its term if that is unknown.
  QCoro::Task<> learnPrimaryTerm();
  /// Returns whether a server is stranded (isStranded()), as far as is known.
  bool hasStrandedServer() const;
  /// Polls all servers and returns those that are stranded under the believed
  /// primary, if that leads.
  QCoro::Task<std::vector<ServerId>> pollStranded();
  /// Resumes the stranded servers.
  QCoro::Task<> undoStrandedAdoptions();

  /// Requests the status of all servers at the same time.
  QCoro::Task<ServerReports> pollAll();
  /// Requests the status of \p Servers at the same time, or makes them step
  /// down, adopt \p T or resume.
  /// \returns the reports of those that answered.
  QCoro::Task<ServerReports> requestAll(std::vector<ServerId> Servers,
                                        ServerRequest Kind, Term T,
                                        TimePoint SendBy = NoDeadline);
  QCoro::Task<> requestOne(ServerId Id, ServerRequest Kind, Term T,
                           TimePoint SendBy, ServerReports &Into,
                           TaskGroup &Round);
  /// Opens a connection to \p Id, makes one call and records the result.
  /// \param T the term for StepDown and Adopt.
  /// \param SendBy boot clock; the call is not sent later, for example after a
  /// suspension while the connection was opened.
  QCoro::Task<std::optional<StatusAnswer>>
  call(ServerId Id, ServerRequest Kind, Term T, TimePoint SendBy = NoDeadline);
  /// Makes the server of \p Link adopt \p T, after a step-down if it leads.
  /// \param Role its role as far as is known.
  QCoro::Task<Result<StatusAnswer>> adopt(ServerLink &Link,
                                          std::optional<ServerRole> Role,
                                          Term T, TimePoint Deadline);
  /// Returns the registration of \p Id, also if it was only seen by a read of
  /// the registrations during a takeover; null if there is none.
  const RegisteredServer *registration(const ServerId &Id) const;

  /// The same; an empty one if there is none.
  RegisteredServer registrationOrEmpty(const ServerId &Id) const;
  /// Returns whether another server has started at the address of \p Server
  /// since. That its registration is gone does not show that it has ended.
  bool isReplaced(const RegisteredServer &Server) const;

  QCoro::Task<> takeOver(TakeoverReason Reason);
  /// Claims and carries out a takeover.
  /// \param Servers the servers with their reports, as planned from.
  /// \param KnownTerm the term of the believed primary; 0 if there is none.
  /// \returns why it was abandoned, or nothing if the target now leads.
  QCoro::Task<std::optional<std::string>>
  execute(std::vector<TakeoverServer> Servers, Term KnownTerm);
  /// Returns the latest term that a server is known to have reported.
  Term latestTerm() const;
  /// Records in \p Held what \p Procedure requires of its target, unless a
  /// server has reported a later term.
  void recordRequired(HeldClaim &Held,
                      const TakeoverProcedure &Procedure) const;
  /// Makes \p Procedure require the commits that a lost server may have held
  /// alone.
  /// \param Answers of the old primary to the step-down.
  void requireLostLog(TakeoverProcedure &Procedure,
                      const ServerReports &Answers) const;
  /// Returns what the identifiers of this monitor's writes begin with.
  std::string operationPrefix() const;
  /// Returns an identifier that is unique among all writes to the store.
  std::string nextOperation();
  /// Claims the group's takeover; returns nothing if another entry VM holds the
  /// claim or the store does not answer.
  /// \param T the term to lead next, for an order.
  QCoro::Task<std::optional<HeldClaim>> claim(ClaimPurpose Purpose, Term T = 0);
  /// Writes to the claim row that the promotion of \p Target to term \p T is
  /// about to be ordered, if the claim is still held.
  QCoro::Task<ClaimCheck> confirm(HeldClaim &Held, ServerId Target, Term T);
  /// Confirms the claim again if less than LeastOrderTime of OrderSpan is left.
  QCoro::Task<ClaimCheck> renewConfirmation(HeldClaim &Held, ServerId Target,
                                            Term T);
  /// Writes \p Value to the claim row, if the claim is still held.
  QCoro::Task<ClaimCheck> advance(HeldClaim &Held, std::string Value,
                                  Duration Timeout);
  /// Marks the claim row as finished. If that fails, the claim expires.
  QCoro::Task<> release(HeldClaim Claim, std::string How);
  /// Tells the claim of the store's last return.
  void observeReturn();
  /// Returns whether the store may have come back since the row of \p Held was
  /// written, so that the claim may be lost.
  bool isOutdated(const HeldClaim &Held) const {
    return Held.Version.era() < this->Dependencies.History.era();
  }
  /// Returns whether the takeover under \p Held ends before \p Next, because
  /// the claim may be lost and no order that may take effect has been given.
  /// What it has done to the servers is still undone.
  bool mustStop(TakeoverStep Next, const HeldClaim &Held) const;
  /// Records \p Row as the claim row.
  /// \param SentAt boot clock; when the call was sent.
  void observeClaim(const TableRow &Row, TimePoint SentAt);
  /// Reads the group's registrations; nothing if the store does not answer.
  QCoro::Task<std::optional<std::vector<TakeoverServer>>> readServers();
  /// Orders the promotion once.
  /// \param SendBy boot clock; the order is not sent later.
  QCoro::Task<PromotionOutcome> promote(ServerId Target, HeldClaim Held,
                                        TimePoint SendBy);
  /// Waits until the target of an order leads.
  /// \param Order the order, with the term that the other servers adopt.
  /// \param Leading the lowest term that the target may lead.
  /// \returns the term that it leads, or nothing after EffectTimeout.
  QCoro::Task<std::optional<Term>> awaitEffect(const TakeoverAction &Order,
                                               Term Leading);
  /// Makes the servers other than the target that come to be known adopt the
  /// term, or step down, until \p Wait is done. A primary that comes back and a
  /// replica that joins could otherwise commit before the promotion takes
  /// effect. A server is asked only until it has adopted the term: after the
  /// effect it would stop receiving from the new primary.
  QCoro::Task<> secureNewServers(EffectWait &Wait);
  /// Asks one server. Each server has a call of its own, so that a silent one
  /// does not delay the others.
  QCoro::Task<> secureServer(ServerId Id, EffectWait &Wait);
  /// Returns, for the log, the version of each server's registration and its
  /// report in \p Seen.
  std::string describe(const ServerReports &Seen) const;
  /// Returns, for the log, the servers that were read last with the versions of
  /// their registrations. Those that are new to \p Procedure are marked.
  /// \param Listed the result of readServers().
  std::string describeFound(const std::vector<TakeoverServer> &Listed,
                            const TakeoverProcedure &Procedure) const;
  void logStep(const TakeoverAction &Action, const HeldClaim &Held, Term T,
               const std::string &Outcome);
  /// Returns the servers of \p Action and all that the takeover has stopped.
  std::vector<ServerId> withSecured(const TakeoverAction &Action) const;
  bool isSecured(const ServerId &Id) const;
  /// Records the servers of \p Answers that hold \p T.
  void recordSecured(const ServerReports &Answers, Term T);
  /// Returns the replica whose log reaches furthest, or the end of \p Seen.
  ServerReports::const_iterator
  replicaWithLongestLog(const ServerReports &Seen) const;
  std::vector<TakeoverServer>
  serversFrom(const ServerReports &Seen,
              const std::optional<ServerId> &Old) const;

  std::shared_ptr<Group> Monitored;
  MonitorDependencies Dependencies;
  TakeoverClaim Claim;
  TableRow LastRow; ///< The claim row as it was read last, for the log.
  /// Servers that the last takeover found by reading the registrations.
  std::map<ServerId, RegisteredServer> Found;
  /// The servers that the present takeover has stopped, with their starts.
  std::map<ServerId, std::int64_t> Secured;
  /// The highest end of a log that a failed takeover has seen, and the term of
  /// the primary that it was to replace.
  std::pair<Term, LogPosition> LongestSeen;
  std::optional<TimePoint> MissingSince; ///< No primary is known since then.
  std::optional<TimePoint> SuspectSince;
  Duration DeferralTime{};   ///< Of the present suspicion.
  TimePoint ReportedUntil{}; ///< End of the suspicion of other entry VMs.
  std::optional<TimePoint> StrandedSince; ///< First sight of such adoptions.
  std::uint64_t Operations = 0; ///< Number of identifiers made so far.
  std::uint64_t OperationNonce; ///< Distinguishes this monitor's identifiers.
  bool Degraded = false;        ///< Something is wrong: check more often.
  bool Stopping = false;
  TaskGroup Tasks;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUPMONITOR_H
