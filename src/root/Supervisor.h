// The supervisor tree of the daemon.
//
// The root supervisor starts its children in order and stops them in reverse. A
// child owns its tasks. A child that fails is stopped and started again by its
// supervisor after a delay that doubles; its siblings are not touched.
#ifndef AMARANTHSPUR_ROOT_SUPERVISOR_H
#define AMARANTHSPUR_ROOT_SUPERVISOR_H

#include "core/Async.h"
#include "core/Result.h"

#include <QCoroTask>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur {

/// A part of the daemon that a supervisor starts and stops.
class Child {
public:
  virtual ~Child() = default;

  /// Returns the name for logs and metrics; it never changes.
  virtual std::string_view name() const = 0;

  /// Starts the child's tasks; returns when it serves, or an error.
  virtual QCoro::Task<Result<Success>> start() = 0;

  /// Ends the child gracefully: new work is refused, running work finishes
  /// until \p Deadline, then the tasks end. May be called in any state.
  virtual QCoro::Task<> stop(TimePoint Deadline) = 0;

  /// Makes the child report a failure; set by the supervisor before start().
  std::function<void(const Error &)> Failed = [](const Error &) {};
};

/// Starts, restarts and stops children.
class Supervisor {
public:
  /// \param OnRestart called with the child's name and the error at each
  /// restart, for counters and logs.
  explicit Supervisor(
      std::function<void(std::string_view, const Error &)> OnRestart);

  /// Adds a child; \pre start() has not been called. The child is owned by the
  /// caller and outlives the supervisor.
  void add(Child &C);

  /// Starts the children in order. Fails if one cannot start at first, since
  /// that is an error of the settings; later failures lead to restarts.
  QCoro::Task<Result<Success>> start();

  /// Stops the children in reverse order; all share \p Deadline.
  QCoro::Task<> stop(TimePoint Deadline);

private:
  struct Entry {
    Child *C = nullptr;
    Duration Delay{};
    bool Restarting = false;
    TimePoint LastStart{};
  };

  QCoro::Task<> restart(std::size_t Index, Error Reason);

  std::function<void(std::string_view, const Error &)> OnRestart;
  std::vector<Entry> Entries;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SUPERVISOR_H
