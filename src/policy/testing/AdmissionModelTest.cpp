// Model-based test: compares FairAdmission with a simple reference
// implementation of the same rules, which keeps all work in one list and
// searches the whole list for every decision.
#include "core/Random.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/FairAdmission.h"
#include "policy/LengthEstimator.h"
#include "policy/ShortReserve.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <string>

using namespace amaranthspur;

namespace {

ServiceConfig service() {
  ServiceConfig Service;
  Service.Classes.push_back(
      {ClassName("quick"), std::chrono::seconds(2), milliseconds(5)});
  Service.Classes.push_back(
      {ClassName("report"), std::chrono::seconds(60), milliseconds(200)});
  Service.Callers.push_back({CallerName("c1"), 3, ClassName("quick")});
  return Service;
}

/// The reference implementation.
class ReferenceAdmission {
public:
  explicit ReferenceAdmission(const AdmissionLimits &Limits)
      : Limits(Limits), Estimator(service()), Concurrency(Limits.Slots) {}

  std::optional<RefusalReason> submit(const WorkItem &Item, TimePoint Now) {
    const auto Refused = this->trySubmit(Item, Now);
    this->removeIdle();
    return Refused;
  }

  std::optional<WorkId> next(TimePoint Now) {
    const auto Id = this->tryNext(Now);
    this->removeIdle();
    return Id;
  }

  void finished(WorkId Id, TimePoint Now) {
    this->tryFinish(Id, Now);
    this->removeIdle();
  }

  void withdraw(WorkId Id) {
    const Entry *Found = this->find(Id);
    if (Found && !Found->Running)
      this->erase(Id);
    this->removeIdle();
  }

  std::vector<ExpiredWork> expire(TimePoint Now) {
    std::vector<std::pair<TimePoint, WorkId>> Late;
    for (const Entry &E : this->Work)
      if (!E.Running && E.LatestStart < Now)
        Late.emplace_back(E.LatestStart, E.Item.Id);
    std::sort(Late.begin(), Late.end());
    for (const auto &[At, Id] : Late) {
      this->Dropped.push_back({Id, reasonOf(*this->find(Id), Now)});
      this->erase(Id);
    }
    this->removeIdle();
    return std::exchange(this->Dropped, {});
  }

  void observeQueueTime(Duration QueueTime, TimePoint Now) {
    this->Concurrency.observe(QueueTime, Now);
  }

  std::size_t countQueued() const {
    return static_cast<std::size_t>(
        std::count_if(this->Work.begin(), this->Work.end(),
                      [](const Entry &E) { return !E.Running; }));
  }

  unsigned countRunning(bool OnlyLong) const {
    unsigned Count = 0;
    for (const Entry &E : this->Work)
      if (E.Running && (!OnlyLong || E.Length == WorkLength::Long))
        ++Count;
    return Count;
  }

private:
  struct Entry {
    WorkItem Item;
    WorkLength Length = WorkLength::Short;
    Duration Estimate{};
    TimePoint LatestStart{};
    bool Running = false;
    bool Overran = false;
    TimePoint Started{};
    TimePoint ExpectedEnd{};
  };

