#include "policy/FairAdmission.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace amaranthspur {
namespace {

/// Longest expected wait of short work that is accepted in a burst.
constexpr Duration BurstWait = std::chrono::seconds(1);
/// The same once the queue has stood for StandingTime. After a crest the queue
/// then drains in less than 2 s at up to 85 % load.
constexpr Duration StandingWait = milliseconds(300);
constexpr Duration StandingTime = milliseconds(500);
/// A queue that takes less than this to work off is not a standing queue.
constexpr Duration StandingThreshold = milliseconds(50);
/// The estimate of the wait is multiplied by 5/4: work that is accepted and
/// then misses its deadline has used a slot for nothing.
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
  // Also refused short work counts: it shows that short work is wanted.
  if (Expected.Length == WorkLength::Short)
    this->Reserve.arrived(Now);
  this->updateStandingQueue(Now);
  std::optional<Refusal> Refused = this->checkBounds(Item, *C);
  if (!Refused)
    Refused = this->checkDeadline(Item, *C, Expected, Now);
  if (Refused) {
    this->forgetIfIdle(*C);
    return Refused;
  }
  Entry &E = this->Entries[Item.Id];
  E.Item = Item;
  E.Owner = C;
  E.Length = Expected.Length;
  E.Estimate = Expected.Mean;
  // A trial (see checkDeadline) may start until its deadline.
  E.LatestStart = std::max(Item.Deadline - Expected.Mean, Now);
  if (Now + Expected.Mean > Item.Deadline)
    E.LatestStart = Item.Deadline;
  ++this->Queued;
  ++C->Queued;
  this->QueuedBytes += Item.Bytes;
  C->Bytes += Item.Bytes;
  this->ByLatestStart.emplace(E.LatestStart, Item.Id);
  this->enqueue(E);
  return std::nullopt;
}

std::optional<Refusal> FairAdmission::checkBounds(const WorkItem &Item,
                                                  const Caller &C) const {
  if (this->Queued >= this->Limits.MaxQueued ||
      this->QueuedBytes + Item.Bytes > this->Limits.MaxQueuedBytes)
    return notRun(RefusalReason::Overloaded, "queue of the server is full");
  // A caller may hold as much as is still free, so that whoever comes later
  // finds room. Source: Choudhury and Hahne, "Dynamic queue length thresholds",
  // 1998.
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
  const Duration Cautious = Wait * WaitMarginNumerator / WaitMarginDenominator;
  if (Cautious + Expected.Mean + Expected.Spread > Remaining)
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
  unsigned Usable = this->longLimit(Now);
  if (!Long)
    Usable = Slots - std::min(this->RunningLong, Slots - 1);
  const detail::WorkKey Key{Item.Deadline, Item.Id};
  Duration Ahead{};
  if (Item.InTransaction) {
    for (const WorkLength L : AllLengths)
      Ahead += this->Urgent[index(L)].workBefore(Key);
  } else {
    // The caller's earlier work waits for the caller's share of the slots; at
    // worst everything that is queued goes first.
    const std::uint64_t Active =
        this->ActiveWeight + (C.Backlog == 0 ? C.Weight : 0);
    const Duration Own = C.Queues[index(Length)].workBefore(Key);
    const Duration Fair = Own * Active / C.Weight;
    Ahead = std::min(Fair, this->QueuedWork[index(Length)]) + this->UrgentWork;
  }
  Duration Wait = Ahead / Usable;
  if (Long && this->RunningLong >= Usable && !this->RunningLongUntil.empty())
    Wait +=
        std::max(this->RunningLongUntil.begin()->first - Now, Duration::zero());
  return Wait;
}

Duration FairAdmission::maxShortWait(TimePoint Now) const {
  const bool Standing =
      this->StandingSince && Now - *this->StandingSince >= StandingTime;
  return Standing ? StandingWait : BurstWait;
}

