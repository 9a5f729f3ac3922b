#include "root/backends/PgBackendServer.h"
#include "root/backends/testing/WatcherFakes.h"

#include <catch2/catch.hpp>

#include <QCoroTask>
#include <QTcpServer>

#include <functional>
#include <map>
#include <set>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

/// Limit that ends a test that hangs; every operation here takes far less.
constexpr Duration HangLimit = std::chrono::seconds(20);
/// Deadline of calls that are expected to get no answer.
constexpr Duration ShortTimeout = milliseconds(50);

std::string rowAnswer(const std::vector<std::optional<std::string>> &Values) {
  return pg::buildDataRow(Values) + pg::buildCommandComplete("SELECT 1") +
         pg::buildReadyForQuery(TransactionState::Idle);
}

std::string errorAnswer(std::string_view SqlState) {
  return pg::buildError("ERROR", SqlState, "refused") +
         pg::buildReadyForQuery(TransactionState::Idle);
}

std::string statusAnswer(const char *Index) {
  return rowAnswer({"replica", "3", "2", Index, "s0", "1.5", "4", "17"});
}

/// A server that answers each statement with the bytes that a function of the
/// test returns for it.
class StubServer {
public:
  using Answer = std::function<std::string(const std::string &Sql)>;

  explicit StubServer(Answer A) : Reply(std::move(A)) {
    application();
    QObject::connect(&this->Listener, &QTcpServer::newConnection,
                     &this->Listener, [this] { this->serve(); });
    this->Listener.listen(QHostAddress::LocalHost);
  }

  ~StubServer() {
    this->Listener.close();
    for (Connection *Client : this->Clients)
      Client->abort();
    while (!this->Clients.empty())
      QCoro::waitFor(
          []() -> QCoro::Task<> { co_await sleepFor(milliseconds(1)); }());
  }

  PgServerSettings settings() const {
    return {ServerId("s1"),
            {"127.0.0.1", this->Listener.serverPort()},
            EntryVmId("vm1"),
            {}};
  }

  unsigned Connections = 0;
  std::vector<std::string> Statements;
  std::map<std::string, std::string> Startup;
  std::string StartupAnswer = pg::buildAuthenticationOk() +
                              pg::buildReadyForQuery(TransactionState::Idle);

private:
  QCoro::Task<> serve() {
    ++this->Connections;
    Connection Client(this->Listener.nextPendingConnection(),
                      pg::MaxCallerFrameBytes, true);
    this->Clients.insert(&Client);
    while (Client.isOpen()) {
      const auto Next = Client.reader().next();
      if (!succeeded(Next))
        break;
      if (valueOf(Next))
        this->answer(*valueOf(Next), Client);
      else
        co_await Client.waitReadable();
    }
    this->Clients.erase(&Client);
  }

  void answer(const pg::Frame &Frame, Connection &Client) {
    if (Frame.Type == 0) {
      this->Startup = valueOf(pg::parseStartup(Frame.Body)).Parameters;
      Client.write(this->StartupAnswer);
    } else if (Frame.Type == 'Q') {
      this->Statements.emplace_back(valueOf(pg::parseQuery(Frame.Body)));
      Client.write(this->Reply(this->Statements.back()));
    }
  }

  std::set<Connection *> Clients;
  Answer Reply;
  QTcpServer Listener;
};

template <typename T> T runToCompletion(QCoro::Task<T> Task) {
  return QCoro::waitFor(std::move(Task));
}

TimePoint hangDeadline() { return steadyNow() + HangLimit; }

} // namespace

