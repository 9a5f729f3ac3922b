// The SQL engine of the stand-in: SQLite in memory.
//
// There are two databases. Committed holds exactly the effect of the log;
// reads outside write transactions run there, so they see no uncommitted
// change. Working is Committed plus the one write transaction that is open. A
// commit runs the transaction's statements a second time on Committed, as
// replicas do. A replica leaves Working alone; it is made equal at a promotion.
// That needs deterministic statements: a write that calls random(),
// a date function or the like is refused. A column default of CURRENT_TIMESTAMP
// is not recognised and must not be used.
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

/// An error as PostgreSQL's clients see it.
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

/// Takes the columns and rows of an answer.
class RowSink {
public:
  virtual ~RowSink() = default;
  virtual void columns(const std::vector<std::string> &Names) = 0;
  /// \param Values valid during the call.
  virtual void
  row(const std::vector<std::optional<std::string_view>> &Values) = 0;
};

/// Parameters $1, $2, ... in text form; nothing is NULL.
using Parameters = std::vector<std::optional<std::string>>;

/// What a statement did.
struct Effect {
  std::uint64_t Rows = 0; ///< Rows returned, or changed by a write.
  Duration Work{};        ///< Sum of the sim_work(ms) calls.
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
  /// Returns the text with the bound parameters as literals.
  std::string expanded() const;
  sqlite3_stmt *handle() const { return this->Handle.get(); }

private:
  struct Finalize {
    void operator()(sqlite3_stmt *Handle) const;
  };
  std::unique_ptr<sqlite3_stmt, Finalize> Handle;
  bool Deterministic;
};

/// Which of the two databases.
enum class Image { Committed, Working };

/// Both databases. Every function runs to its end on the calling thread; a
/// statement is interrupted after MaxRunTime.
class Database {
public:
  /// A longer statement would stop the whole stand-in, which has one thread.
  static constexpr Duration MaxRunTime = std::chrono::seconds(5);
  /// Longest answer, in bytes of its values.
  static constexpr std::size_t MaxAnswerBytes = 64U << 20U;

  Database();
  ~Database();
  Database(const Database &) = delete;
  Database &operator=(const Database &) = delete;

  /// Prepares one statement.
  SqlResult<PreparedSql> prepare(Image Where, std::string_view Text);

  /// Runs a prepared statement.
  /// \param Sink takes columns and rows.
  SqlResult<Effect> run(PreparedSql &Sql, const Parameters &Values,
                        RowSink &Sink);

  /// Opens the write transaction in Working. \pre None is open.
  void begin();
  /// Commits it in Working alone; apply() must follow for Committed. On an
  /// error (a deferred constraint) it is rolled back.
  SqlResult<std::monostate> commit();
  /// Rolls it back if one is open.
  void rollback();

  /// Runs the statements of a log entry in \p Where as one transaction. They
  /// succeeded before, so an error is a broken invariant and aborts.
  void apply(Image Where, const std::string &Sql);

  /// Tells that Committed now has the effect of the log up to \p Index; at
  /// every SnapshotInterval-th index a copy is kept for restore().
  void noteApplied(std::uint64_t Index);

  /// Sets Committed back to the last snapshot at or before \p Index and makes
  /// Working empty.
  /// \returns the snapshot's index; 0 if Committed is empty now.
  std::uint64_t restore(std::uint64_t Index);

  /// Runs \p Entries in Committed, as one transaction.
  void replay(const std::vector<const std::string *> &Entries);

  /// Entries between two snapshots. Replaying 100,000 entries stopped a server
  /// for 1.6 s; a tenth of a second is less than any time limit of the design.
  static constexpr std::uint64_t SnapshotInterval = 5000;
  /// Snapshots that are kept; each takes as much memory as the database.
  static constexpr std::size_t MaxSnapshots = 3;

  /// Makes Working equal to Committed, page by page. \pre No transaction is
  /// open in either.
  void copyToWorking();

private:
  struct Close {
    void operator()(sqlite3 *Handle) const;
  };
  using Handle = std::unique_ptr<sqlite3, Close>;

  /// What SQLite's callbacks write to; its address must not change.
  struct Callbacks {
    bool Deterministic = true;
    Duration Work{};
    TimePoint StopAt{};
  };

  /// A copy of Committed.
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

  std::unique_ptr<Callbacks> Seen;
  Handle Committed;
  Handle Working;
  std::deque<Snapshot> Snapshots; ///< In ascending order.
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_DATABASE_H
