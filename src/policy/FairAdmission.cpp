#include "policy/FairAdmission.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace amaranthspur {
namespace {

/// Longest expected wait with which short work is accepted during a burst.
constexpr Duration MaxWaitInBurst = std::chrono::seconds(1);
/// Longest expected wait with which short work is accepted once the queue has
/// been a standing queue for StandingQueueDelay. With this value the queue
/// drains in less than 2 s after a load peak, at up to 85 % load.
constexpr Duration MaxWaitInStandingQueue = milliseconds(300);
constexpr Duration StandingQueueDelay = milliseconds(500);
/// A queue that drains in less than this time is not a standing queue.
constexpr Duration StandingQueueThreshold = milliseconds(50);
/// The expected wait is multiplied by 5/4, because work that is accepted and
/// then misses its deadline has wasted the slot time that it used.
constexpr int WaitMarginNumerator = 5;
constexpr int WaitMarginDenominator = 4;

std::size_t index(WorkLength Length) {
  return static_cast<std::size_t>(Length);
}

constexpr auto AllLengths = {WorkLength::Short, WorkLength::Long};

std::string inMilliseconds(Duration D) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(D).count()) +
         " ms";
}

std::map<CallerName, unsigned> weightsOf(const ServiceConfig &Service) {
  std::map<CallerName, unsigned> Weights;
  for (const CallerConfig &Caller : Service.Callers)
    Weights[Caller.Name] = std::max(1U, Caller.Weight);
  return Weights;
}

} // namespace

FairAdmission::FairAdmission(const ServiceConfig &Service,
                             const AdmissionLimits &Limits)
    : Limits(Limits), Estimator(Service),
      Concurrency(std::max(1U, Limits.Slots)), Weights(weightsOf(Service)) {}

std::optional<Refusal> FairAdmission::submit(const WorkItem &Item,
                                             TimePoint Now) {
  if (Item.Deadline <= Now)
    return notRun(RefusalReason::DeadlineExpired);
  if (this->Entries.contains(Item.Id))
    return notRun(RefusalReason::Overloaded, "work identifier is in use");
  Caller *C = this->findOrAddCaller(Item.Caller);
  if (!C)
    return notRun(RefusalReason::Overloaded, "too many callers");
  const LengthEstimate Expected =
      this->Estimator.estimate(Item.Class, Item.Shape);
  // Short work counts as arrived even if it is refused below: the reserve has
  // to follow the demand for short work.
  if (Expected.Length == WorkLength::Short)
    this->Reserve.arrived(Now);
  this->updateStandingQueue(Now);
  std::optional<Refusal> Refused = this->checkBounds(Item, *C);
  if (!Refused)
    Refused = this->checkDeadline(Item, *C, Expected, Now);
  if (Refused) {
    this->removeIfIdle(*C);
    return Refused;
  }
  Entry &E = this->Entries[Item.Id];
  E.Item = Item;
  E.Owner = C;
  E.Length = Expected.Length;
  E.Estimate = Expected.Mean;
  // Work whose estimate alone exceeds its deadline was admitted as a trial (see
  // checkDeadline()) and may start at any time before the deadline.
  E.LatestStart = std::max(Item.Deadline - Expected.Mean, Now);
  if (Now + Expected.Mean > Item.Deadline)
    E.LatestStart = Item.Deadline;
  ++this->Queued;
  ++C->Queued;
  this->QueuedBytes += Item.Bytes;
  C->Bytes += Item.Bytes;
  this->QueuedByLatestStart.emplace(E.LatestStart, Item.Id);
  this->enqueue(E);
  return std::nullopt;
}