  std::optional<RefusalReason> trySubmit(const WorkItem &Item, TimePoint Now) {
    if (Item.Deadline <= Now)
      return RefusalReason::DeadlineExpired;
    if (std::any_of(this->Work.begin(), this->Work.end(),
                    [&Item](const Entry &E) { return E.Item.Id == Item.Id; }))
      return RefusalReason::Overloaded;
    if (!this->CallerOrder.contains(Item.Caller)) {
      this->CallerOrder[Item.Caller] = this->NextOrder++;
      this->Tags[Item.Caller] = this->VirtualTime;
    }
    const auto Expected = this->Estimator.estimate(Item.Class, Item.Shape);
    if (Expected.Length == WorkLength::Short)
      this->Reserve.arrived(Now);
    this->updateStandingQueue(Now);
    std::size_t All = 0;
    std::size_t AllBytes = 0;
    std::size_t Own = 0;
    std::size_t OwnBytes = 0;
    for (const Entry &E : this->Work) {
      if (E.Running)
        continue;
      ++All;
      AllBytes += E.Item.Bytes;
      if (E.Item.Caller != Item.Caller)
        continue;
      ++Own;
      OwnBytes += E.Item.Bytes;
    }
    if (All >= this->Limits.MaxQueued ||
        AllBytes + Item.Bytes > this->Limits.MaxQueuedBytes ||
        Own >= this->Limits.MaxQueuedPerCaller ||
        Own >= this->Limits.MaxQueued - All ||
        OwnBytes + Item.Bytes > this->Limits.MaxQueuedBytes - AllBytes)
      return RefusalReason::Overloaded;
    const Duration Remaining = Item.Deadline - Now;
    if (Expected.Mean > Remaining &&
        !this->Estimator.grantTrial(Item.Class, Item.Shape, Now))
      return RefusalReason::DeadlineUnreachable;
    const Duration Wait = this->expectedWait(Item, Expected.Length, Now);
    if (Wait != Duration::zero() &&
        Wait * 5 / 4 + Expected.Mean + Expected.Spread > Remaining)
      return RefusalReason::DeadlineUnreachable;
    const bool Standing = this->StandingQueueSince &&
                          Now - *this->StandingQueueSince >= milliseconds(500);
    if (Expected.Length == WorkLength::Short && !Item.InTransaction &&
        Wait > (Standing ? milliseconds(300) : milliseconds(1000)))
      return RefusalReason::Overloaded;
    Entry E;
    E.Item = Item;
    E.Length = Expected.Length;
    E.Estimate = Expected.Mean;
    E.LatestStart = Expected.Mean > Remaining ? Item.Deadline
                                              : Item.Deadline - Expected.Mean;
    this->enterBacklog(Item);
    this->Work.push_back(E);
    return std::nullopt;
  }

  std::optional<WorkId> tryNext(TimePoint Now) {
    this->markOverruns(Now);
    while (this->countRunning(false) < this->Concurrency.limit()) {
      Entry *E =
          this->choose(this->countRunning(true) <
                       this->Reserve.longLimit(this->Concurrency.limit(), Now));
      if (!E) {
        if (this->countQueued() == 0)
          this->VirtualTime =
              std::max(this->VirtualTime, this->HighestStartTag);
        return std::nullopt;
      }
      const auto Expected =
          this->Estimator.estimate(E->Item.Class, E->Item.Shape);
      if (Expected.Length != E->Length) {
        E->Length = Expected.Length;
        E->Estimate = Expected.Mean;
        // FairAdmission requeues the work, which raises the start tag to the
        // virtual time if the caller has no other backlog.
        if (!E->Item.InTransaction && this->backlog(E->Item.Caller) == 1)
          this->setStartTag(E->Item.Caller, std::max(this->Tags[E->Item.Caller],
                                                     this->VirtualTime));
        continue;
      }
      if (E->LatestStart < Now) {
        this->Dropped.push_back({E->Item.Id, reasonOf(*E, Now)});
        this->erase(E->Item.Id);
        continue;
      }
      E->Running = true;
      E->Started = Now;
      E->ExpectedEnd = Now + E->Estimate;
      const CallerName &C = E->Item.Caller;
      const double Tag = this->Tags[C];
      const double Base = std::max(Tag, this->VirtualTime);
      if (!E->Item.InTransaction)
        this->VirtualTime = Base;
      this->setStartTag(C, Base + static_cast<double>(E->Estimate.count()) /
                                      weight(C));
      return E->Item.Id;
    }
    return std::nullopt;
  }

  void tryFinish(WorkId Id, TimePoint Now) {
    this->markOverruns(Now);
    const Entry *Found = this->find(Id);
    if (!Found || !Found->Running)
      return;
    const Entry E = *Found;
    this->erase(Id);
    const Duration Length = Now - E.Started;
    this->Estimator.finished(E.Item.Class, E.Item.Shape, Length, E.Overran);
    if (E.Length == WorkLength::Short)
      this->Reserve.finished(Length, Now);
    this->setStartTag(E.Item.Caller,
                      this->Tags[E.Item.Caller] +
                          static_cast<double>((Length - E.Estimate).count()) /
                              weight(E.Item.Caller));
  }

  static double weight(const CallerName &C) { return C.str() == "c1" ? 3 : 1; }

