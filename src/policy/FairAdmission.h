// Weighted fair admission to one backend server.
//
// Between callers: start-time fair queueing on slot time. Each caller has a
// tag, the virtual time at which its next work starts; the lowest tag goes
// first and grows by slot time divided by weight. The estimate is charged at
// the start and corrected when the work ends.
// Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", SIGCOMM 1996.
//
// Within a caller: earliest deadline first. Work of open transactions goes
// before all other work, since it holds locks.
//
// Short and long work: long work holds only some of the slots (longLimit). What
// was taken for short counts as long once it has run for ShortBound.
//
// Early refusal: work is refused if the time until its turn and its own length
// do not fit its deadline, and short work also if it would wait longer than
// maxShortWait: a long queue delays everybody without doing more work.
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

/// See above. submit, next, finished and withdraw are logarithmic in what is
/// queued; work whose expected length has changed since it was queued is moved
/// when its turn comes, once for each change.
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

  /// Callers that are remembered at a time, idle ones included.
  static constexpr std::size_t MaxCallers = 4096;

private:
  static constexpr std::size_t Lengths = EnumNames<WorkLength>::Entries.size();

  struct Caller {
    CallerName Name;
    std::uint64_t Order = 0; ///< Of arrival; breaks ties between equal tags.
    unsigned Weight = 1;
    double Tag = 0;          ///< µs of slot time per weight.
    std::size_t Queued = 0;  ///< Work of open transactions included.
    std::size_t Bytes = 0;   ///< Of what is queued.
    std::size_t Backlog = 0; ///< In Queues.
    std::size_t Running = 0;
    std::array<WorkQueue, Lengths> Queues;
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
    TimePoint ExpectedEnd{}; ///< Of running long work.
  };

  using TagKey = std::tuple<double, std::uint64_t, Caller *>;

  Caller *findOrAddCaller(const CallerName &Name);
  void forgetIfIdle(Caller &C);
  void forgetIdleUpTo(double Tag);
  void setTag(Caller &C, double Tag);
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
  std::set<TagKey> Idle; ///< Callers without work whose tag still matters.
  std::uint64_t NextCallerOrder = 0;
  double VirtualTime = 0;
  double HighestTag = 0;
  std::uint64_t ActiveWeight = 0; ///< Of callers with a backlog.

  std::unordered_map<WorkId, Entry> Entries;
  std::array<std::set<TagKey>, Lengths> Ready; ///< Callers with a backlog.
  std::array<WorkQueue, Lengths> Urgent;       ///< Of open transactions.
  std::array<Duration, Lengths> QueuedWork{};  ///< Estimated slot time.
  Duration UrgentWork{};
  std::set<std::pair<TimePoint, WorkId>> ByLatestStart;
  std::vector<ExpiredWork> Dropped; ///< Found late by next(), not yet reported.
  std::size_t Queued = 0;
  std::size_t QueuedBytes = 0;

  unsigned Running = 0;
  unsigned RunningLong = 0;
  std::set<std::pair<TimePoint, WorkId>> RunningShortSince;
  std::set<std::pair<TimePoint, WorkId>> RunningLongUntil;
  std::optional<TimePoint> StandingSince;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_FAIRADMISSION_H