std::optional<Refusal> FairAdmission::checkBounds(const WorkItem &Item,
                                                  const Caller &C) const {
  if (this->Queued >= this->Limits.MaxQueued ||
      this->QueuedBytes + Item.Bytes > this->Limits.MaxQueuedBytes)
    return notRun(RefusalReason::Overloaded, "queue of the server is full");
  // A caller may queue at most as much as is still free, so that callers that
  // arrive later find room. Source: Choudhury and Hahne, "Dynamic queue length
  // thresholds", 1998.
  const std::size_t FreeEntries = this->Limits.MaxQueued - this->Queued;
  const std::size_t FreeBytes = this->Limits.MaxQueuedBytes - this->QueuedBytes;
  if (C.Queued >= std::min(this->Limits.MaxQueuedPerCaller, FreeEntries) ||
      C.Bytes + Item.Bytes > FreeBytes)
    return notRun(RefusalReason::Overloaded,
                  "queue of caller " + Item.Caller.str() + " is full");
  return std::nullopt;
}

std::optional<Refusal>
FairAdmission::checkDeadline(const WorkItem &Item, const Caller &C,
                             const LengthEstimate &Expected, TimePoint Now) {
  const Duration Remaining = Item.Deadline - Now;
  if (Expected.Mean > Remaining &&
      !this->Estimator.grantTrial(Item.Class, Item.Shape, Now))
    return notRun(RefusalReason::DeadlineUnreachable,
                  "expected length " + inMilliseconds(Expected.Mean));
  const Duration Wait = this->expectedWait(Item, C, Expected.Length, Now);
  if (Wait == Duration::zero())
    return std::nullopt;
  const Duration WaitWithMargin =
      Wait * WaitMarginNumerator / WaitMarginDenominator;
  if (WaitWithMargin + Expected.Mean + Expected.Spread > Remaining)
    return notRun(RefusalReason::DeadlineUnreachable,
                  "expected wait " + inMilliseconds(Wait));
  if (Expected.Length == WorkLength::Short && !Item.InTransaction &&
      Wait > this->maxShortWait(Now))
    return notRun(RefusalReason::Overloaded,
                  "expected wait " + inMilliseconds(Wait));
  return std::nullopt;
}

Duration FairAdmission::expectedWait(const WorkItem &Item, const Caller &C,
                                     WorkLength Length, TimePoint Now) const {
  const unsigned Slots = this->Concurrency.limit();
  const bool Long = Length == WorkLength::Long;
  unsigned UsableSlots = this->longLimit(Now);
  if (!Long)
    UsableSlots = Slots - std::min(this->RunningLong, Slots - 1);
  const detail::WorkKey Key{Item.Deadline, Item.Id};
  Duration WorkAhead{};
  if (Item.InTransaction) {
    for (const WorkLength L : AllLengths)
      WorkAhead += this->TransactionQueues[index(L)].workBefore(Key);
  } else {
    // The caller's own earlier work is served at the caller's fair share of the
    // slots. In the worst case all queued work of this length goes first.
    const std::uint64_t TotalWeight =
        this->ActiveWeight + (C.Backlog == 0 ? C.Weight : 0);
    const Duration OwnWorkAhead = C.Queues[index(Length)].workBefore(Key);
    const Duration WorkAtFairShare = OwnWorkAhead * TotalWeight / C.Weight;
    WorkAhead = std::min(WorkAtFairShare, this->QueuedWork[index(Length)]) +
                this->QueuedTransactionWork;
  }
  Duration Wait = WorkAhead / UsableSlots;
  if (Long && this->RunningLong >= UsableSlots &&
      !this->RunningLongUntil.empty())
    Wait +=
        std::max(this->RunningLongUntil.begin()->first - Now, Duration::zero());
  return Wait;
}

Duration FairAdmission::maxShortWait(TimePoint Now) const {
  const bool Standing = this->StandingQueueSince &&
                        Now - *this->StandingQueueSince >= StandingQueueDelay;
  return Standing ? MaxWaitInStandingQueue : MaxWaitInBurst;
}

void FairAdmission::updateStandingQueue(TimePoint Now) {
  const Duration Drain =
      this->QueuedWork[index(WorkLength::Short)] / this->Concurrency.limit();
  if (Drain < StandingQueueThreshold)
    this->StandingQueueSince.reset();
  else if (!this->StandingQueueSince)
    this->StandingQueueSince = Now;
}

