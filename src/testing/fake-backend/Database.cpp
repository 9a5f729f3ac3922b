#include "testing/fake-backend/Database.h"

#include "core/Async.h"

#include <sqlite3.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>

namespace amaranthspur::fake {
namespace {

/// SQLite virtual machine instructions between two checks of the time limit.
constexpr int ProgressSteps = 100000;

/// Functions whose result can differ between calls or between servers.
constexpr auto NonDeterministic = std::to_array<std::string_view>(
    {"random", "randomblob", "changes", "total_changes", "last_insert_rowid",
     "date", "time", "datetime", "julianday", "strftime", "unixepoch",
     "current_date", "current_time", "current_timestamp"});

/// Maps an SQLite extended result code to an SQLSTATE.
struct CodeMapping {
  int Code;
  const char *SqlState;
};

constexpr auto SqlStatesByCode = std::to_array<CodeMapping>({
    {SQLITE_CONSTRAINT_UNIQUE, "23505"},
    {SQLITE_CONSTRAINT_PRIMARYKEY, "23505"},
    {SQLITE_CONSTRAINT_ROWID, "23505"},
    {SQLITE_CONSTRAINT_NOTNULL, "23502"},
    {SQLITE_CONSTRAINT_FOREIGNKEY, "23503"},
    {SQLITE_CONSTRAINT_CHECK, "23514"},
    {SQLITE_CONSTRAINT_TRIGGER, "P0001"},
    {SQLITE_INTERRUPT, "57014"},
    {SQLITE_TOOBIG, "54000"},
    {SQLITE_MISMATCH, "22P02"},
    {SQLITE_AUTH, "0A000"},
    {SQLITE_FULL, "53100"},
    {SQLITE_NOMEM, "53200"},
});

/// Maps a substring of an SQLITE_ERROR message to an SQLSTATE.
struct MessageMapping {
  std::string_view Part;
  const char *SqlState;
};

constexpr auto SqlStatesByMessage = std::to_array<MessageMapping>({
    {"no such table", "42P01"},
    {"no such column", "42703"},
    {"no such function", "42883"},
    {"already exists", "42P07"},
    {"integer overflow", "22003"},
});

SqlError lastError(sqlite3 *Target) {
  const int Code = sqlite3_extended_errcode(Target);
  std::string Message = sqlite3_errmsg(Target);
  for (const CodeMapping &Entry : SqlStatesByCode)
    if (Entry.Code == Code)
      return {Entry.SqlState, std::move(Message)};
  if ((Code & 0xff) == SQLITE_CONSTRAINT)
    return {"23000", std::move(Message)};
  if ((Code & 0xff) != SQLITE_ERROR)
    return {"XX000", std::move(Message)};
  for (const MessageMapping &Entry : SqlStatesByMessage)
    if (Message.find(Entry.Part) != std::string::npos)
      return {Entry.SqlState, std::move(Message)};
  return {"42601", std::move(Message)};
}

/// Returns n of the parameter name `$n`, or 0.
std::size_t parameterNumber(const char *Name) {
  std::size_t Number = 0;
  if (Name == nullptr || Name[0] != '$')
    return 0;
  const std::string_view Digits = Name + 1;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  return Number;
}

SqlResult<std::monostate> bind(sqlite3_stmt *Sql, const Parameters &Values) {
  const int Count = sqlite3_bind_parameter_count(Sql);
  for (int I = 1; I <= Count; ++I) {
    const std::size_t N = parameterNumber(sqlite3_bind_parameter_name(Sql, I));
    if (N == 0 || N > Values.size())
      return SqlError{"08P01", "parameter " + std::to_string(I) +
                                   " of the statement has no value"};
    const std::optional<std::string> &Value = Values[N - 1];
    if (Value)
      sqlite3_bind_text64(Sql, I, Value->data(), Value->size(),
                          SQLITE_TRANSIENT, SQLITE_UTF8);
    else
      sqlite3_bind_null(Sql, I);
  }
  return std::monostate();
}

/// Formats a blob in PostgreSQL's hex format for bytea.
std::string toHex(const void *Bytes, std::size_t Size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text = "\\x";
  for (std::size_t I = 0; I < Size; ++I) {
    const unsigned char Byte = static_cast<const unsigned char *>(Bytes)[I];
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xfU];
  }
  return Text;
}

/// Reads the current row into \p Values. \p Blobs owns the text of blobs, which
/// \p Values refers to.
/// \returns the total size of the values.
std::size_t readRow(sqlite3_stmt *Sql,
                    std::vector<std::optional<std::string_view>> &Values,
                    std::vector<std::string> &Blobs) {
  std::size_t Bytes = 0;
  for (std::size_t I = 0; I < Values.size(); ++I) {
    const int Column = static_cast<int>(I);
    Values[I] = std::nullopt;
    const int Type = sqlite3_column_type(Sql, Column);
    if (Type == SQLITE_NULL)
      continue;
    if (Type == SQLITE_BLOB) {
      const void *Blob = sqlite3_column_blob(Sql, Column);
      const int Size = sqlite3_column_bytes(Sql, Column);
      Blobs[I] = toHex(Blob, static_cast<std::size_t>(Size));
      Values[I] = Blobs[I];
    } else {
      const auto *Text =
          reinterpret_cast<const char *>(sqlite3_column_text(Sql, Column));
      const int Size = sqlite3_column_bytes(Sql, Column);
      Values[I] = std::string_view(Text, static_cast<std::size_t>(Size));
    }
    Bytes += Values[I]->size();
  }
  return Bytes;
}

/// Copies all pages of a database. \pre Neither has an open transaction.
void copyDatabase(sqlite3 *From, sqlite3 *To) {
  sqlite3_backup *Copy = sqlite3_backup_init(To, "main", From, "main");
  if (Copy == nullptr || sqlite3_backup_step(Copy, -1) != SQLITE_DONE)
    std::abort();
  sqlite3_backup_finish(Copy);
}

/// Resets a statement on scope exit so that it holds no locks.
struct ResetAtEnd {
  sqlite3_stmt *Sql;
  ~ResetAtEnd() { sqlite3_reset(this->Sql); }
};

} // namespace