  static RefusalReason reasonOf(const Entry &E, TimePoint Now) {
    return E.Item.Deadline <= Now ? RefusalReason::DeadlineExpired
                                  : RefusalReason::DeadlineUnreachable;
  }

  Entry *find(WorkId Id) {
    for (Entry &E : this->Work)
      if (E.Item.Id == Id)
        return &E;
    return nullptr;
  }

  void erase(WorkId Id) {
    this->Work.remove_if([Id](const Entry &E) { return E.Item.Id == Id; });
  }

  std::size_t backlog(const CallerName &C) const {
    std::size_t Count = 0;
    for (const Entry &E : this->Work)
      if (!E.Running && !E.Item.InTransaction && E.Item.Caller == C)
        ++Count;
    return Count;
  }

  /// Removes the callers that have no work and whose start tag is not ahead of
  /// the virtual time.
  void removeIdle() {
    std::erase_if(this->CallerOrder, [this](const auto &Known) {
      const CallerName &C = Known.first;
      return this->Tags[C] <= this->VirtualTime &&
             std::none_of(this->Work.begin(), this->Work.end(),
                          [&C](const Entry &E) { return E.Item.Caller == C; });
    });
  }

  void setStartTag(const CallerName &C, double Tag) {
    this->Tags[C] = Tag;
    this->HighestStartTag = std::max(this->HighestStartTag, Tag);
  }

  void enterBacklog(const WorkItem &Item) {
    if (!Item.InTransaction && this->backlog(Item.Caller) == 0)
      this->setStartTag(Item.Caller,
                        std::max(this->Tags[Item.Caller], this->VirtualTime));
  }

  Duration expectedWait(const WorkItem &Item, WorkLength Length,
                        TimePoint Now) const {
    const unsigned Slots = this->Concurrency.limit();
    const unsigned RunningLong = this->countRunning(true);
    const unsigned UsableSlots = Length == WorkLength::Long
                                     ? this->Reserve.longLimit(Slots, Now)
                                     : Slots - std::min(RunningLong, Slots - 1);
    const std::pair Key(Item.Deadline, Item.Id);
    Duration TransactionWork{};
    Duration TransactionWorkAhead{};
    Duration AllWork{};
    Duration OwnWorkAhead{};
    std::map<CallerName, bool> ActiveCallers{{Item.Caller, true}};
    for (const Entry &E : this->Work) {
      if (E.Running)
        continue;
      const bool Before = std::pair(E.Item.Deadline, E.Item.Id) < Key;
      if (E.Item.InTransaction) {
        TransactionWork += E.Estimate;
        TransactionWorkAhead += Before ? E.Estimate : Duration::zero();
        continue;
      }
      ActiveCallers[E.Item.Caller] = true;
      if (E.Length != Length)
        continue;
      AllWork += E.Estimate;
      if (Before && E.Item.Caller == Item.Caller)
        OwnWorkAhead += E.Estimate;
    }
    Duration WorkAhead = TransactionWorkAhead;
    if (!Item.InTransaction) {
      long Weights = 0;
      for (const auto &[Name, IsActive] : ActiveCallers)
        Weights += static_cast<long>(weight(Name));
      WorkAhead = std::min(OwnWorkAhead * Weights /
                               static_cast<long>(weight(Item.Caller)),
                           AllWork) +
                  TransactionWork;
    }
    Duration Wait = WorkAhead / UsableSlots;
    if (Length == WorkLength::Long && RunningLong >= UsableSlots) {
      TimePoint FirstEnd = TimePoint::max();
      for (const Entry &E : this->Work)
        if (E.Running && E.Length == WorkLength::Long)
          FirstEnd = std::min(FirstEnd, E.ExpectedEnd);
      if (FirstEnd != TimePoint::max())
        Wait += std::max(FirstEnd - Now, Duration::zero());
    }
    return Wait;
  }

  void updateStandingQueue(TimePoint Now) {
    Duration Short{};
    for (const Entry &E : this->Work)
      if (!E.Running && !E.Item.InTransaction && E.Length == WorkLength::Short)
        Short += E.Estimate;
    if (Short / this->Concurrency.limit() < milliseconds(50))
      this->StandingQueueSince.reset();
    else if (!this->StandingQueueSince)
      this->StandingQueueSince = Now;
  }