unsigned FairAdmission::longLimit(TimePoint Now) const {
  return this->Reserve.longLimit(this->Concurrency.limit(), Now);
}

FairAdmission::Caller *FairAdmission::findOrAddCaller(const CallerName &Name) {
  const auto Found = this->Callers.find(Name);
  if (Found != this->Callers.end()) {
    Caller &C = Found->second;
    this->Idle.erase({C.Tag, C.Order, &C});
    return &C;
  }
  if (this->Callers.size() >= MaxCallers) {
    if (this->Idle.empty())
      return nullptr;
    this->Callers.erase(std::get<Caller *>(*this->Idle.begin())->Name);
    this->Idle.erase(this->Idle.begin());
  }
  Caller &C = this->Callers[Name];
  C.Name = Name;
  C.Order = this->NextCallerOrder++;
  C.Tag = this->VirtualTime;
  const auto Weight = this->Weights.find(Name);
  C.Weight = Weight == this->Weights.end() ? 1 : Weight->second;
  return &C;
}

void FairAdmission::removeIfIdle(Caller &C) {
  if (C.Queued > 0 || C.Running > 0)
    return;
  if (C.Tag > this->VirtualTime) {
    this->Idle.emplace(C.Tag, C.Order, &C);
    return;
  }
  const CallerName Name = C.Name;
  this->Callers.erase(Name);
}

void FairAdmission::removeIdleUpTo(double Tag) {
  while (!this->Idle.empty() && std::get<double>(*this->Idle.begin()) <= Tag) {
    const CallerName Name = std::get<Caller *>(*this->Idle.begin())->Name;
    this->Idle.erase(this->Idle.begin());
    this->Callers.erase(Name);
  }
}

void FairAdmission::setStartTag(Caller &C, double Tag) {
  for (const WorkLength L : AllLengths)
    if (!C.Queues[index(L)].empty())
      this->Ready[index(L)].erase({C.Tag, C.Order, &C});
  C.Tag = Tag;
  this->HighestStartTag = std::max(this->HighestStartTag, Tag);
  for (const WorkLength L : AllLengths)
    if (!C.Queues[index(L)].empty())
      this->Ready[index(L)].emplace(C.Tag, C.Order, &C);
}

void FairAdmission::advanceVirtualTime(double To) {
  if (To <= this->VirtualTime)
    return;
  this->VirtualTime = To;
  this->removeIdleUpTo(To);
}

void FairAdmission::enqueue(Entry &E) {
  const detail::WorkKey Key{E.Item.Deadline, E.Item.Id};
  if (E.Item.InTransaction) {
    this->TransactionQueues[index(E.Length)].insert({Key, E.Estimate});
    this->QueuedTransactionWork += E.Estimate;
    return;
  }
  Caller &C = *E.Owner;
  if (C.Backlog++ == 0) {
    this->ActiveWeight += C.Weight;
    this->setStartTag(C, std::max(C.Tag, this->VirtualTime));
  }
  this->QueuedWork[index(E.Length)] += E.Estimate;
  WorkQueue &Queue = C.Queues[index(E.Length)];
  if (Queue.empty())
    this->Ready[index(E.Length)].emplace(C.Tag, C.Order, &C);
  Queue.insert({Key, E.Estimate});
}

void FairAdmission::dequeue(Entry &E) {
  const detail::WorkKey Key{E.Item.Deadline, E.Item.Id};
  if (E.Item.InTransaction) {
    this->TransactionQueues[index(E.Length)].erase(Key);
    this->QueuedTransactionWork -= E.Estimate;
    return;
  }
  Caller &C = *E.Owner;
  this->QueuedWork[index(E.Length)] -= E.Estimate;
  WorkQueue &Queue = C.Queues[index(E.Length)];
  Queue.erase(Key);
  if (Queue.empty())
    this->Ready[index(E.Length)].erase({C.Tag, C.Order, &C});
  if (--C.Backlog == 0)
    this->ActiveWeight -= C.Weight;
}

