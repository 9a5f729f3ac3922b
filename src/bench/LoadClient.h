// Caller sessions that load a deployment and record what they are told.
//
// Each session is one task with one connection at a time. It carries its token
// from one entry VM to the next, and waits for the end of one operation before
// it starts the next.
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

/// The table that the workload writes to. It has no unique key, so that a write
/// that ran twice leaves two rows.
inline constexpr const char *SetupStatements[] = {
    "CREATE TABLE IF NOT EXISTS bench_rows(operation TEXT, session TEXT, "
    "sequence INTEGER, part INTEGER)",
    "CREATE INDEX IF NOT EXISTS bench_rows_session ON bench_rows(session, "
    "sequence)",
};

/// Reads all rows of the workload.
inline constexpr const char *FinalRowsStatement =
    "SELECT operation, session, sequence, part FROM bench_rows";

/// From Since (after the start) on, arrivals come Factor times as often.
struct RatePhase {
  Duration Since{};
  double Factor = 1;
};

/// An entry VM as a caller reaches it.
struct EntryPoint {
  std::string Name;
  Address At;
};

/// The load of one caller.
struct CallerLoad {
  CallerName Caller;
  ServiceName Service;
  unsigned Sessions = 1;
  /// Operations per second of all its sessions together, drawn from the seed
  /// (Poisson arrivals); 0: closed loop with ThinkTime.
  double RatePerSecond = 0;
  Duration ThinkTime{};
  /// Relative frequency by OperationKind, in its order.
  std::array<unsigned, EnumNames<OperationKind>::Entries.size()> Mix{};
  Duration WorkLength = milliseconds(1); ///< Of OperationKind::Work.
  Duration Deadline = std::chrono::seconds(5);
  double RoamShare = 0; ///< Chance of moving before an operation.
  /// Further start-up parameters, `amaranthspur.*` (design, section 12).
  std::map<std::string, std::string> Settings;
  std::vector<EntryPoint> Entries; ///< Session N starts at entry N modulo size.
  std::string BindHost;            ///< Source address; empty: any.
};

/// What a LoadClient does.
struct LoadPlan {
  std::vector<CallerLoad> Callers;
  std::vector<RatePhase> Phases; ///< By time; before the first the factor is 1.
  Duration ConnectTime = milliseconds(300); ///< Before the first operation.
  Duration Length = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
  /// Begins every session's name, so that two plans of a run do not share one.
  std::string Prefix = std::string("s");
};

/// Runs a plan once.
class LoadClient {
public:
  explicit LoadClient(LoadPlan Plan);
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;
  ~LoadClient();

  /// Runs all sessions; returns when the last has ended.
  QCoro::Task<> run();

  /// Ends every session after its present operation.
  void stop();

  /// Returns when the first operation is intended at the earliest.
  TimePoint start() const { return this->Start; }

  /// Returns what has been done so far.
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
  static void takeAnswer(Operation &Op, const Answer &Got);
  TimePoint nextArrival(Session &S) const;
  double factorAt(TimePoint When) const;
  Operation draw(Session &S, TimePoint Intended) const;
  void roam(Session &S) const;

  LoadPlan Plan;
  TimePoint Start;
  TimePoint End;
  double MaxFactor = 1;
  bool Stopping = false;
  std::size_t Running = 0;
  WaitPoint AllEnded;
  std::vector<std::unique_ptr<Session>> Sessions;
  History Recorded;
};

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_LOADCLIENT_H