  void markOverruns(TimePoint Now) {
    std::vector<std::pair<TimePoint, WorkId>> Over;
    for (const Entry &E : this->Work)
      if (E.Running && E.Length == WorkLength::Short &&
          Now - E.Started > LongWorkThreshold)
        Over.emplace_back(E.Started, E.Item.Id);
    std::sort(Over.begin(), Over.end());
    for (const auto &[At, Id] : Over) {
      Entry &E = *this->find(Id);
      E.Length = WorkLength::Long;
      E.Overran = true;
      E.ExpectedEnd = E.Started + std::max(2 * LongWorkThreshold, E.Estimate);
      this->Estimator.overran(E.Item.Class, E.Item.Shape);
    }
  }

  /// Returns the work to start next: work of open transactions, then work of
  /// the caller with the lowest start tag. Ties are broken by the order in
  /// which the callers arrived, and then by length, short before long.
  Entry *choose(bool LongAllowed) {
    Entry *Best = nullptr;
    for (Entry &E : this->Work) {
      if (E.Running || (E.Length == WorkLength::Long && !LongAllowed))
        continue;
      if (!Best || this->precedes(E, *Best))
        Best = &E;
    }
    return Best;
  }

  bool precedes(const Entry &A, const Entry &B) {
    const auto KeyOf = [this](const Entry &E) {
      const bool Fair = !E.Item.InTransaction;
      return std::tuple(Fair, Fair ? this->Tags[E.Item.Caller] : 0.0,
                        Fair ? this->CallerOrder.at(E.Item.Caller) : 0,
                        E.Length == WorkLength::Long, E.Item.Deadline,
                        E.Item.Id);
    };
    return KeyOf(A) < KeyOf(B);
  }

  AdmissionLimits Limits;
  LengthEstimator Estimator;
  ConcurrencyLimit Concurrency;
  ShortReserve Reserve;
  std::list<Entry> Work;
  std::map<CallerName, double> Tags;
  std::map<CallerName, std::uint64_t> CallerOrder; ///< Order of arrival.
  std::uint64_t NextOrder = 0;
  double VirtualTime = 0;
  double HighestStartTag = 0;
  std::optional<TimePoint> StandingQueueSince;
  std::vector<ExpiredWork> Dropped;
};

/// Applies the same steps to both implementations and compares all results.
class ModelComparison {
public:
  explicit ModelComparison(const AdmissionLimits &Limits)
      : Tested(makeFairAdmission(service(), Limits)), Reference(Limits) {
    // Records samples of the first shape in both implementations, so that they
    // estimate its length from these samples.
    for (int C = 0; C < 4; ++C)
      this->submit(C, 0, milliseconds(500), false);
    while (this->start()) {
    }
    while (!this->Running.empty())
      this->finish(0);
  }

  void submit(int Caller, int Kind, Duration Deadline, bool InTransaction) {
    WorkItem Item;
    Item.Id = this->NextId++;
    Item.Caller = CallerName("c" + std::to_string(Caller));
    Item.Class = ClassName(Kind == 2 ? "report" : "quick");
    Item.Shape = 1 + static_cast<std::uint64_t>(Kind);
    Item.Deadline = this->Now + Deadline;
    Item.Bytes = 100;
    Item.InTransaction = InTransaction;
    const auto A = this->Tested->submit(Item, this->Now);
    const auto B = this->Reference.submit(Item, this->Now);
    this->check(A.has_value() == B.has_value() && (!A || A->Reason == *B),
                "submit");
  }

  bool start() {
    const auto A = this->Tested->next(this->Now);
    this->check(A == this->Reference.next(this->Now), "next");
    if (A)
      this->Running.push_back(*A);
    this->compareStats();
    return A.has_value();
  }

  void finish(std::size_t Which) {
    if (this->Running.empty())
      return;
    const std::size_t At = Which % this->Running.size();
    this->Tested->finished(this->Running[At], this->Now);
    this->Reference.finished(this->Running[At], this->Now);
    this->Running.erase(this->Running.begin() +
                        static_cast<std::ptrdiff_t>(At));
    this->compareStats();
  }

  void withdraw(WorkId Id) {
    this->Tested->withdraw(Id);
    this->Reference.withdraw(Id);
    this->compareStats();
  }

