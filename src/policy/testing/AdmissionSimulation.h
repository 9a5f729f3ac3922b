// Discrete-event simulation of one backend server behind an Admission, for
// tests.
#ifndef AMARANTHSPUR_POLICY_TESTING_ADMISSIONSIMULATION_H
#define AMARANTHSPUR_POLICY_TESTING_ADMISSIONSIMULATION_H

#include "core/Random.h"
#include "policy/Admission.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace amaranthspur::testing {

/// A Poisson process of statement arrivals. It is an open load: arrivals do not
/// depend on the answers.
struct ArrivalProcess {
  std::string Caller;
  std::string Class;
  std::uint64_t Shape = 1;
  double PerSecond = 1;
  Duration MinLength{};
  Duration MaxLength{};
  Duration Deadline{};
  /// The arrival rate is multiplied by PeakFactor between PeakFrom and
  /// PeakUntil.
  double PeakFactor = 1;
  Duration PeakFrom{};
  Duration PeakUntil{};
};

/// The times of one completed statement.
struct CompletedStatement {
  std::string Caller;
  std::string Class;
  TimePoint Arrived;
  TimePoint Started;
  TimePoint Ended;
  TimePoint Deadline;
};

/// Submits the arrivals to an Admission and runs the work that it starts.
class AdmissionSimulation {
public:
  AdmissionSimulation(Admission &Policy, std::uint64_t Seed)
      : Policy(Policy), Rng(Seed) {}

  void add(ArrivalProcess A) { this->Sources.push_back(std::move(A)); }

  void run(Duration Length) {
    for (std::size_t I = 0; I < this->Sources.size(); ++I)
      this->scheduleArrival(I, this->Start);
    const TimePoint End = this->Start + Length;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      const Event E = this->Events.top();
      this->Events.pop();
      this->handle(E);
      this->startWork(E.At);
    }
  }

  /// Returns a quantile of the time from arrival to completion of the
  /// statements of \p Class that arrived between two times after the start.
  Duration latency(const std::string &Class, double Quantile,
                   Duration After = Duration::zero(),
                   Duration Until = Duration::max()) const {
    std::vector<Duration> All;
    for (const CompletedStatement &A : this->Done)
      if (A.Class == Class && A.Arrived - this->Start >= After &&
          A.Arrived - this->Start < Until)
        All.push_back(A.Ended - A.Arrived);
    if (All.empty())
      return Duration::zero();
    std::sort(All.begin(), All.end());
    return All[static_cast<std::size_t>(Quantile *
                                        static_cast<double>(All.size() - 1))];
  }

  /// Returns the slot time that statements of \p Class (of all classes if
  /// empty) used between two times, as a share of the slot time of \p Slots
  /// slots.
  /// \param OnlyBeforeDeadline whether to count only statements that ended
  /// before their deadline.
  double usedShare(const std::string &Class, Duration From, Duration To,
                   double Slots, bool OnlyBeforeDeadline = true) const {
    double Used = 0;
    for (const CompletedStatement &A : this->Done) {
      if ((!Class.empty() && A.Class != Class) ||
          (OnlyBeforeDeadline && A.Ended > A.Deadline))
        continue;
      const TimePoint B = std::max(A.Started, this->Start + From);
      const TimePoint E = std::min(A.Ended, this->Start + To);
      if (E > B)
        Used += static_cast<double>((E - B).count());
    }
    return Used / (static_cast<double>((To - From).count()) * Slots);
  }

  /// Returns the ratio of the largest to the smallest number of statements that
  /// a caller completed before their deadline between two times.
  double callerRatio(Duration From, Duration To) const {
    std::map<std::string, double> Counts;
    for (const ArrivalProcess &A : this->Sources)
      Counts[A.Caller] = 0;
    for (const CompletedStatement &A : this->Done)
      if (A.Ended <= A.Deadline && A.Ended >= this->Start + From &&
          A.Ended < this->Start + To)
        ++Counts[A.Caller];
    double Min = INFINITY;
    double Max = 0;
    for (const auto &[Name, Count] : Counts) {
      Min = std::min(Min, Count);
      Max = std::max(Max, Count);
    }
    return Max / Min;
  }

  std::vector<CompletedStatement> Done;
  std::map<RefusalReason, unsigned> Refused;
  unsigned MaxRunning = 0;

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    bool Arrival = false;
    std::size_t Source = 0;
    WorkId Id = 0;
    bool operator<(const Event &O) const {
      return this->At != O.At ? this->At > O.At : this->Order > O.Order;
    }
  };

  struct PendingWork {
    CompletedStatement Times;
    Duration Length{};
  };

  void scheduleArrival(std::size_t Source, TimePoint Now) {
    const ArrivalProcess &A = this->Sources[Source];
    const Duration Since = Now - this->Start;
    const bool InPeak = Since >= A.PeakFrom && Since < A.PeakUntil;
    const double Rate = A.PerSecond * (InPeak ? A.PeakFactor : 1);
    const double Gap = -std::log(1 - this->Rng.unit()) / Rate;
    // A gap that begins before the peak ends at the start of the peak at the
    // latest, because it was drawn with the lower rate.
    TimePoint At = Now + Duration(std::llround(Gap * 1e6));
    if (Since < A.PeakFrom)
      At = std::min(At, this->Start + A.PeakFrom);
    this->Events.push({At, this->NextOrder++, true, Source, 0});
  }

  void handle(const Event &E) {
    if (!E.Arrival) {
      this->Policy.finished(E.Id, E.At);
      PendingWork &W = this->Running.at(E.Id);
      W.Times.Ended = E.At;
      this->Done.push_back(W.Times);
      this->Running.erase(E.Id);
      return;
    }
    const ArrivalProcess &A = this->Sources[E.Source];
    const WorkId Id = this->NextId++;
    PendingWork W;
    W.Times = {A.Caller, A.Class, E.At, {}, {}, E.At + A.Deadline};
    const auto Range =
        static_cast<std::uint64_t>((A.MaxLength - A.MinLength).count() + 1);
    W.Length = A.MinLength + Duration(this->Rng.below(Range));
    WorkItem Item;
    Item.Id = Id;
    Item.Caller = CallerName(A.Caller);
    Item.Class = ClassName(A.Class);
    Item.Shape = A.Shape;
    Item.Deadline = W.Times.Deadline;
    Item.Bytes = 100;
    if (const auto R = this->Policy.submit(Item, E.At))
      ++this->Refused[R->Reason];
    else
      this->Waiting.emplace(Id, std::move(W));
    this->scheduleArrival(E.Source, E.At);
  }

  void startWork(TimePoint Now) {
    for (const ExpiredWork &X : this->Policy.expire(Now)) {
      ++this->Refused[X.Reason];
      this->Waiting.erase(X.Id);
    }
    while (const auto Id = this->Policy.next(Now)) {
      auto Node = this->Waiting.extract(*Id);
      PendingWork &W = Node.mapped();
      W.Times.Started = Now;
      this->Events.push({Now + W.Length, this->NextOrder++, false, 0, *Id});
      this->Running.insert(std::move(Node));
      this->MaxRunning = std::max(this->MaxRunning,
                                  static_cast<unsigned>(this->Running.size()));
    }
  }

  Admission &Policy;
  Random Rng;
  TimePoint Start{std::chrono::seconds(1000)};
  std::vector<ArrivalProcess> Sources;
  std::priority_queue<Event> Events;
  std::map<WorkId, PendingWork> Waiting;
  std::map<WorkId, PendingWork> Running;
  std::uint64_t NextOrder = 0;
  WorkId NextId = 1;
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_TESTING_ADMISSIONSIMULATION_H