FairAdmission::Entry *FairAdmission::choose(bool LongAllowed) {
  const std::set<StartTagKey> &ReadyShort =
      this->Ready[index(WorkLength::Short)];
  const std::set<StartTagKey> &ReadyLong = this->Ready[index(WorkLength::Long)];
  const WorkQueue *Queue = nullptr;
  if (!this->TransactionQueues[index(WorkLength::Short)].empty())
    Queue = &this->TransactionQueues[index(WorkLength::Short)];
  else if (LongAllowed &&
           !this->TransactionQueues[index(WorkLength::Long)].empty())
    Queue = &this->TransactionQueues[index(WorkLength::Long)];
  else if (!ReadyShort.empty() && (!LongAllowed || ReadyLong.empty() ||
                                   *ReadyShort.begin() <= *ReadyLong.begin()))
    Queue = &std::get<Caller *>(*ReadyShort.begin())
                 ->Queues[index(WorkLength::Short)];
  else if (LongAllowed && !ReadyLong.empty())
    Queue = &std::get<Caller *>(*ReadyLong.begin())
                 ->Queues[index(WorkLength::Long)];
  if (!Queue)
    return nullptr;
  return &this->Entries.at(Queue->begin()->first.second);
}

bool FairAdmission::reclassify(Entry &E) {
  const LengthEstimate Expected =
      this->Estimator.estimate(E.Item.Class, E.Item.Shape);
  if (Expected.Length == E.Length)
    return false;
  this->dequeue(E);
  E.Length = Expected.Length;
  E.Estimate = Expected.Mean;
  this->enqueue(E);
  return true;
}

std::optional<WorkId> FairAdmission::next(TimePoint Now) {
  this->markOverruns(Now);
  while (this->Running < this->Concurrency.limit()) {
    const bool LongAllowed = this->RunningLong < this->longLimit(Now);
    Entry *E = this->choose(LongAllowed);
    if (!E) {
      // With a free slot and an empty queue no caller is waiting, so the slot
      // time that callers have used so far no longer counts against them.
      if (this->Queued == 0)
        this->advanceVirtualTime(this->HighestStartTag);
      return std::nullopt;
    }
    if (this->reclassify(*E))
      continue;
    if (E->LatestStart < Now) {
      this->drop(*E, Now);
      continue;
    }
    const WorkId Id = E->Item.Id;
    this->start(*E, Now);
    return Id;
  }
  return std::nullopt;
}

void FairAdmission::start(Entry &E, TimePoint Now) {
  Caller &C = *E.Owner;
  this->dequeue(E);
  this->QueuedByLatestStart.erase({E.LatestStart, E.Item.Id});
  --this->Queued;
  --C.Queued;
  this->QueuedBytes -= E.Item.Bytes;
  C.Bytes -= E.Item.Bytes;
  E.Running = true;
  E.Started = Now;
  ++C.Running;
  ++this->Running;
  if (E.Length == WorkLength::Long) {
    ++this->RunningLong;
    E.ExpectedEnd = Now + E.Estimate;
    this->RunningLongUntil.emplace(E.ExpectedEnd, E.Item.Id);
  } else {
    this->RunningShortSince.emplace(Now, E.Item.Id);
  }
  const double Start = std::max(C.Tag, this->VirtualTime);
  if (!E.Item.InTransaction)
    this->advanceVirtualTime(C.Tag);
  this->setStartTag(C,
                    Start + static_cast<double>(E.Estimate.count()) / C.Weight);
}

