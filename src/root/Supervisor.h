// The supervisor tree of the daemon.
//
// The root supervisor starts its children in order and stops them in the
// reverse order. Each child owns its tasks. If a child fails, its supervisor
// stops it and starts it again after an exponentially growing delay; the other
// children keep running.
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

/// A component of the daemon that a supervisor starts and stops.
class Child {
public:
  virtual ~Child() = default;

  /// Returns the child's name in logs and metrics. It never changes.
  virtual std::string_view name() const = 0;

  /// Starts the child's tasks. Returns when the child is in service, or an
  /// error if it cannot start.
  virtual QCoro::Task<Result<Success>> start() = 0;

  /// Stops the child gracefully: it refuses new work, lets running work finish
  /// until \p Deadline, and then ends its tasks. May be called in any state.
  virtual QCoro::Task<> stop(TimePoint Deadline) = 0;

  /// Called by the child to report that it has failed; set by the supervisor
  /// before start().
  std::function<void(const Error &)> OnFailure = [](const Error &) {};
};

/// Starts, restarts and stops children.
class Supervisor {
public:
  /// \param OnRestart called with the child's name and the error when a child
  /// has failed and whenever its restart fails, for counters and logs.
  explicit Supervisor(
      std::function<void(std::string_view, const Error &)> OnRestart);

  /// Adds a child, which must outlive the supervisor.
  /// \pre start() has not been called.
  void add(Child &C);

  /// Starts the children in order. Returns an error if one of them cannot
  /// start, since the cause is then an error in the settings. Children that
  /// fail later are restarted.
  QCoro::Task<Result<Success>> start();

  /// Stops the children in the reverse order. \p Deadline applies to all of
  /// them together. A child that has not stopped by \p Limit is no longer
  /// waited for.
  /// \param Limit later than \p Deadline by the time that children need to end
  /// what the deadline has cut off.
  QCoro::Task<> stop(TimePoint Deadline, TimePoint Limit);

private:
  struct Entry {
    Child *C = nullptr;
    Duration RestartDelay{};
    bool Restarting = false;
    TimePoint LastStart{};
  };

  QCoro::Task<> restart(std::size_t Index, Error Reason);
  /// Stops \p C and records in \p Running when that is done. It uses nothing of
  /// the supervisor, which may be destroyed before.
  static QCoro::Task<> stopChild(Child &C, TimePoint Deadline,
                                 std::shared_ptr<TaskGroup> Running);

  std::function<void(std::string_view, const Error &)> OnRestart;
  std::vector<Entry> Entries;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SUPERVISOR_H
