// Caller sessions that generate load on a deployment and record the answers.
//
// Each session is one task with one connection at a time. It presents its
// session token to each entry VM that it connects to, and runs one operation at
// a time.
#ifndef AMARANTHSPUR_BENCH_LOADCLIENT_H
#define AMARANTHSPUR_BENCH_LOADCLIENT_H

#include "bench/CallerConnection.h"
#include "bench/History.h"
#include "core/Random.h"

#include <QCoroTask>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// Creates the table that the workload writes to. The table has no unique key,
/// so that a write that runs twice leaves two rows.
inline constexpr const char *SetupStatements[] = {
    "CREATE TABLE IF NOT EXISTS bench_rows(operation TEXT, session TEXT, "
    "sequence INTEGER, part INTEGER)",
    "CREATE INDEX IF NOT EXISTS bench_rows_session ON bench_rows(session, "
    "sequence)",
};

/// Selects all rows that the workload has written.
inline constexpr const char *FinalRowsStatement =
    "SELECT operation, session, sequence, part FROM bench_rows";

/// From Since after the start on, the arrival rate is multiplied by Factor.
struct RatePhase {
  Duration Since{};
  double Factor = 1;
};

/// The name of an entry VM and its address for callers.
struct EntryPoint {
  std::string Name;
  Address At;
};

/// The load of one caller.
struct CallerLoad {
  CallerName Caller;
  ServiceName Service;
  unsigned Sessions = 1;
  /// Operations per second of all sessions together, as Poisson arrivals drawn
  /// from the seed. With 0 each session is a closed loop with ThinkTime.
  double RatePerSecond = 0;
  Duration ThinkTime{};
  /// Relative frequency of each OperationKind, in the order of the enumerators.
  std::array<unsigned, EnumNames<OperationKind>::Entries.size()> Mix{};
  Duration WorkLength = milliseconds(1); ///< Of OperationKind::Work.
  Duration Deadline = std::chrono::seconds(5);
  /// Probability of moving to another entry VM before an operation.
  double RoamShare = 0;
  /// Additional start-up parameters, `amaranthspur.*` (design, section 12).
  std::map<std::string, std::string> Settings;
  /// Session N connects first to entry N modulo the size.
  std::vector<EntryPoint> Entries;
  std::string BindHost; ///< Source address; empty if the system chooses.
};

/// The load that a LoadClient generates.
struct LoadPlan {
  std::vector<CallerLoad> Callers;
  /// Ordered by time; the factor is 1 before the first phase.
  std::vector<RatePhase> Phases;
  /// Time to connect before the first operation.
  Duration ConnectTime = milliseconds(300);
  Duration Length = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
  /// Prefix of all session names, which keeps them unique across the plans of a
  /// run.
  std::string Prefix = std::string("s");
};

/// Runs a load plan once.
class LoadClient {
public:
  explicit LoadClient(LoadPlan Plan);
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;
  ~LoadClient();

  /// Runs all sessions and returns when the last one has ended.
  QCoro::Task<> run();

  /// Ends each session after its current operation.
  void stop();

  /// Returns the earliest intended time of an operation. It is set by run().
  TimePoint start() const { return this->Start; }

  /// Returns the operations that have ended so far.
  const History &history() const { return this->Recorded; }

private:
  struct Session;

  QCoro::Task<> runSession(Session &S);
  QCoro::Task<> runOperation(Session &S, Operation &Op);
  QCoro::Task<bool> connect(Session &S, TimePoint Deadline);
  QCoro::Task<> perform(Session &S, Operation &Op, TimePoint Deadline);
  QCoro::Task<> performTransaction(Session &S, Operation &Op,
                                   TimePoint Deadline);
  QCoro::Task<bool> send(Session &S, Operation &Op, std::string Sql,
                         TimePoint Deadline);
  static void recordAnswer(Operation &Op, const Answer &Reply);
  TimePoint nextArrival(Session &S) const;
  double rateFactorAt(TimePoint When) const;
  Operation drawOperation(Session &S, TimePoint Intended) const;
  void maybeSwitchEntryVm(Session &S) const;

  LoadPlan Plan;
  TimePoint Start;
  TimePoint End;
  double MaxFactor = 1;
  bool Stopping = false;
  std::size_t ActiveSessions = 0;
  WaitPoint AllSessionsEnded;
  std::vector<std::unique_ptr<Session>> Sessions;
  History Recorded;
};

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_LOADCLIENT_H