void FairAdmission::markOverruns(TimePoint Now) {
  while (!this->RunningShortSince.empty() &&
         Now - this->RunningShortSince.begin()->first > LongWorkThreshold) {
    const WorkId Id = this->RunningShortSince.begin()->second;
    this->RunningShortSince.erase(this->RunningShortSince.begin());
    Entry &E = this->Entries.at(Id);
    E.Length = WorkLength::Long;
    E.Overran = true;
    // The remaining run time is estimated to be as long as the time run so far.
    E.ExpectedEnd = E.Started + std::max(2 * LongWorkThreshold, E.Estimate);
    this->RunningLongUntil.emplace(E.ExpectedEnd, Id);
    ++this->RunningLong;
    this->Estimator.overran(E.Item.Class, E.Item.Shape);
  }
}

void FairAdmission::finished(WorkId Id, TimePoint Now) {
  this->markOverruns(Now);
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() || !Found->second.Running)
    return;
  const Entry E = std::move(Found->second);
  this->Entries.erase(Found);
  Caller &C = *E.Owner;
  --this->Running;
  --C.Running;
  if (E.Length == WorkLength::Long) {
    --this->RunningLong;
    this->RunningLongUntil.erase({E.ExpectedEnd, Id});
  } else {
    this->RunningShortSince.erase({E.Started, Id});
  }
  const Duration Length = Now - E.Started;
  this->Estimator.finished(E.Item.Class, E.Item.Shape, Length, E.Overran);
  if (E.Length == WorkLength::Short)
    this->Reserve.finished(Length, Now);
  const Duration Correction = Length - E.Estimate;
  this->setStartTag(C,
                    C.Tag + static_cast<double>(Correction.count()) / C.Weight);
  this->removeIfIdle(C);
}

void FairAdmission::withdraw(WorkId Id) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() || Found->second.Running)
    return;
  Entry &E = Found->second;
  Caller &C = *E.Owner;
  this->dequeue(E);
  this->QueuedByLatestStart.erase({E.LatestStart, Id});
  --this->Queued;
  --C.Queued;
  this->QueuedBytes -= E.Item.Bytes;
  C.Bytes -= E.Item.Bytes;
  this->Entries.erase(Found);
  this->removeIfIdle(C);
}

void FairAdmission::drop(Entry &E, TimePoint Now) {
  const WorkId Id = E.Item.Id;
  this->Dropped.push_back({Id, E.Item.Deadline <= Now
                                   ? RefusalReason::DeadlineExpired
                                   : RefusalReason::DeadlineUnreachable});
  this->withdraw(Id);
}

std::vector<ExpiredWork> FairAdmission::expire(TimePoint Now) {
  while (!this->QueuedByLatestStart.empty() &&
         this->QueuedByLatestStart.begin()->first < Now)
    this->drop(this->Entries.at(this->QueuedByLatestStart.begin()->second),
               Now);
  return std::exchange(this->Dropped, {});
}

void FairAdmission::observeQueueTime(Duration QueueTime, TimePoint Now) {
  this->Concurrency.observe(QueueTime, Now);
}

void FairAdmission::configure(const ServiceConfig &Service,
                              const AdmissionLimits &NewLimits) {
  this->Limits = NewLimits;
  this->Estimator.configure(Service);
  this->Concurrency.setSlots(NewLimits.Slots);
  this->Weights = weightsOf(Service);
  this->ActiveWeight = 0;
  for (auto &[Name, C] : this->Callers) {
    const auto Weight = this->Weights.find(Name);
    C.Weight = Weight == this->Weights.end() ? 1 : Weight->second;
    if (C.Backlog > 0)
      this->ActiveWeight += C.Weight;
  }
}

AdmissionStats FairAdmission::stats() const {
  AdmissionStats Stats;
  Stats.Queued = this->Queued;
  Stats.Running = this->Running;
  Stats.RunningLong = this->RunningLong;
  Stats.Concurrency = this->Concurrency.limit();
  return Stats;
}

std::unique_ptr<Admission> makeFairAdmission(const ServiceConfig &Service,
                                             const AdmissionLimits &Limits) {
  return std::make_unique<FairAdmission>(Service, Limits);
}

} // namespace amaranthspur
