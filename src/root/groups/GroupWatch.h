// Watches the primary of one group and replaces it when that is needed.
//
// One task: it wakes when the group's beliefs change or a failure is reported,
// asks the servers over fresh connections, and carries out a takeover step by
// step as policy/Takeover.h decides. Every entry VM runs it for every group;
// the claim row in the platform's store lets one of them act.
#ifndef AMARANTHSPUR_ROOT_GROUPS_GROUPWATCH_H
#define AMARANTHSPUR_ROOT_GROUPS_GROUPWATCH_H

#include "core/Async.h"
#include "core/Random.h"
#include "platform/Platform.h"
#include "platform/Promotions.h"
#include "policy/Takeover.h"
#include "root/groups/Group.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// What a watch uses. All references outlive it.
struct WatchParts {
  EntryVmId Self;
  Platform &Store;
  Promotions &Orders;
  Metrics &Counters;
  Random &Rng;
};

/// Watch of one group.
class GroupWatch {
public:
  /// Rounds while nothing is wrong; events wake it earlier.
  static constexpr Duration CalmInterval = std::chrono::seconds(2);
  /// Rounds while something is wrong.
  static constexpr Duration TroubleInterval = milliseconds(100);
  /// Time for one call to a server; a round trip between regions takes 16 ms.
  static constexpr Duration CallLimit = milliseconds(300);
  /// The primary is replaced when it could not be reached for this time. Two
  /// failed connections; the interruptions of a link that heals by itself are
  /// shorter.
  static constexpr Duration UnreachableLimit = milliseconds(400);
  /// A write that waits longer than this makes the watch compare the logs of
  /// primary and replicas; writes take 10 ms on average.
  static constexpr Duration SlowWrite = milliseconds(400);
  /// Pause between two looks at logs that should advance.
  static constexpr Duration AdvanceInterval = milliseconds(300);
  /// Time for a call to the store for the claim; it answers in 4 ms, and in
  /// 240 ms when it is 60 times as slow.
  static constexpr Duration ClaimLimit = milliseconds(1200);
  /// Time for the order of a promotion, within the claim's window.
  static constexpr Duration OrderLimit = milliseconds(700);
  /// Pause before an order is repeated that the platform put off.
  static constexpr Duration OrderRetry = milliseconds(50);
  /// Time in which an accepted promotion shows; the sites take 1 s at most.
  static constexpr Duration EffectLimit = milliseconds(2500);
  /// Pause after a takeover that was given up.
  static constexpr Duration GiveUpPause = milliseconds(300);
  /// A term that a replica adopted and nobody leads is undone after this time,
  /// when its promoter cannot act any more.
  static constexpr Duration StrandedLimit = TakeoverClaim::Lease;

  GroupWatch(std::shared_ptr<Group> Watched, WatchParts Parts);

  void start();
  QCoro::Task<> stop();

private:
  /// Reports of servers, by id; a server that did not answer has no entry.
  using Reports = std::map<ServerId, ServerReport>;
  /// A claim on the takeover that this entry VM holds.
  struct HeldClaim {
    std::uint64_t Fence = 0;
    TimePoint Begun; ///< On the clock that counts suspension.
  };

  QCoro::Task<> watch();
  QCoro::Task<TakeoverReason> assess();
  QCoro::Task<bool> isUnreachable(BelievedPrimary Leader);
  QCoro::Task<bool> isIsolated(BelievedPrimary Leader);
  bool hasSuccessor(const ServerId &Leaving) const;
  QCoro::Task<> learnTerms();
  QCoro::Task<> undoStranded();

  QCoro::Task<Reports> pollAll();
  QCoro::Task<> pollOne(ServerId Id, Reports &Into, TaskGroup &Round);
  QCoro::Task<std::optional<StatusAnswer>> call(ServerId Id, Term Adopt,
                                                bool Resume);

  QCoro::Task<> takeOver(TakeoverReason Reason);
  QCoro::Task<std::optional<std::string>> execute(TakeoverPlan Plan,
                                                  std::optional<ServerId> Old);
  /// Asks all servers again and returns why the target may not be promoted.
  QCoro::Task<std::optional<std::string>>
  refuse(TakeoverPlan Plan, std::vector<LogPosition> Positions);
  /// Returns an identifier that no other write to the store has.
  std::string nextOperation();
  QCoro::Task<std::optional<HeldClaim>> claim(std::string Purpose);
  QCoro::Task<> release(HeldClaim Claim, std::string How);
  QCoro::Task<bool> adopt(ServerId Id, Term T,
                          std::vector<LogPosition> &Positions);
  QCoro::Task<PromotionOutcome> promote(TakeoverPlan Plan, HeldClaim Held);
  QCoro::Task<bool> awaitEffect(ServerId Target);
  QCoro::Task<> resumeAll(std::vector<ServerId> Servers);
  Reports::const_iterator longestReplica(const Reports &Seen) const;
  std::vector<TakeoverServer>
  serversFrom(const Reports &Seen, const std::optional<ServerId> &Old) const;

  std::shared_ptr<Group> Watched;
  WatchParts Parts;
  TakeoverClaim Claim;
  std::optional<TimePoint> MissingSince;
  std::optional<TimePoint> StrandedSince;
  std::uint64_t Operations = 0; ///< Makes the claims' identifiers unique.
  std::uint64_t Salt;
  bool Trouble = false;
  bool Stopping = false;
  TaskGroup Tasks;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_GROUPWATCH_H
