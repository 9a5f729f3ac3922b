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

constexpr Duration Patience = std::chrono::seconds(20);
/// For calls that are meant to miss their answer.
constexpr Duration Short = milliseconds(50);

std::string row(const std::vector<std::optional<std::string>> &Values) {
  return pg::buildDataRow(Values) + pg::buildCommandComplete("SELECT 1") +
         pg::buildReadyForQuery(TransactionState::Idle);
}

std::string refused(std::string_view SqlState) {
  return pg::buildError("ERROR", SqlState, "refused") +
         pg::buildReadyForQuery(TransactionState::Idle);
}

std::string statusRow(const char *Index) {
  return row({"replica", "3", "2", Index, "s0", "1.5", "4", "17"});
}

/// A server that answers every statement with what a test returns for it.
class Stand {
public:
  using Answer = std::function<std::string(const std::string &Sql)>;

  explicit Stand(Answer A) : Reply(std::move(A)) {
    application();
    QObject::connect(&this->Listener, &QTcpServer::newConnection,
                     &this->Listener, [this] { this->serve(); });
    this->Listener.listen(QHostAddress::LocalHost);
  }

  ~Stand() {
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
  std::string Greeting = pg::buildAuthenticationOk() +
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
        co_await Client.readable();
    }
    this->Clients.erase(&Client);
  }

  void answer(const pg::Frame &Frame, Connection &Client) {
    if (Frame.Type == 0) {
      this->Startup = valueOf(pg::parseStartup(Frame.Body)).Parameters;
      Client.write(this->Greeting);
    } else if (Frame.Type == 'Q') {
      this->Statements.emplace_back(valueOf(pg::parseQuery(Frame.Body)));
      Client.write(this->Reply(this->Statements.back()));
    }
  }

  std::set<Connection *> Clients;
  Answer Reply;
  QTcpServer Listener;
};

template <typename T> T wait(QCoro::Task<T> Task) {
  return QCoro::waitFor(std::move(Task));
}

TimePoint soon() { return steadyNow() + Patience; }

} // namespace

// Guards against a status whose columns are mixed up, and against a control
// connection that would count as a work connection.
TEST_CASE("reads a status") {
  Stand Server([](const std::string &) { return statusRow("42"); });
  PgBackendServer Control(Server.settings());
  const auto Answer = wait(Control.status(soon()));
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
  CHECK(succeeded(wait(Control.status(soon()))));
  CHECK(Server.Connections == 1);
}

