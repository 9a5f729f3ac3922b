// Weighted fair admission to one backend server.
//
// Between callers: start-time fair queueing over slot time. Each caller has a
// start tag, the virtual time at which its next work starts. The caller with
// the lowest start tag is served next, and its tag grows by the slot time
// divided by the caller's weight. The estimated slot time is charged when the
// work starts and corrected when it finishes.
// Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
//
// Within a caller: earliest deadline first. Work of open transactions precedes
// all other work, because the transactions hold locks.
//
// Short and long work: long work may hold only some of the slots (see
// longLimit()). Work that was expected to be short counts as long once it has
// run for longer than LongWorkThreshold.
//
// Early refusal: work is refused if its expected wait, with a safety margin,
// and its expected length do not fit into the time left until its deadline.
// Short work is also refused if its expected wait exceeds maxShortWait(),
// because a long queue delays all callers without increasing throughput.
#ifndef AMARANTHSPUR_POLICY_FAIRADMISSION_H
#define AMARANTHSPUR_POLICY_FAIRADMISSION_H

#include "policy/Admission.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/LengthEstimator.h"
#include "policy/ShortReserve.h"
#include "policy/WorkQueue.h"

#include <array>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace amaranthspur {

/// The weighted fair admission policy described at the head of this file.
///
/// submit(), next(), finished() and withdraw() take logarithmic time in the
/// number of queued entries. Work whose expected length has changed since it
/// was queued is moved to the other queue when it is selected, once for each
/// change.
class FairAdmission final : public Admission {
public:
  FairAdmission(const ServiceConfig &Service, const AdmissionLimits &Limits);

  std::optional<Refusal> submit(const WorkItem &Item, TimePoint Now) override;
  std::optional<WorkId> next(TimePoint Now) override;
  void finished(WorkId Id, TimePoint Now) override;
  void withdraw(WorkId Id) override;
  std::vector<ExpiredWork> expire(TimePoint Now) override;
  void observeQueueTime(Duration QueueTime, TimePoint Now) override;
  void configure(const ServiceConfig &Service,
                 const AdmissionLimits &NewLimits) override;
  AdmissionStats stats() const override;

  /// Maximum number of callers that are tracked at a time, including idle ones.
  static constexpr std::size_t MaxCallers = 4096;

private:
  static constexpr std::size_t LengthCount =
      EnumNames<WorkLength>::Entries.size();

  struct Caller {
    CallerName Name;
    std::uint64_t Order = 0; ///< Of arrival; breaks ties between equal tags.
    unsigned Weight = 1;
    double Tag = 0; ///< Start tag, in µs of slot time divided by weight.
    std::size_t Queued = 0;  ///< Entries, including work of open transactions.
    std::size_t Bytes = 0;   ///< Size of the queued entries.
    std::size_t Backlog = 0; ///< Entries in Queues.
    std::size_t Running = 0;
    std::array<WorkQueue, LengthCount> Queues;
  };

  struct Entry {
    WorkItem Item;
    Caller *Owner = nullptr;
    WorkLength Length = WorkLength::Short;
    Duration Estimate{};
    TimePoint LatestStart{};
    bool Running = false;
    bool Overran = false;
    TimePoint Started{};
    TimePoint ExpectedEnd{}; ///< Set only for running long work.
  };

  using StartTagKey = std::tuple<double, std::uint64_t, Caller *>;

  Caller *findOrAddCaller(const CallerName &Name);
  void removeIfIdle(Caller &C);
  void removeIdleUpTo(double Tag);
  void setStartTag(Caller &C, double Tag);
  void advanceVirtualTime(double To);

  std::optional<Refusal> checkBounds(const WorkItem &Item,
                                     const Caller &C) const;
  std::optional<Refusal> checkDeadline(const WorkItem &Item, const Caller &C,
                                       const LengthEstimate &Expected,
                                       TimePoint Now);
  Duration expectedWait(const WorkItem &Item, const Caller &C,
                        WorkLength Length, TimePoint Now) const;
  Duration maxShortWait(TimePoint Now) const;
  void updateStandingQueue(TimePoint Now);

  unsigned longLimit(TimePoint Now) const;
  void enqueue(Entry &E);
  void dequeue(Entry &E);
  Entry *choose(bool LongAllowed);
  bool reclassify(Entry &E);
  void drop(Entry &E, TimePoint Now);
  void start(Entry &E, TimePoint Now);
  void markOverruns(TimePoint Now);

  AdmissionLimits Limits;
  LengthEstimator Estimator;
  ConcurrencyLimit Concurrency;
  ShortReserve Reserve;
  std::map<CallerName, unsigned> Weights;

  std::unordered_map<CallerName, Caller> Callers;
  std::set<StartTagKey> Idle; ///< Callers without work whose tag is ahead of
                              ///< VirtualTime and therefore still counts.
  std::uint64_t NextCallerOrder = 0;
  double VirtualTime = 0;
  double HighestStartTag = 0;
  std::uint64_t ActiveWeight = 0; ///< Sum over the callers with a backlog.

  std::unordered_map<WorkId, Entry> Entries;
  /// Callers with a backlog, by the length of the work.
  std::array<std::set<StartTagKey>, LengthCount> Ready;
  /// Queued work of open transactions of all callers.
  std::array<WorkQueue, LengthCount> TransactionQueues;
  /// Estimated slot time of the queued work that is not in TransactionQueues.
  std::array<Duration, LengthCount> QueuedWork{};
  /// Estimated slot time of the work in TransactionQueues.
  Duration QueuedTransactionWork{};
  std::set<std::pair<TimePoint, WorkId>> QueuedByLatestStart;
  std::vector<ExpiredWork> Dropped; ///< Removed, to be returned by expire().
  std::size_t Queued = 0;
  std::size_t QueuedBytes = 0;

  unsigned Running = 0;
  unsigned RunningLong = 0;
  std::set<std::pair<TimePoint, WorkId>> RunningShortSince;
  std::set<std::pair<TimePoint, WorkId>> RunningLongUntil;
  std::optional<TimePoint> StandingQueueSince;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FAIRADMISSION_H
