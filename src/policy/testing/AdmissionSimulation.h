// One backend server under an Admission, in simulated time. For tests.
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

/// Statements that arrive at random, independently of answers.
struct Arrivals {
  std::string Caller;
  std::string Class;
  std::uint64_t Shape = 1;
  double PerSecond = 1;
  Duration MinLength{};
  Duration MaxLength{};
  Duration Deadline{};
  /// The rate is multiplied by CrestFactor between CrestFrom and CrestUntil.
  double CrestFactor = 1;
  Duration CrestFrom{};
  Duration CrestUntil{};
};

/// One answered statement.
struct Answered {
  std::string Caller;
  std::string Class;
  TimePoint Arrived;
  TimePoint Started;
  TimePoint Ended;
  TimePoint Deadline;
};

/// Runs arrivals through an Admission; the server runs whatever is started.
class AdmissionSimulation {
public:
  AdmissionSimulation(Admission &Policy, std::uint64_t Seed)
      : Policy(Policy), Rng(Seed) {}

  void add(Arrivals A) { this->Sources.push_back(std::move(A)); }

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

  /// Returns the q-quantile of arrival to end of \p Class.
  Duration latency(const std::string &Class, double Quantile,
                   Duration After = Duration::zero(),
                   Duration Until = Duration::max()) const {
    std::vector<Duration> All;
    for (const Answered &A : this->Done)
      if (A.Class == Class && A.Arrived - this->Start >= After &&
          A.Arrived - this->Start < Until)
        All.push_back(A.Ended - A.Arrived);
    if (All.empty())
      return Duration::zero();
    std::sort(All.begin(), All.end());
    return All[static_cast<std::size_t>(Quantile *
                                        static_cast<double>(All.size() - 1))];
  }

  /// Returns the slot time of statements of \p Class (all if empty) that ended
  /// before their deadline, as a share of \p Slots slots between two moments.
  double usedShare(const std::string &Class, Duration From, Duration To,
                   double Slots, bool OnlyInTime = true) const {
    double Used = 0;
    for (const Answered &A : this->Done) {
      if ((!Class.empty() && A.Class != Class) ||
          (OnlyInTime && A.Ended > A.Deadline))
        continue;
      const TimePoint B = std::max(A.Started, this->Start + From);
      const TimePoint E = std::min(A.Ended, this->Start + To);
      if (E > B)
        Used += static_cast<double>((E - B).count());
    }
    return Used / (static_cast<double>((To - From).count()) * Slots);
  }

  /// Returns the largest number of in-time answers of a caller divided by the
  /// smallest, among statements that ended between two moments.
  double callerRatio(Duration From, Duration To) const {
    std::map<std::string, double> Counts;
    for (const Arrivals &A : this->Sources)
      Counts[A.Caller] = 0;
    for (const Answered &A : this->Done)
      if (A.Ended <= A.Deadline && A.Ended >= this->Start + From &&
          A.Ended < this->Start + To)
        ++Counts[A.Caller];
    double Least = INFINITY;
    double Most = 0;
    for (const auto &[Name, Count] : Counts) {
      Least = std::min(Least, Count);
      Most = std::max(Most, Count);
    }
    return Most / Least;
  }

  std::vector<Answered> Done;
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

  struct Work {
    Answered Record;
    Duration Length{};
  };

  void scheduleArrival(std::size_t Source, TimePoint Now) {
    const Arrivals &A = this->Sources[Source];
    const Duration Since = Now - this->Start;
    const bool Crest = Since >= A.CrestFrom && Since < A.CrestUntil;
    const double Rate = A.PerSecond * (Crest ? A.CrestFactor : 1);
    const double Gap = -std::log(1 - this->Rng.unit()) / Rate;
    // A gap from before the crest may not reach far into it.
    TimePoint At = Now + Duration(std::llround(Gap * 1e6));
    if (Since < A.CrestFrom)
      At = std::min(At, this->Start + A.CrestFrom);
    this->Events.push({At, this->NextOrder++, true, Source, 0});
  }

  void handle(const Event &E) {
    if (!E.Arrival) {
      this->Policy.finished(E.Id, E.At);
      Work &W = this->Running.at(E.Id);
      W.Record.Ended = E.At;
      this->Done.push_back(W.Record);
      this->Running.erase(E.Id);
      return;
    }
    const Arrivals &A = this->Sources[E.Source];
    const WorkId Id = this->NextId++;
    Work W;
    W.Record = {A.Caller, A.Class, E.At, {}, {}, E.At + A.Deadline};
    const auto Range =
        static_cast<std::uint64_t>((A.MaxLength - A.MinLength).count() + 1);
    W.Length = A.MinLength + Duration(this->Rng.below(Range));
    WorkItem Item;
    Item.Id = Id;
    Item.Caller = CallerName(A.Caller);
    Item.Class = ClassName(A.Class);
    Item.Shape = A.Shape;
    Item.Deadline = W.Record.Deadline;
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
      Work &W = Node.mapped();
      W.Record.Started = Now;
      this->Events.push({Now + W.Length, this->NextOrder++, false, 0, *Id});
      this->Running.insert(std::move(Node));
      this->MaxRunning = std::max(this->MaxRunning,
                                  static_cast<unsigned>(this->Running.size()));
    }
  }

  Admission &Policy;
  Random Rng;
  TimePoint Start{std::chrono::seconds(1000)};
  std::vector<Arrivals> Sources;
  std::priority_queue<Event> Events;
  std::map<WorkId, Work> Waiting;
  std::map<WorkId, Work> Running;
  std::uint64_t NextOrder = 0;
  WorkId NextId = 1;
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_TESTING_ADMISSIONSIMULATION_H
