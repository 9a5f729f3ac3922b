// The child that follows the operator's configuration and the registered
// servers in the platform's store.
//
// There is one task per table. It reads the table once and then follows its
// changes with long polls. If changes are lost, it reads the table again. While
// the store is unreachable, the last known state stays in force. The revision
// of the configuration never decreases.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_PLATFORMDIRECTORY_H
#define AMARANTHSPUR_ROOT_DIRECTORY_PLATFORMDIRECTORY_H

#include "core/Async.h"
#include "platform/Platform.h"
#include "policy/AccessPlan.h"
#include "root/Supervisor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace amaranthspur {

/// Returns how long after the start of a server this entry VM came to know of
/// it, in milliseconds: the difference between the entry VM's wall clock and
/// the server's, which may be wrong by the difference of the clocks. Returns
/// `-` if this start was known before or the registration does not tell it.
/// \param Known the registration that was known before; null if none was.
/// \param Now Unix time.
std::string knownAfterStart(const RegisteredServer &Server,
                            const RegisteredServer *Known, milliseconds Now);

/// Follows the operator's table and the table of the registered servers.
class PlatformDirectory final : public Child {
public:
  /// A long poll ends after this time if there are no changes. A connection
  /// that no longer delivers answers is therefore detected within the time in
  /// which a configuration must be in force after a fault, that is 4 s without
  /// faults plus 3 s.
  static constexpr Duration PollTimeout = std::chrono::seconds(5);
  /// Delay between changes and the next poll, so that one poll returns several
  /// changes. Each poll of each entry VM is a billed call. The delay is short
  /// compared with the 3 s in which a configuration must be in force.
  static constexpr Duration BatchDelay = milliseconds(150);
  /// Time limit for reading a table. An answer takes 4 ms, or 240 ms if the
  /// store is 60 times slower than usual.
  static constexpr Duration TableReadTimeout = milliseconds(1200);
  /// Delay before a retry after a failure, which doubles up to the maximum.
  /// Calls to an unavailable store are billed as well.
  static constexpr Duration InitialRetryDelay = milliseconds(100);
  static constexpr Duration MaxRetryDelay = milliseconds(800);
  /// How long a server is kept after its registration disappeared.
  /// Registrations that expired while the store was unavailable return within
  /// two seconds.
  static constexpr Duration RemovalDelay = milliseconds(2500);

  /// \p Store must outlive the directory.
  explicit PlatformDirectory(TableFeed &Store) : Store(Store) {}

  /// Maximum time that stop() waits for running polls. The daemon exits after
  /// it. Code that destroys the directory and continues, such as a test, must
  /// set more than PollTimeout.
  Duration StopLimit = milliseconds(50);

  /// Called after each change of the plan or of the servers.
  std::function<void()> Changed = [] {};

  std::string_view name() const override { return "directory"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  /// Returns the plan in force. Its revision is 0 before the first plan.
  std::shared_ptr<const AccessPlan> plan() const { return this->Plan; }

  /// Returns the registered servers by id.
  const std::map<ServerId, RegisteredServer> &servers() const {
    return this->Servers;
  }

private:
  QCoro::Task<> follow(WatchedTable Table);
  QCoro::Task<> removeExpiredServers();
  void apply(WatchedTable Table, const WatchedRows &Rows, bool FullRead);
  void applyPlan(const WatchedRow &Row);
  void applyServer(const WatchedRow &Row);
  void removeServer(const ServerId &Id);
  void recordStoreState(WatchedTable Table,
                        const std::optional<Error> &Failure);

  TableFeed &Store;
  std::shared_ptr<const AccessPlan> Plan = std::make_shared<AccessPlan>();
  std::map<ServerId, RegisteredServer> Servers;
  /// When the registration of a server that is still kept disappeared.
  std::map<ServerId, TimePoint> MissingSince;
  /// Whether the last call for a table failed.
  std::map<WatchedTable, bool> Unreachable;
  /// Woken after each answer of the store and by stop().
  WaitPoint MissingSignal;
  TaskGroup Tasks;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_PLATFORMDIRECTORY_H