void PreparedSql::Finalize::operator()(sqlite3_stmt *Handle) const {
  sqlite3_finalize(Handle);
}

PreparedSql::PreparedSql(sqlite3_stmt *Handle, bool Deterministic)
    : Handle(Handle), Deterministic(Deterministic) {}

bool PreparedSql::isWrite() const {
  return sqlite3_stmt_readonly(this->Handle.get()) == 0;
}

std::vector<std::string> PreparedSql::columns() const {
  std::vector<std::string> Names;
  const int Count = sqlite3_column_count(this->Handle.get());
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.emplace_back(sqlite3_column_name(this->Handle.get(), I));
  return Names;
}

std::size_t PreparedSql::parameterCount() const {
  std::size_t Highest = 0;
  const int Count = sqlite3_bind_parameter_count(this->Handle.get());
  for (int I = 1; I <= Count; ++I)
    Highest = std::max(Highest, parameterNumber(sqlite3_bind_parameter_name(
                                    this->Handle.get(), I)));
  return Highest;
}

std::string PreparedSql::expanded() const {
  char *Text = sqlite3_expanded_sql(this->Handle.get());
  std::string Copy = Text == nullptr ? "" : Text;
  sqlite3_free(Text);
  return Copy;
}

void Database::Close::operator()(sqlite3 *Handle) const {
  sqlite3_close_v2(Handle);
}

Database::Database() : State(std::make_unique<CallbackState>()) {
  this->clear();
}

Database::~Database() = default;

void Database::clear() {
  this->Committed = this->open();
  this->Working = this->open();
}

Database::Handle Database::open() {
  sqlite3 *Raw = nullptr;
  if (sqlite3_open(":memory:", &Raw) != SQLITE_OK)
    std::abort();
  Handle Opened(Raw);
  sqlite3_extended_result_codes(Raw, 1);
  this->execute(Raw, "PRAGMA foreign_keys = ON");
  sqlite3_create_function(
      Raw, "sim_work", 1, SQLITE_UTF8, this->State.get(),
      [](sqlite3_context *Context, int, sqlite3_value **Values) {
        auto *State = static_cast<CallbackState *>(sqlite3_user_data(Context));
        State->SimulatedWork += milliseconds(sqlite3_value_int64(Values[0]));
        sqlite3_result_int64(Context, sqlite3_value_int64(Values[0]));
      },
      nullptr, nullptr);
  sqlite3_progress_handler(
      Raw, ProgressSteps,
      [](void *State) {
        return static_cast<int>(
            steadyNow() > static_cast<CallbackState *>(State)->InterruptAt);
      },
      this->State.get());
  sqlite3_set_authorizer(
      Raw,
      [](void *State, int Action, const char *, const char *Name, const char *,
         const char *) {
        if (Action == SQLITE_ATTACH || Action == SQLITE_DETACH ||
            Action == SQLITE_PRAGMA || Action == SQLITE_SAVEPOINT)
          return SQLITE_DENY;
        if (Action == SQLITE_FUNCTION &&
            std::any_of(NonDeterministic.begin(), NonDeterministic.end(),
                        [Name](std::string_view Function) {
                          return sqlite3_stricmp(Name, Function.data()) == 0;
                        }))
          static_cast<CallbackState *>(State)->Deterministic = false;
        return SQLITE_OK;
      },
      this->State.get());
  return Opened;
}

