// A blocking PostgreSQL client for integration tests, on libpq.
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

/// Where and how to connect.
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
  /// Empty on success; "08006" if the connection was lost.
  std::string SqlState;
  std::string Message;
  std::string Tag; ///< Of CommandComplete.
  std::vector<std::string> Columns;
  std::vector<std::vector<std::optional<std::string>>> Rows;

  bool good() const { return this->SqlState.empty(); }
  /// Returns the value in the first row under \p Column; empty if there is
  /// none.
  std::string value(const std::string &Column) const;
  /// Returns the first value of the first row; empty if there is none.
  std::string value() const;
};

/// One connection. Every call blocks.
class PgClient {
public:
  /// Connects.
  /// \returns the client, or an error whose text has the server's message.
  static Result<PgClient> connect(const PgTarget &Target);

  /// Runs \p Sql in the simple protocol. If it has several statements, the
  /// answer is that of the last one, or of the first that failed.
  /// \param Limit longest wait; after it the answer's SQLSTATE is "08006" and
  /// the connection is of no use any more.
  PgAnswer query(const std::string &Sql,
                 Duration Limit = std::chrono::seconds(30));

  /// Runs \p Sql in the extended protocol, with text parameters.
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

  /// Sends a cancel request for what runs.
  bool cancel();

  /// Returns the last value of a ParameterStatus that libpq does not hide;
  /// empty if there was none.
  std::string parameter(const std::string &Name) const;

  /// Returns whether the connection is usable.
  bool open() const;
  /// Returns 'I', 'T' or 'E', as the last ReadyForQuery said; '?' if lost.
  char transaction() const;

private:
  struct Finish {
    void operator()(pg_conn *Handle) const;
  };

  explicit PgClient(pg_conn *Handle) : Handle(Handle) {}
  PgAnswer lost() const;

  std::unique_ptr<pg_conn, Finish> Handle;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_PGCLIENT_H
