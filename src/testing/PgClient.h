// A blocking PostgreSQL client for integration tests, based on libpq.
#ifndef AMARANTHSPUR_TESTING_PGCLIENT_H
#define AMARANTHSPUR_TESTING_PGCLIENT_H

#include "core/Clock.h"
#include "core/Result.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_conn;
struct pg_result;

namespace amaranthspur {

/// The parameters of a connection.
struct PgTarget {
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  std::string User = "test";
  std::string Database = "test";
  /// Start-up parameters, for example `amaranthspur.class`.
  std::map<std::string, std::string> Parameters;
  Duration ConnectTimeout = std::chrono::seconds(10);
};

/// The answer to one statement.
struct PgAnswer {
  /// Empty on success; "08006" (connection_failure) if the connection failed or
  /// the time limit passed.
  std::string SqlState;
  std::string Message;
  std::string Tag; ///< The command tag of CommandComplete.
  std::vector<std::string> Columns;
  std::vector<std::vector<std::optional<std::string>>> Rows;

  bool good() const { return this->SqlState.empty(); }
  /// Returns the value of \p Column in the first row, or an empty string if
  /// there is none or it is NULL.
  std::string value(const std::string &Column) const;
  /// Returns the first value of the first row, or an empty string if there is
  /// none or it is NULL.
  std::string value() const;
};

/// A connection to a server. send() does not wait for the answer; the other
/// calls block.
class PgClient {
public:
  /// Connects.
  /// \returns the client, or an error that contains the message of the server.
  static Result<PgClient> connect(const PgTarget &Target);

  /// Runs \p Sql in the simple protocol.
  /// \param Limit time limit. If it passes, the SQLSTATE of the answer is
  /// "08006" and the connection is no longer usable. \returns the answer to the
  /// first statement that failed, or else to the last statement.
  PgAnswer query(const std::string &Sql,
                 Duration Limit = std::chrono::seconds(30));

  /// Runs \p Sql in the extended protocol with parameters in text format.
  PgAnswer query(const std::string &Sql,
                 const std::vector<std::optional<std::string>> &Values,
                 Duration Limit = std::chrono::seconds(30));

  /// Prepares a named statement.
  PgAnswer prepare(const std::string &Name, const std::string &Sql,
                   Duration Limit = std::chrono::seconds(30));
  /// Runs a prepared statement.
  PgAnswer execute(const std::string &Name,
                   const std::vector<std::optional<std::string>> &Values,
                   Duration Limit = std::chrono::seconds(30));

  /// Sends \p Sql without waiting for the answer.
  bool send(const std::string &Sql);
  /// Waits for the answer to send().
  PgAnswer receive(Duration Limit = std::chrono::seconds(30));

  /// Sends a cancel request for the running statement.
  bool cancel();

  /// Returns the last ParameterStatus value of \p Name that libpq exposes, or
  /// an empty string if there is none.
  std::string parameter(const std::string &Name) const;

  /// Returns whether the connection is usable.
  bool open() const;
  /// Returns the transaction status: 'I' (idle), 'T' (in a transaction), 'E'
  /// (in a failed transaction), or '?' if a statement is running or the
  /// connection is lost.
  char transaction() const;

private:
  struct Finish {
    void operator()(pg_conn *Handle) const;
  };

  explicit PgClient(pg_conn *Handle) : Handle(Handle) {}
  PgAnswer connectionFailure() const;

  std::unique_ptr<pg_conn, Finish> Handle;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_PGCLIENT_H