SqlResult<PreparedSql> Database::prepare(Image Where, std::string_view Text) {
  this->State->Deterministic = true;
  this->State->InterruptAt = steadyNow() + MaxRunTime;
  sqlite3_stmt *Sql = nullptr;
  const int Code =
      sqlite3_prepare_v2(this->image(Where), Text.data(),
                         static_cast<int>(Text.size()), &Sql, nullptr);
  if (Code != SQLITE_OK)
    return lastError(this->image(Where));
  return PreparedSql(Sql, this->State->Deterministic);
}

SqlResult<ExecutionResult>
Database::run(PreparedSql &Sql, const Parameters &Values, RowSink &Sink) {
  sqlite3_stmt *Handle = Sql.handle();
  sqlite3 *Target = sqlite3_db_handle(Handle);
  const ResetAtEnd AtEnd{Handle};
  if (const auto Bound = bind(Handle, Values); errorIn(Bound) != nullptr)
    return *errorIn(Bound);
  this->State->SimulatedWork = Duration::zero();
  this->State->InterruptAt = steadyNow() + MaxRunTime;
  const auto Columns = static_cast<std::size_t>(sqlite3_column_count(Handle));
  if (Columns > 0)
    Sink.columns(Sql.columns());
  std::vector<std::optional<std::string_view>> Row(Columns);
  std::vector<std::string> Blobs(Columns);
  ExecutionResult Done;
  std::size_t Bytes = 0;
  int Code = sqlite3_step(Handle);
  for (; Code == SQLITE_ROW; Code = sqlite3_step(Handle)) {
    Bytes += readRow(Handle, Row, Blobs);
    if (Bytes > MaxAnswerBytes)
      return SqlError{"54000", "answer is larger than 64 MB"};
    Sink.row(Row);
    ++Done.Rows;
  }
  if (Code != SQLITE_DONE)
    return lastError(Target);
  if (Sql.isWrite())
    Done.Rows = static_cast<std::uint64_t>(sqlite3_changes64(Target));
  Done.SimulatedWork = this->State->SimulatedWork;
  return Done;
}

void Database::begin() { this->execute(this->Working.get(), "BEGIN"); }

SqlResult<std::monostate> Database::commit() {
  if (sqlite3_exec(this->Working.get(), "COMMIT", nullptr, nullptr, nullptr) ==
      SQLITE_OK)
    return std::monostate();
  SqlError Failure = lastError(this->Working.get());
  this->rollback();
  return Failure;
}

void Database::rollback() {
  if (sqlite3_get_autocommit(this->Working.get()) == 0)
    this->execute(this->Working.get(), "ROLLBACK");
}

void Database::apply(Image Where, const std::string &Sql) {
  if (Sql.empty())
    return;
  this->State->InterruptAt = TimePoint::max();
  sqlite3 *Target = this->image(Where);
  this->execute(Target, "BEGIN");
  this->execute(Target, Sql.c_str());
  this->execute(Target, "COMMIT");
}

void Database::replay(const std::vector<const std::string *> &Entries) {
  this->State->InterruptAt = TimePoint::max();
  sqlite3 *Target = this->Committed.get();
  this->execute(Target, "BEGIN");
  for (const std::string *Sql : Entries)
    this->execute(Target, Sql->c_str());
  this->execute(Target, "COMMIT");
}

void Database::recordApplied(std::uint64_t Index) {
  if (Index % SnapshotInterval != 0)
    return;
  this->Snapshots.push_back({Index, this->open()});
  copyDatabase(this->Committed.get(), this->Snapshots.back().Copy.get());
  if (this->Snapshots.size() > MaxSnapshots)
    this->Snapshots.pop_front();
}

std::uint64_t Database::restore(std::uint64_t Index) {
  while (!this->Snapshots.empty() && this->Snapshots.back().Index > Index)
    this->Snapshots.pop_back();
  this->clear();
  if (this->Snapshots.empty())
    return 0;
  copyDatabase(this->Snapshots.back().Copy.get(), this->Committed.get());
  return this->Snapshots.back().Index;
}

void Database::copyToWorking() {
  copyDatabase(this->Committed.get(), this->Working.get());
}

void Database::execute(sqlite3 *Target, const char *Sql) {
  if (sqlite3_exec(Target, Sql, nullptr, nullptr, nullptr) == SQLITE_OK)
    return;
  std::fprintf(stderr, "fake-backend: internal SQL statement failed: %s: %s\n",
               sqlite3_errmsg(Target), Sql);
  std::abort();
}

} // namespace amaranthspur::fake
