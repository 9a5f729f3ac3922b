// Admission control for one backend server: the order in which statements run,
// early refusal, and the slots that bound how many run at a time.
//
// The entry VM that owns a server keeps one Admission for it. Work is
// submitted, started in the order in which next() returns it, and reported as
// finished. No function blocks or reads a clock; the caller passes the time.
// Memory is bounded by AdmissionLimits: work beyond a limit is refused.
#ifndef AMARANTHSPUR_POLICY_ADMISSION_H
#define AMARANTHSPUR_POLICY_ADMISSION_H

#include "core/Clock.h"
#include "core/Refusal.h"
#include "core/Types.h"
#include "policy/Configuration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthspur {

/// Identifies one submitted piece of work; an identifier is not reused within
/// one Admission.
using WorkId = std::uint64_t;

/// A statement that is submitted for a slot.
struct WorkItem {
  WorkId Id = 0;
  CallerName Caller;
  ClassName Class;
  /// Hash of the statement's shape. Run times are learned per shape.
  std::uint64_t Shape = 0;
  TimePoint Deadline;
  std::size_t Bytes = 0; ///< Size of the statement's frames.
  /// The statement belongs to an open transaction. The transaction holds locks
  /// that other statements wait for, so such work takes precedence.
  bool InTransaction = false;
};

/// Work that was removed from the queue without being run.
struct ExpiredWork {
  WorkId Id = 0;
  RefusalReason Reason = RefusalReason::DeadlineExpired;
};

/// Slots and queue bounds of one Admission.
struct AdmissionLimits {
  unsigned Slots = 5;
  std::size_t MaxQueued = 4096;          ///< Entries of all callers together.
  std::size_t MaxQueuedPerCaller = 1024; ///< Entries of one caller.
  std::size_t MaxQueuedBytes = 16U << 20U;
};

/// Gauges for the metrics and for `status`.
struct AdmissionStats {
  std::size_t Queued = 0;
  unsigned Running = 0;
  unsigned RunningLong = 0;
  /// Slots that may be used now, at most AdmissionLimits::Slots.
  unsigned Concurrency = 0;
};

/// Decides which work runs on one backend server, and when.
class Admission {
public:
  virtual ~Admission() = default;

  /// Queues \p Item, or returns a refusal of kind RefusalKind::NotRun.
  virtual std::optional<Refusal> submit(const WorkItem &Item,
                                        TimePoint Now) = 0;

  /// Returns the work to start now, which holds a slot until finished() is
  /// called for it, or nothing if no slot is free for the queued work.
  virtual std::optional<WorkId> next(TimePoint Now) = 0;

  /// Releases the slot of \p Id, which ran until \p Now.
  virtual void finished(WorkId Id, TimePoint Now) = 0;

  /// Removes \p Id from the queue because its caller no longer waits for it.
  /// Identifiers that are unknown or running are ignored.
  virtual void withdraw(WorkId Id) = 0;

  /// Removes and returns queued work whose deadline has passed or cannot be met
  /// any more.
  virtual std::vector<ExpiredWork> expire(TimePoint Now) = 0;

  /// Records the queueing time that the server reports; a long one is the sign
  /// of overload.
  virtual void observeQueueTime(Duration QueueTime, TimePoint Now) = 0;

  /// Applies a changed configuration. Queued work is kept.
  virtual void configure(const ServiceConfig &Service,
                         const AdmissionLimits &Limits) = 0;

  virtual AdmissionStats stats() const = 0;
};

/// Creates the weighted fair admission policy (see FairAdmission.h).
std::unique_ptr<Admission> makeFairAdmission(const ServiceConfig &Service,
                                             const AdmissionLimits &Limits);

/// Creates the baseline policy: one FIFO queue and no early refusal.
std::unique_ptr<Admission> makeFifoAdmission(const ServiceConfig &Service,
                                             const AdmissionLimits &Limits);

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ADMISSION_H