// Guards against a statement that the server does not understand, or that a
// name with a quote changes.
TEST_CASE("control statements") {
  struct Row {
    const char *Name;
    std::function<bool(PgBackendServer &)> Call;
    std::string Answer;
    std::string Sql;
    bool Succeeds;
  };
  const auto Adopt = [](PgBackendServer &S) {
    const auto End = wait(S.adoptTerm(7, soon()));
    return succeeded(End) && valueOf(End) == LogPosition{6, 9};
  };
  const auto Promote = [](PgBackendServer &S) {
    return succeeded(wait(S.promote(7, soon())));
  };
  const auto Follow = [](PgBackendServer &S) {
    return succeeded(
        wait(S.follow(7, ServerId("o'neil"), {"127.0.0.1", 5432}, soon())));
  };
  const auto Acquire = [](PgBackendServer &S) {
    const auto Lease =
        wait(S.acquireOwner(EntryVmId("vm1"), 12, milliseconds(900), soon()));
    return succeeded(Lease) && valueOf(Lease).Holder == EntryVmId("vm1") &&
           valueOf(Lease).Remaining == milliseconds(899);
  };
  const Row Rows[] = {
      {"adopt", Adopt, row({"6", "9"}), "SELECT group_adopt_term(7)", true},
      {"adopt refused", Adopt, refused("55000"), "SELECT group_adopt_term(7)",
       false},
      {"adopt without a row", Adopt,
       pg::buildReadyForQuery(TransactionState::Idle),
       "SELECT group_adopt_term(7)", false},
      {"promote", Promote, row({"t"}), "SELECT group_promote(7)", true},
      {"promote refused", Promote, refused("55000"), "SELECT group_promote(7)",
       false},
      {"follow", Follow, row({"t"}),
       "SELECT group_follow(7, 'o''neil', '127.0.0.1:5432')", true},
      {"follow refused", Follow, refused("55000"),
       "SELECT group_follow(7, 'o''neil', '127.0.0.1:5432')", false},
      {"acquire", Acquire, row({"vm1", "899"}),
       "SELECT group_acquire_owner('vm1', 12, 900)", true},
      {"acquire refused", Acquire, refused("55006"),
       "SELECT group_acquire_owner('vm1', 12, 900)", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Stand Server([&R](const std::string &) { return R.Answer; });
    PgBackendServer Control(Server.settings());
    CHECK(R.Call(Control) == R.Succeeds);
    CHECK(Server.Statements == std::vector<std::string>{R.Sql});
    // A refusal leaves the connection in use.
    R.Call(Control);
    CHECK(Server.Connections == 1);
  }
}

// Guards against a malformed answer that is taken for a status.
TEST_CASE("malformed statuses are errors") {
  const std::string Answers[] = {
      row({"leader", "3", "2", "1", "s0", "0", "0", "0"}),
      row({"replica", "-3", "2", "1", "s0", "0", "0", "0"}),
      row({"replica", "3", "2", "x", "s0", "0", "0", "0"}),
      row({"replica", "3", "2", "1", "s0", "nan", "0", "0"}),
      row({"replica", "3", "2", "1", "s0", "1e300", "0", "0"}),
      row({"replica", "3", "2", std::nullopt, "s0", "0", "0", "0"}),
      row({"replica", "3", "2", "1", "s0"}),
      row({}),
      pg::buildReadyForQuery(TransactionState::Idle),
      refused("42883"),
      std::string("D\0\0\0\2", 5),
  };
  for (const std::string &Text : Answers) {
    Stand Server([&Text](const std::string &) { return Text; });
    PgBackendServer Control(Server.settings());
    CHECK_FALSE(succeeded(wait(Control.status(soon()))));
  }
}

// Guards against a late answer that is taken for the answer to the next call.
TEST_CASE("a connection that missed an answer is not used again") {
  unsigned Asked = 0;
  Stand Server([&Asked](const std::string &) -> std::string {
    // The first answer comes together with what is asked next, if that is
    // asked on the same connection.
    if (++Asked == 1)
      return {};
    return Asked == 2 ? statusRow("2") : statusRow("1") + statusRow("2");
  });
  PgBackendServer Control(Server.settings());
  CHECK_FALSE(succeeded(wait(Control.status(steadyNow() + Short))));
  const auto Second = wait(Control.status(soon()));
  REQUIRE(succeeded(Second));
  CHECK(valueOf(Second).LogEnd.Index == 2);
  CHECK(Server.Connections == 2);
}

// Guards against a probe that asks over the connection it is meant to judge.
TEST_CASE("a probe uses a fresh connection") {
  Stand Server([](const std::string &) { return statusRow("1"); });
  PgBackendServer Control(Server.settings());
  REQUIRE(succeeded(wait(Control.status(soon()))));
  REQUIRE(succeeded(wait(Control.probeFresh(soon()))));
  CHECK(Server.Connections == 2);
  REQUIRE(succeeded(wait(Control.status(soon()))));
  CHECK(Server.Connections == 2);
}

// Guards against a call that hangs or succeeds although no session was opened.
TEST_CASE("failures while connecting") {
  struct Row {
    const char *Name;
    std::string Greeting;
    Duration Limit;
    std::string Expected;
  };
  const Row Rows[] = {
      {"connection limit", pg::buildError("FATAL", "53300", "too many"), Short,
       "53300"},
      {"no greeting", "", Short, "no answer"},
      {"not the protocol", std::string(64, '\xff'), Patience, "frame length"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Stand Server([](const std::string &) { return std::string(); });
    Server.Greeting = R.Greeting;
    PgBackendServer Control(Server.settings());
    const auto Answer = wait(Control.status(steadyNow() + R.Limit));
    REQUIRE_FALSE(succeeded(Answer));
    CHECK(errorOf(Answer).find(R.Expected) != std::string::npos);
  }
  PgServerSettings Nowhere;
  Nowhere.At = {"127.0.0.1", 1};
  PgBackendServer Control(Nowhere);
  CHECK_FALSE(succeeded(wait(Control.status(soon()))));
}

// Guards against reset() that leaves a running call waiting for its deadline.
TEST_CASE("reset ends a running call") {
  Stand Server([](const std::string &) { return std::string(); });
  PgBackendServer Control(Server.settings());
  const auto Run = [&]() -> QCoro::Task<bool> {
    auto Call = Control.status(steadyNow() + Patience);
    while (Server.Statements.empty())
      co_await sleepFor(milliseconds(1));
    Control.reset();
    const auto Answer = co_await Call;
    co_return succeeded(Answer);
  };
  CHECK_FALSE(wait(Run()));
}
