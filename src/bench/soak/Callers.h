// Callers of a soak. Each is one task that holds a connection to an entry VM
// until the process is gone, and records what it sends and receives.
#ifndef AMARANTHSPUR_BENCH_SOAK_CALLERS_H
#define AMARANTHSPUR_BENCH_SOAK_CALLERS_H

#include "bench/soak/EntryVm.h"
#include "bench/soak/Record.h"
#include "bench/soak/TextStream.h"
#include "bench/soak/Workspaces.h"
#include "core/Random.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// What callers share.
struct CallerContext {
  Record &Events;
  TaskGroup &Tasks;
  const std::vector<std::unique_ptr<EntryVm>> &Vms;
  Random &Generator;
  const Workspaces &WorkspaceList;
  /// Workspace whose callers send seven times as much; empty: none.
  const std::string &Surging;
  bool Stopping = false;
};

/// Returns the name of the database whose route has type \p Type.
std::string databaseOf(unsigned Group, RouteType Type);
/// Name of the database whose route is added and removed.
inline constexpr const char *ProbedDatabase = "extra";

/// A caller's session.
class Caller {
public:
  Caller(CallerContext &Context, unsigned Number, unsigned Group,
         RouteType Route);
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;
  virtual ~Caller() = default;

  /// Opens connections and repeats the operation until the callers stop.
  QCoro::Task<> run();

protected:
  /// Performs one operation. \returns false if the connection is to be closed.
  virtual QCoro::Task<bool> operate() = 0;
  /// Performs what an operation needs of a new session. \returns whether that
  /// succeeded.
  virtual QCoro::Task<bool> beginSession() { co_return true; }
  /// The time between two operations.
  virtual Duration pause() const = 0;

  /// Sends one statement and waits for its answer.
  /// \param Shape of the prepared statement that \p Text executes, or empty.
  QCoro::Task<Outcome> send(StatementKind Kind, std::string Text,
                            std::string Shape = {});
  QCoro::Task<Outcome> begin(std::string Text);
  /// Returns whether the connection can be used again.
  bool usable() const;
  bool inTransaction() const { return this->State != 'I'; }
  /// Returns whether the workspace of the caller sends more than usual.
  bool surges() const;
  unsigned number() const { return this->Number; }
  CallerContext &Context;

private:
  QCoro::Task<bool> open();
  QCoro::Task<> receive(Statement &S);

  unsigned Number;
  unsigned Group;
  RouteType Route;
  EntryVm *Vm = nullptr;
  std::unique_ptr<TextStream> Stream;
  std::string Key;   ///< Of the session; empty on an anonymous route.
  std::string Value; ///< Acknowledged value of the session.
  char State = 'I';
  unsigned Transaction = 0;
  double OperationAt = 0;
  bool FirstInTransaction = false;
};

/// Returns the callers of one group.
std::vector<std::unique_ptr<Caller>>
makeCallers(CallerContext &Context, unsigned Group, unsigned Groups);

/// Connects to the probed database through random VMs until the callers stop.
QCoro::Task<> probeRoutes(CallerContext &Context);

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_CALLERS_H
