// The event record of a soak: the history for the judge, and a text file with
// one line per event.
#ifndef AMARANTHSPUR_BENCH_SOAK_RECORD_H
#define AMARANTHSPUR_BENCH_SOAK_RECORD_H

#include "bench/soak/History.h"
#include "core/Async.h"

#include <fstream>
#include <iomanip>
#include <string>

namespace amaranthspur::bench::soak {

/// Collects what is seen during a run.
class Record {
public:
  /// Interval at which stalls are looked for, and the shortest one that counts.
  /// Timers are late by a few milliseconds without a stall.
  static constexpr Duration StallInterval = milliseconds(10);
  static constexpr Duration ShortestStall = milliseconds(30);

  /// \param Directory for `record.txt`; empty: no file.
  explicit Record(const std::string &Directory) {
    if (!Directory.empty())
      this->File.open(Directory + "/record.txt");
  }

  /// Returns the time since the start of the run in ms.
  double now() const { return toMilliseconds(steadyNow() - this->Start); }

  /// Adds a line to the file.
  void note(const std::string &Text) {
    if (this->File.is_open())
      this->File << std::fixed << std::setprecision(1) << std::setw(10)
                 << this->now() << " ms  " << Text << "\n";
  }

  /// Adds a fault that begins now and lasts for \p LengthMs.
  /// \returns its index in the history.
  std::size_t disrupt(FaultKind Kind, const std::string &Subject,
                      double LengthMs = 0) {
    this->note("fault " + std::string(nameOf(Kind)) + " of " + Subject +
               " for " + std::to_string(static_cast<int>(LengthMs)) + " ms");
    this->Seen.Disruptions.push_back(
        {Kind, Subject, this->now(), this->now() + LengthMs});
    return this->Seen.Disruptions.size() - 1;
  }

  /// Records stalls of this process until \p Stopping is set.
  QCoro::Task<> watchStalls(TaskGroup &Tasks, const bool &Stopping) {
    const TaskGroup::Guard Counted(Tasks);
    while (!Stopping) {
      const double Due = this->now() + toMilliseconds(StallInterval);
      co_await sleepFor(StallInterval);
      if (this->now() - Due < toMilliseconds(ShortestStall))
        continue;
      this->Seen.Stalls.push_back({Due, this->now()});
      this->note("stall of the soak for " +
                 std::to_string(static_cast<int>(this->now() - Due)) + " ms");
    }
  }

  History Seen;

private:
  TimePoint Start = steadyNow();
  std::ofstream File;
};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_RECORD_H