// Guards against columns of a status that are parsed in the wrong order, and
// against a control connection that the server counts as a work connection.
TEST_CASE("reads a status") {
  StubServer Server([](const std::string &) { return statusAnswer("42"); });
  PgBackendServer Control(Server.settings());
  const auto Answer = runToCompletion(Control.status(hangDeadline()));
  REQUIRE(succeeded(Answer));
  const ServerStatus &Status = valueOf(Answer);
  CHECK(Status.Role == ServerRole::Replica);
  CHECK(Status.AdoptedTerm == 3);
  CHECK(Status.LogEnd == LogPosition{2, 42});
  CHECK(Status.Primary == ServerId("s0"));
  CHECK(Status.QueueTime == Duration(1500));
  CHECK(Status.Running == 4);
  CHECK(Status.Connections == 17);
  CHECK(Server.Startup["amaranthspur.role"] == "control");
  CHECK(Server.Startup["user"] == "vm1");
  CHECK(succeeded(runToCompletion(Control.status(hangDeadline()))));
  CHECK(Server.Connections == 1);
}

// Guards against a control statement that the server cannot parse, and against
// a name with a quotation mark that changes the statement.
TEST_CASE("control statements") {
  struct Row {
    const char *Name;
    std::function<bool(PgBackendServer &)> Call;
    std::string Answer;
    std::string Sql;
    bool Succeeds;
  };
  const auto Adopt = [](PgBackendServer &S) {
    const auto End = runToCompletion(S.adoptTerm(7, hangDeadline()));
    return succeeded(End) && valueOf(End) == LogPosition{6, 9};
  };
  const auto Promote = [](PgBackendServer &S) {
    return succeeded(runToCompletion(S.promote(7, hangDeadline())));
  };
  const auto Follow = [](PgBackendServer &S) {
    return succeeded(runToCompletion(
        S.follow(7, ServerId("o'neil"), {"127.0.0.1", 5432}, hangDeadline())));
  };
  const auto Acquire = [](PgBackendServer &S) {
    const auto Lease = runToCompletion(S.acquireOwner(
        EntryVmId("vm1"), 12, milliseconds(900), hangDeadline()));
    return succeeded(Lease) && valueOf(Lease).Holder == EntryVmId("vm1") &&
           valueOf(Lease).Remaining == milliseconds(899);
  };
  const Row Rows[] = {
      {"adopt", Adopt, rowAnswer({"6", "9"}), "SELECT group_adopt_term(7)",
       true},
      {"adopt refused", Adopt, errorAnswer("55000"),
       "SELECT group_adopt_term(7)", false},
      {"adopt without a row", Adopt,
       pg::buildReadyForQuery(TransactionState::Idle),
       "SELECT group_adopt_term(7)", false},
      {"promote", Promote, rowAnswer({"t"}), "SELECT group_promote(7)", true},
      {"promote refused", Promote, errorAnswer("55000"),
       "SELECT group_promote(7)", false},
      {"follow", Follow, rowAnswer({"t"}),
       "SELECT group_follow(7, 'o''neil', '127.0.0.1:5432')", true},
      {"follow refused", Follow, errorAnswer("55000"),
       "SELECT group_follow(7, 'o''neil', '127.0.0.1:5432')", false},
      {"acquire", Acquire, rowAnswer({"vm1", "899"}),
       "SELECT group_acquire_owner('vm1', 12, 900)", true},
      {"acquire refused", Acquire, errorAnswer("55006"),
       "SELECT group_acquire_owner('vm1', 12, 900)", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    StubServer Server([&R](const std::string &) { return R.Answer; });
    PgBackendServer Control(Server.settings());
    CHECK(R.Call(Control) == R.Succeeds);
    CHECK(Server.Statements == std::vector<std::string>{R.Sql});
    // The connection stays open after an error that the server reports.
    R.Call(Control);
    CHECK(Server.Connections == 1);
  }
}

// Guards against a malformed answer that is accepted as a status.
TEST_CASE("malformed statuses are errors") {
  const std::string Answers[] = {
      rowAnswer({"leader", "3", "2", "1", "s0", "0", "0", "0"}),
      rowAnswer({"replica", "-3", "2", "1", "s0", "0", "0", "0"}),
      rowAnswer({"replica", "3", "2", "x", "s0", "0", "0", "0"}),
      rowAnswer({"replica", "3", "2", "1", "s0", "nan", "0", "0"}),
      rowAnswer({"replica", "3", "2", "1", "s0", "1e300", "0", "0"}),
      rowAnswer({"replica", "3", "2", std::nullopt, "s0", "0", "0", "0"}),
      rowAnswer({"replica", "3", "2", "1", "s0"}),
      rowAnswer({}),
      pg::buildReadyForQuery(TransactionState::Idle),
      errorAnswer("42883"),
      std::string("D\0\0\0\2", 5),
  };
  for (const std::string &Text : Answers) {
    StubServer Server([&Text](const std::string &) { return Text; });
    PgBackendServer Control(Server.settings());
    CHECK_FALSE(succeeded(runToCompletion(Control.status(hangDeadline()))));
  }
}

// Guards against a late answer that is mistaken for the answer to the next
// call.
TEST_CASE("a connection that missed an answer is not used again") {
  unsigned StatusCalls = 0;
  StubServer Server([&StatusCalls](const std::string &) -> std::string {
    // The first statement gets no answer. A third statement would get the late
    // answer to the first one before its own.
    if (++StatusCalls == 1)
      return {};
    return StatusCalls == 2 ? statusAnswer("2")
                            : statusAnswer("1") + statusAnswer("2");
  });
  PgBackendServer Control(Server.settings());
  CHECK_FALSE(
      succeeded(runToCompletion(Control.status(steadyNow() + ShortTimeout))));
  const auto Second = runToCompletion(Control.status(hangDeadline()));
  REQUIRE(succeeded(Second));
  CHECK(valueOf(Second).LogEnd.Index == 2);
  CHECK(Server.Connections == 2);
}

// Guards against a probe that uses the connection whose state it has to check.
TEST_CASE("a probe uses a new connection") {
  StubServer Server([](const std::string &) { return statusAnswer("1"); });
  PgBackendServer Control(Server.settings());
  REQUIRE(succeeded(runToCompletion(Control.status(hangDeadline()))));
  REQUIRE(succeeded(runToCompletion(Control.probeFresh(hangDeadline()))));
  CHECK(Server.Connections == 2);
  REQUIRE(succeeded(runToCompletion(Control.status(hangDeadline()))));
  CHECK(Server.Connections == 2);
}

// Guards against a call that hangs or succeeds although the start-up failed.
TEST_CASE("failures while connecting") {
  struct Row {
    const char *Name;
    std::string StartupAnswer;
    Duration Limit;
    std::string Expected;
  };
  const Row Rows[] = {
      {"connection limit", pg::buildError("FATAL", "53300", "too many"),
       ShortTimeout, "53300"},
      {"no answer to the start-up", "", ShortTimeout, "no answer"},
      {"not the PostgreSQL protocol", std::string(64, '\xff'), HangLimit,
       "frame length"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    StubServer Server([](const std::string &) { return std::string(); });
    Server.StartupAnswer = R.StartupAnswer;
    PgBackendServer Control(Server.settings());
    const auto Answer = runToCompletion(Control.status(steadyNow() + R.Limit));
    REQUIRE_FALSE(succeeded(Answer));
    CHECK(errorOf(Answer).find(R.Expected) != std::string::npos);
  }
  PgServerSettings Unreachable;
  Unreachable.Endpoint = {"127.0.0.1", 1};
  PgBackendServer Control(Unreachable);
  CHECK_FALSE(succeeded(runToCompletion(Control.status(hangDeadline()))));
}

// Guards against a reset() after which a call in progress still waits for its
// deadline.
TEST_CASE("reset ends a running call") {
  StubServer Server([](const std::string &) { return std::string(); });
  PgBackendServer Control(Server.settings());
  const auto Run = [&]() -> QCoro::Task<bool> {
    auto Call = Control.status(steadyNow() + HangLimit);
    while (Server.Statements.empty())
      co_await sleepFor(milliseconds(1));
    Control.reset();
    const auto Answer = co_await Call;
    co_return succeeded(Answer);
  };
  CHECK_FALSE(runToCompletion(Run()));
}