void FairAdmission::updateStandingQueue(TimePoint Now) {
  const Duration Drain =
      this->QueuedWork[index(WorkLength::Short)] / this->Concurrency.limit();
  if (Drain < StandingThreshold)
    this->StandingSince.reset();
  else if (!this->StandingSince)
    this->StandingSince = Now;
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

void FairAdmission::forgetIfIdle(Caller &C) {
  if (C.Queued > 0 || C.Running > 0)
    return;
  if (C.Tag > this->VirtualTime) {
    this->Idle.emplace(C.Tag, C.Order, &C);
    return;
  }
  const CallerName Name = C.Name;
  this->Callers.erase(Name);
}

void FairAdmission::forgetIdleUpTo(double Tag) {
  while (!this->Idle.empty() && std::get<double>(*this->Idle.begin()) <= Tag) {
    const CallerName Name = std::get<Caller *>(*this->Idle.begin())->Name;
    this->Idle.erase(this->Idle.begin());
    this->Callers.erase(Name);
  }
}

void FairAdmission::setTag(Caller &C, double Tag) {
  for (const WorkLength L : AllLengths)
    if (!C.Queues[index(L)].empty())
      this->Ready[index(L)].erase({C.Tag, C.Order, &C});
  C.Tag = Tag;
  this->HighestTag = std::max(this->HighestTag, Tag);
  for (const WorkLength L : AllLengths)
    if (!C.Queues[index(L)].empty())
      this->Ready[index(L)].emplace(C.Tag, C.Order, &C);
}

void FairAdmission::advanceVirtualTime(double To) {
  if (To <= this->VirtualTime)
    return;
  this->VirtualTime = To;
  this->forgetIdleUpTo(To);
}

void FairAdmission::enqueue(Entry &E) {
  const detail::WorkKey Key{E.Item.Deadline, E.Item.Id};
  if (E.Item.InTransaction) {
    this->Urgent[index(E.Length)].insert({Key, E.Estimate});
    this->UrgentWork += E.Estimate;
    return;
  }
  Caller &C = *E.Owner;
  if (C.Backlog++ == 0) {
    this->ActiveWeight += C.Weight;
    this->setTag(C, std::max(C.Tag, this->VirtualTime));
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
    this->Urgent[index(E.Length)].erase(Key);
    this->UrgentWork -= E.Estimate;
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
  const std::set<TagKey> &ReadyShort = this->Ready[index(WorkLength::Short)];
  const std::set<TagKey> &ReadyLong = this->Ready[index(WorkLength::Long)];
  const WorkQueue *Queue = nullptr;
  if (!this->Urgent[index(WorkLength::Short)].empty())
    Queue = &this->Urgent[index(WorkLength::Short)];
  else if (LongAllowed && !this->Urgent[index(WorkLength::Long)].empty())
    Queue = &this->Urgent[index(WorkLength::Long)];
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
      // With a slot free and nothing queued nobody is kept from anything, so
      // what callers have used so far no longer counts against them.
      if (this->Queued == 0)
        this->advanceVirtualTime(this->HighestTag);
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
  this->ByLatestStart.erase({E.LatestStart, E.Item.Id});
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
  this->setTag(C, Start + static_cast<double>(E.Estimate.count()) / C.Weight);
}

void FairAdmission::markOverruns(TimePoint Now) {
  while (!this->RunningShortSince.empty() &&
         Now - this->RunningShortSince.begin()->first > ShortBound) {
    const WorkId Id = this->RunningShortSince.begin()->second;
    this->RunningShortSince.erase(this->RunningShortSince.begin());
    Entry &E = this->Entries.at(Id);
    E.Length = WorkLength::Long;
    E.Overran = true;
    // What has run for a while is expected to run as long again.
    E.ExpectedEnd = E.Started + std::max(2 * ShortBound, E.Estimate);
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
  this->setTag(C, C.Tag + static_cast<double>(Correction.count()) / C.Weight);
  this->forgetIfIdle(C);
}

void FairAdmission::withdraw(WorkId Id) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() || Found->second.Running)
    return;
  Entry &E = Found->second;
  Caller &C = *E.Owner;
  this->dequeue(E);
  this->ByLatestStart.erase({E.LatestStart, Id});
  --this->Queued;
  --C.Queued;
  this->QueuedBytes -= E.Item.Bytes;
  C.Bytes -= E.Item.Bytes;
  this->Entries.erase(Found);
  this->forgetIfIdle(C);
}

void FairAdmission::drop(Entry &E, TimePoint Now) {
  const WorkId Id = E.Item.Id;
  this->Dropped.push_back({Id, E.Item.Deadline <= Now
                                   ? RefusalReason::DeadlineExpired
                                   : RefusalReason::DeadlineUnreachable});
  this->withdraw(Id);
}

std::vector<ExpiredWork> FairAdmission::expire(TimePoint Now) {
  while (!this->ByLatestStart.empty() &&
         this->ByLatestStart.begin()->first < Now)
    this->drop(this->Entries.at(this->ByLatestStart.begin()->second), Now);
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
