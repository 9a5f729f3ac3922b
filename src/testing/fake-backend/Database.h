// The SQL engine of the fake-backend: in-memory SQLite.
//
// There are two databases. Committed holds exactly the result of applying the
// log; reads outside write transactions run there, so they see no uncommitted
// changes. Working holds Committed plus the changes of the open write
// transaction. A commit runs the statements of the transaction again on
// Committed, as replicas do. A replica does not update Working; a promotion
// copies Committed to it.
//
// Running statements again requires them to be deterministic, so a write that
// calls random(), a date function or a similar function is rejected. A column
// default of CURRENT_TIMESTAMP is not detected and must not be used.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_DATABASE_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_DATABASE_H

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace amaranthspur::fake {

/// An error as it is reported to a PostgreSQL client.
struct SqlError {
  std::string SqlState; ///< Five characters.
  std::string Message;
};

/// Either a value or an SqlError.
template <typename T> using SqlResult = std::variant<T, SqlError>;

/// Returns the error of \p R, or null.
template <typename T> const SqlError *errorIn(const SqlResult<T> &R) {
  return std::get_if<SqlError>(&R);
}

/// Receives the columns and rows of a result set.
class RowSink {
public:
  virtual ~RowSink() = default;
  virtual void columns(const std::vector<std::string> &Names) = 0;
  /// \param Values the values of the row; they are valid only during the call.
  virtual void
  row(const std::vector<std::optional<std::string_view>> &Values) = 0;
};

/// Values of the parameters $1, $2, ... in text format; std::nullopt is NULL.
using Parameters = std::vector<std::optional<std::string>>;

/// The result of executing a statement.
struct ExecutionResult {
  std::uint64_t Rows = 0;   ///< Rows returned by a read or changed by a write.
  Duration SimulatedWork{}; ///< Sum of the arguments of sim_work(ms) calls.
};

/// A statement prepared in one of the databases.
class PreparedSql {
public:
  PreparedSql(sqlite3_stmt *Handle, bool Deterministic);

  bool isWrite() const;
  bool isDeterministic() const { return this->Deterministic; }
  std::vector<std::string> columns() const;
  /// Returns the highest n of the parameters $n.
  std::size_t parameterCount() const;
  /// Returns the SQL text with the bound parameters expanded to literals.
  std::string expanded() const;
  sqlite3_stmt *handle() const { return this->Handle.get(); }

private:
  struct Finalize {
    void operator()(sqlite3_stmt *Handle) const;
  };
  std::unique_ptr<sqlite3_stmt, Finalize> Handle;
  bool Deterministic;
};

/// Selects one of the two databases.
enum class Image { Committed, Working };

/// The two databases. Every function blocks the calling thread until it is
/// done; a client statement is interrupted after MaxRunTime.
class Database {
public:
  /// Time limit of a statement. The process has a single thread, so a longer
  /// statement would block all connections.
  static constexpr Duration MaxRunTime = std::chrono::seconds(5);
  /// Maximum total size of the values of a result set.
  static constexpr std::size_t MaxAnswerBytes = 64U << 20U;

  Database();
  ~Database();
  Database(const Database &) = delete;
  Database &operator=(const Database &) = delete;

  /// Prepares one statement.
  SqlResult<PreparedSql> prepare(Image Where, std::string_view Text);

  /// Runs a prepared statement.
  /// \param Sink receives the columns and rows.
  SqlResult<ExecutionResult> run(PreparedSql &Sql, const Parameters &Values,
                                 RowSink &Sink);

  /// Opens a write transaction in Working. \pre No write transaction is open.
  void begin();
  /// Commits the write transaction in Working only; the caller must then call
  /// apply() for Committed. If the commit fails, for example because of a
  /// deferred constraint, the transaction is rolled back.
  SqlResult<std::monostate> commit();
  /// Rolls back the write transaction if one is open.
  void rollback();

  /// Runs the statements of a log entry in \p Where as one transaction. They
  /// succeeded when the entry was created, so an error violates an invariant
  /// and aborts the process.
  void apply(Image Where, const std::string &Sql);

  /// Records that Committed reflects the log up to \p Index. At every
  /// SnapshotInterval-th index a copy is kept for restore().
  void recordApplied(std::uint64_t Index);

  /// Restores Committed from the last snapshot at or before \p Index and
  /// empties Working. Without such a snapshot Committed becomes empty. \returns
  /// the index of the snapshot, or 0 if there is none.
  std::uint64_t restore(std::uint64_t Index);

  /// Runs the statements of \p Entries in Committed, as one transaction.
  void replay(const std::vector<const std::string *> &Entries);

  /// Number of entries between two snapshots. Replaying 100,000 entries blocked
  /// a server for 1.6 s. At that rate 5,000 entries take less than 0.1 s, which
  /// is below every time limit of the design.
  static constexpr std::uint64_t SnapshotInterval = 5000;
  /// Maximum number of snapshots. Each uses as much memory as the database.
  static constexpr std::size_t MaxSnapshots = 3;

  /// Copies all pages of Committed to Working. \pre No transaction is
  /// open in either.
  void copyToWorking();

private:
  struct Close {
    void operator()(sqlite3 *Handle) const;
  };
  using Handle = std::unique_ptr<sqlite3, Close>;

  /// State shared with the SQLite callbacks, which hold a pointer to it.
  struct CallbackState {
    bool Deterministic = true;
    Duration SimulatedWork{};
    TimePoint InterruptAt{};
  };

  /// A copy of Committed at a log index.
  struct Snapshot {
    std::uint64_t Index = 0;
    Handle Copy;
  };

  Handle open();
  void clear();
  sqlite3 *image(Image Where) const {
    return Where == Image::Committed ? this->Committed.get()
                                     : this->Working.get();
  }
  void execute(sqlite3 *Target, const char *Sql);

  std::unique_ptr<CallbackState> State;
  Handle Committed;
  Handle Working;
  std::deque<Snapshot> Snapshots; ///< In ascending order of index.
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_DATABASE_H