  void expire() {
    const auto A = this->Tested->expire(this->Now);
    const auto B = this->Reference.expire(this->Now);
    this->check(A.size() == B.size(), "expire: count");
    for (std::size_t I = 0; I < std::min(A.size(), B.size()); ++I)
      this->check(A[I].Id == B[I].Id && A[I].Reason == B[I].Reason, "expire");
  }

  void observe(Duration QueueTime) {
    this->Tested->observeQueueTime(QueueTime, this->Now);
    this->Reference.observeQueueTime(QueueTime, this->Now);
  }

  void advance(Duration By) { this->Now += By; }
  WorkId lastId() const { return this->NextId - 1; }
  bool agrees() const { return this->Difference.empty(); }
  const std::string &difference() const { return this->Difference; }

private:
  void check(bool Equal, const char *What) {
    if (!Equal && this->Difference.empty())
      this->Difference = What;
  }

  void compareStats() {
    const AdmissionStats Stats = this->Tested->stats();
    this->check(Stats.Queued == this->Reference.countQueued(), "queued");
    this->check(Stats.Running == this->Reference.countRunning(false),
                "running");
    this->check(Stats.RunningLong == this->Reference.countRunning(true),
                "long");
  }

  std::unique_ptr<Admission> Tested;
  ReferenceAdmission Reference;
  TimePoint Now{std::chrono::seconds(1000)};
  WorkId NextId = 1;
  std::vector<WorkId> Running;
  std::string Difference;
};

AdmissionLimits smallLimits() {
  AdmissionLimits Limits;
  Limits.Slots = 3;
  Limits.MaxQueued = 30;
  Limits.MaxQueuedPerCaller = 12;
  Limits.MaxQueuedBytes = 2500;
  return Limits;
}

} // namespace

// Guards against wrong decisions in short sequences of events. The test
// enumerates all sequences of six steps.
TEST_CASE("admission agrees with the reference on all short sequences") {
  using Step = void (*)(ModelComparison &);
  const std::vector<Step> Steps = {
      [](ModelComparison &P) { P.submit(0, 0, milliseconds(100), false); },
      [](ModelComparison &P) { P.submit(1, 0, milliseconds(60), false); },
      [](ModelComparison &P) { P.submit(0, 2, milliseconds(450), false); },
      [](ModelComparison &P) { P.submit(2, 1, milliseconds(80), true); },
      [](ModelComparison &P) { P.start(); },
      [](ModelComparison &P) {
        P.advance(milliseconds(55));
        P.finish(0);
      },
  };
  constexpr std::size_t Length = 6;
  std::size_t Total = 1;
  for (std::size_t I = 0; I < Length; ++I)
    Total *= Steps.size();
  for (std::size_t Case = 0; Case < Total; ++Case) {
    ModelComparison P(smallLimits());
    std::size_t Rest = Case;
    for (std::size_t I = 0; I < Length; ++I) {
      Steps[Rest % Steps.size()](P);
      Rest /= Steps.size();
    }
    P.start();
    P.expire();
    if (!P.agrees())
      FAIL("sequence " << Case << " differs: " << P.difference());
  }
}

// Guards against wrong decisions that occur only in long sequences of events,
// after the estimators have recorded many samples.
TEST_CASE("admission agrees with the reference on random sequences") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Random Rng(Seed);
    ModelComparison P(smallLimits());
    for (int I = 0; I < 1500 && P.agrees(); ++I) {
      switch (Rng.below(8)) {
      case 0:
      case 1:
      case 2:
        P.submit(static_cast<int>(Rng.below(4)), static_cast<int>(Rng.below(3)),
                 milliseconds(Rng.below(600)), Rng.below(6) == 0);
        break;
      case 3:
      case 4:
        P.start();
        break;
      case 5:
        P.advance(Duration(Rng.below(30000)));
        P.finish(Rng.below(3));
        break;
      case 6:
        if (Rng.below(4) == 0)
          P.withdraw(P.lastId() - Rng.below(10));
        else
          P.expire();
        break;
      default:
        P.observe(milliseconds(Rng.below(3) == 0 ? 20 : 0));
        P.advance(milliseconds(Rng.below(20)));
      }
    }
    if (!P.agrees())
      FAIL("seed " << Seed << " differs: " << P.difference());
  }
}
