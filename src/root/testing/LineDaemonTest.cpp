// Tests of the daemon process with the platform's line protocol, both towards
// callers and towards backend servers.
#include "core/Async.h"
#include "platform/LineStream.h"
#include "testing/HeldListener.h"
#include "testing/Processes.h"
#include "testing/TaskRunner.h"
#include "testing/fake-platform/PlatformServer.h"
#include "testing/line-group/LineServer.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QProcess>

#include <algorithm>
#include <cerrno>
#include <csignal>

using namespace amaranthspur;
using linegroup::LineGroup;
using linegroup::LineServer;

namespace {

/// Returns a configuration whose only route has the timeout \p TimeoutMs.
std::string planWith(int TimeoutMs, unsigned Revision = 3) {
  return R"({"version":)" + std::to_string(Revision) +
         R"(,"routes":[{"name":"r","host":"orders",)"
         R"("route-type":"read_your_writes","timeout-ms":)" +
         std::to_string(TimeoutMs) +
         R"(,"latency-goal-ms":800,"service":"ledger","max-staleness-ms":2500}],)"
         R"("services":[{"name":"ledger","max-conns":33,"sync-replicas":1}],)"
         R"("limits":{"tx-idle-ms":3000}})";
}

QCoro::Task<> pause(Duration Length) { co_await sleepFor(Length); }

/// A fake platform, a group of three servers and one daemon process.
struct Fixture {
  /// \param OrderPort port of the platform's promotions; 0 for the port of its
  /// store.
  /// \param Flags further flags of the daemon.
  explicit Fixture(int TimeoutMs = 1000, std::uint16_t OrderPort = 0,
                   const QStringList &Flags = {}) {
    const quint16 Port = this->Server.listen(QHostAddress::LocalHost);
    this->Store.setEraHeader("1");
    this->Store.setExternalRow("op", "config", planWith(TimeoutMs));
    this->addServer(this->A, "a", "primary");
    this->addServer(this->B, "b", "replica");
    this->addServer(this->C, "c", "replica");
    const auto LocalAddress = [](std::uint16_t P) {
      return "127.0.0.1:" + QString::number(P);
    };
    this->CallerPort = freePort("127.0.0.1");
    this->ReadyPort = freePort("127.0.0.1");
    const Result<std::string> Program = findProgram("amaranthspurd");
    REQUIRE(succeeded(Program));
    this->Daemon.setProcessChannelMode(QProcess::MergedChannels);
    this->Daemon.start(
        QString::fromStdString(valueOf(Program)),
        QStringList{"--front-end",
                    "lines",
                    "--vm-id",
                    "vm-1",
                    "--data-centre",
                    "here",
                    "--regions",
                    "here=r",
                    "--caller-address",
                    LocalAddress(this->CallerPort),
                    "--readiness-address",
                    LocalAddress(this->ReadyPort),
                    "--admin-address",
                    LocalAddress(freePort("127.0.0.1")),
                    "--platform-address",
                    LocalAddress(Port),
                    "--promotion-address",
                    LocalAddress(OrderPort == 0 ? Port : OrderPort),
                    "--drain-notice-ms",
                    "300",
                    "--drain-timeout-ms",
                    "3000"} +
            Flags);
    this->waitForOutput("event=readiness-changed ready=yes");
  }
  ~Fixture() {
    this->Daemon.kill();
    this->Daemon.waitForFinished();
  }

  void addServer(const LineServer &Listener, const std::string &Id,
                 const std::string &Role, const std::string &State = "ready") {
    this->Store.setExternalRow(
        "servers", Id,
        R"({"service":"ledger","address":"127.0.0.1:)" +
            std::to_string(Listener.port()) +
            R"(","zone":"here","version":"v1","slots":5,"state":")" + State +
            R"(","cold-ms":0,"sequence":1,"db-role":")" + Role + "\"}");
  }

  /// Runs the event loop until \p Condition holds; fails the test after 10 s.
  void waitUntil(const std::function<bool()> &Condition) {
    const bool Met = runTask(
        [](const std::function<bool()> &Condition) -> QCoro::Task<bool> {
          const TimePoint End = steadyNow() + std::chrono::seconds(10);
          while (!Condition() && steadyNow() < End)
            co_await sleepFor(milliseconds(10));
          co_return Condition();
        }(Condition));
    INFO(this->Log.toStdString());
    REQUIRE(Met);
  }
  /// Waits until the daemon's output contains \p Text.
  void waitForOutput(const char *Text) {
    this->waitUntil([this, Text] {
      this->Log += this->Daemon.readAll();
      return this->Log.contains(Text);
    });
  }

  QCoreApplication &App = testApplication();
  LineGroup Group;
  LineServer A{this->Group, "a"};
  LineServer B{this->Group, "b"};
  LineServer C{this->Group, "c"};
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadyPort = 0;
  QProcess Daemon;
  QByteArray Log;
};

/// A caller with its own connection.
class Caller {
public:
  explicit Caller(const Fixture &F)
      : Stream(runTask(openSocket({"127.0.0.1", F.CallerPort},
                                  steadyNow() + std::chrono::seconds(5)))) {}

  /// Sends \p Line.
  void write(const std::string &Line) { this->Stream.write(Line + "\r\n"); }
  /// Sends \p Line and returns the answer, as answer() does.
  std::string request(const std::string &Line) {
    this->write(Line);
    return this->answer();
  }

  /// Returns the lines of the next answer up to READY, each followed by "|". If
  /// the connection is closed before READY, "closed" is appended.
  std::string answer() {
    return runTask([](LineStream &Stream) -> QCoro::Task<std::string> {
      std::string Answer;
      while (true) {
        const std::optional<std::string> Next =
            co_await Stream.nextLine(steadyNow() + std::chrono::seconds(5));
        if (!Next)
          co_return Answer + "closed";
        Answer += *Next + "|";
        if (Next->starts_with("READY"))
          co_return Answer;
      }
    }(this->Stream));
  }

private:
  LineStream Stream;
};

} // namespace

// Guards against a configuration that is accepted after the store came back
// from a copy and never comes into force (review case 7).
TEST_CASE("a configuration comes into force after a return of the store") {
  struct Row {
    const char *Name;
    unsigned Returns;
    bool WrittenAgain; ///< The lost revision, before the next one.
    bool Away;         ///< The store refuses calls before it returns.
  };
  const Row Rows[] = {
      {"the lost revision is written again", 1, true, false},
      {"only the next revision is written", 1, false, false},
      {"the store is away", 1, true, true},
      {"two returns", 2, true, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    unsigned Revision = 3;
    for (unsigned Return = 1; Return <= R.Returns; ++Return) {
      F.Store.copy();
      ++Revision;
      // Several writes, so that the numbers after the return are lower.
      for (int I = 0; I < 20; ++I)
        F.addServer(F.C, "c", "replica");
      F.Store.setExternalRow("op", "config", planWith(1000, Revision));
      F.waitForOutput(
          ("plan-accepted revision=" + std::to_string(Revision)).c_str());
      if (R.Away) {
        fakeplatform::Faults Down;
        Down.Outage = true;
        F.Store.setFaults(Down, std::nullopt);
        runTask(pause(milliseconds(700)));
      }
      F.Store.returnFromCopy();
      F.Store.setFaults({}, std::nullopt);
      if (R.WrittenAgain)
        F.Store.setExternalRow("op", "config", planWith(1000, Revision));
      ++Revision;
      F.Store.setExternalRow("op", "config", planWith(1000, Revision));
      F.waitForOutput(
          ("plan-accepted revision=" + std::to_string(Revision)).c_str());
      F.waitForOutput("event=store-returned");
    }
  }
}

// Guards against faults that appear only when all components of the front end
// run together.
TEST_CASE("a caller is served over the platform's line protocol") {
  Fixture F;
  Caller First(F);
  CHECK(First.request("CONNECT orders u1") == "READY I -|");
  CHECK(First.request("QUERY q1 WRITE item data") ==
        "COMPLETE digest:WRITE item data|READY I 1.2|");
  CHECK(
      First.request("QUERY q2 READ item").starts_with("COMPLETE digest:READ"));
  CHECK(First.request("QUERY q3 BEGIN") == "COMPLETE -|READY T -|");
  CHECK(First.request("QUERY q4 WRITE item more").find("READY T") !=
        std::string::npos);
  CHECK(First.request("QUERY q5 COMMIT") ==
        "COMPLETE digest:COMMIT|READY I 1.3|");

  // Malformed input closes the connection on which it arrived and no other.
  Caller Second(F);
  CHECK(Second.request("GET / HTTP/1.1").find("closed") != std::string::npos);
  Caller Third(F);
  CHECK(Third.request("CONNECT nowhere u1").starts_with("ERROR NODB"));
  CHECK(
      First.request("QUERY q6 READ item").starts_with("COMPLETE digest:READ"));
  F.waitForOutput("id=q6");
  CHECK(F.Log.contains("event=statement-answered id=q1 database=orders"));
}

// Guards against a planned stop that aborts an open transaction, or that never
// ends.
TEST_CASE(
    "a stopping daemon fails readiness, finishes transactions and exits") {
  Fixture F;
  Caller Busy(F);
  Caller Idle(F);
  REQUIRE(Busy.request("CONNECT orders u1") == "READY I -|");
  REQUIRE(Idle.request("CONNECT orders u2") == "READY I -|");
  REQUIRE(Busy.request("QUERY q1 BEGIN") == "COMPLETE -|READY T -|");
  ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
  F.waitForOutput("event=drain-started");
  // During the drain notice the load balancer may not have detected the failed
  // readiness yet, so idle sessions are still served.
  CHECK(Idle.request("QUERY q2 READ item").starts_with("COMPLETE"));
  runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(500)); }());
  CHECK(Idle.request("QUERY q3 READ item") == "closed");
  CHECK(Busy.request("QUERY q4 WRITE item data").starts_with("COMPLETE"));
  CHECK(Busy.request("QUERY q5 COMMIT").starts_with("COMPLETE digest:COMMIT"));
  F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
  CHECK(F.Daemon.exitStatus() == QProcess::NormalExit);
  CHECK(F.Daemon.exitCode() == 0);
}

// Guards against a stop that ends a connection whose request it has read or
// passed on to a server, and against a promise that nothing is kept for a
// transaction whose COMMIT was sent.
TEST_CASE("a stopping daemon answers every statement that it has read") {
  struct Row {
    const char *Name;
    int SentMs; ///< Time from the start of the stop to the statement.
    int RunMs;  ///< Time that the server takes for a read, write or COMMIT.
    const char *Statement;
    const char *Answer; ///< Its beginning.
    const char *State;  ///< That the answer ends with.
    bool Executed;      ///< Whether the server runs this text.
  };
  // The stop lasts 3 s; open transactions have the first half of it.
  const Row Rows[] = {
      {"a statement runs when the transactions' time ends", 1200, 700,
       "WRITE item2 data", "COMPLETE", "READY T 1.1|", true},
      {"a COMMIT runs when the transactions' time ends", 1200, 700, "COMMIT",
       "COMPLETE", "READY I 1.2|", true},
      {"a statement shortly before the end", 2700, 700, "WRITE item2 data",
       "ERROR ABORTED", "READY E -|", false},
      {"a COMMIT shortly before the end", 2700, 700, "COMMIT", "ERROR ABORTED",
       "READY I -|", false},
      {"a ROLLBACK shortly before the end", 2700, 700, "ROLLBACK", "COMPLETE -",
       "READY I -|", true}, // By the proxy, at the end of their time.
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    Caller C(F);
    REQUIRE(C.request("CONNECT orders u1") == "READY I -|");
    REQUIRE(C.request("QUERY q1 BEGIN") == "COMPLETE -|READY T -|");
    REQUIRE(C.request("QUERY q2 WRITE item data").starts_with("COMPLETE"));
    for (auto &[Id, S] : F.Group.servers())
      S.RunDelay = milliseconds(R.RunMs);
    ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
    F.waitForOutput("event=drain-started");
    runTask([](Duration Wait) -> QCoro::Task<> {
      co_await sleepFor(Wait);
    }(milliseconds(R.SentMs)));
    const std::string Answer =
        C.request("QUERY q3 " + std::string(R.Statement));
    CHECK(Answer.starts_with(R.Answer));
    CHECK(Answer.ends_with(R.State));
    const std::vector<std::string> &Executed = F.Group["a"].ExecutedStatements;
    CHECK((std::find(Executed.begin(), Executed.end(), R.Statement) !=
           Executed.end()) == R.Executed);
    F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
    CHECK(F.Daemon.exitStatus() == QProcess::NormalExit);
    CHECK(F.Daemon.exitCode() == 0);
  }
}

// Guards against a stop that cuts a statement because the time limit of its
// route is later than the end of the stop.
TEST_CASE("a statement that would outlast a stop is answered before its end") {
  struct Row {
    const char *Name;
    std::vector<const char *> Before;
    const char *Statement;
    const char *Answer; ///< Its beginning.
    const char *State;  ///< That the answer ends with.
  };
  const Row Rows[] = {
      {"in a transaction",
       {"QUERY 1 BEGIN", "QUERY 2 WRITE item data"},
       "WRITE item2 data",
       "ERROR ABORTED",
       "READY E -|"},
      {"a COMMIT",
       {"QUERY 1 BEGIN", "QUERY 2 WRITE item data"},
       "COMMIT",
       "ERROR INDOUBT",
       "READY I -|"},
      {"a single write", {}, "WRITE item2 data", "ERROR INDOUBT", "READY I -|"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F(8000);
    Caller C(F);
    REQUIRE(C.request("CONNECT orders u1") == "READY I -|");
    for (const char *Line : R.Before)
      REQUIRE(C.request(Line).starts_with("COMPLETE"));
    for (auto &[Id, S] : F.Group.servers())
      S.RunDelay = std::chrono::seconds(6);
    ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
    F.waitForOutput("event=drain-started");
    const std::string Answer =
        C.request("QUERY q3 " + std::string(R.Statement));
    CHECK(Answer.starts_with(R.Answer));
    CHECK(Answer.ends_with(R.State));
    F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
    CHECK(F.Daemon.exitCode() == 0);
  }
}

// Guards against a stop that closes a session between two requests although the
// second one has arrived.
TEST_CASE("a stopping daemon answers requests that were sent together") {
  Fixture F;
  Caller C(F);
  REQUIRE(C.request("CONNECT orders u1") == "READY I -|");
  for (auto &[Id, S] : F.Group.servers())
    S.RunDelay = milliseconds(500);
  ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
  F.waitForOutput("event=drain-started");
  // The first read ends after the drain notice of 300 ms.
  CHECK(C.request("QUERY q1 READ item\r\nQUERY q2 READ other")
            .starts_with("COMPLETE digest:READ item|"));
  CHECK(C.answer().starts_with("COMPLETE digest:READ other|"));
  CHECK(C.answer() == "closed");
  F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
  CHECK(F.Daemon.exitCode() == 0);
}

// Guards against a reload signal that terminates the process.
TEST_CASE("a reload signal is logged and changes nothing") {
  Fixture F;
  ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGHUP);
  F.waitForOutput("event=reload");
  Caller C(F);
  CHECK(C.request("CONNECT orders u1") == "READY I -|");
}

// Guards against an order that its holder has given up and that is carried out
// when its path is back, after the order of another entry VM.
TEST_CASE("an order that was given up is reset") {
  struct Row {
    const char *Name;
    bool Killed; ///< The process is killed instead of waiting for an answer.
  };
  const Row Rows[] = {{"no answer in time", false},
                      {"the process is killed", true}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    HeldListener Orders;
    REQUIRE(Orders.address().Port != 0);
    Fixture F(1000, Orders.address().Port);
    F.addServer(F.A, "a", "primary", "draining");
    F.waitUntil([&Orders] {
      Orders.acceptNext();
      return Orders.holdsBytes();
    });
    if (R.Killed) {
      F.Daemon.kill();
      F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
    } else {
      F.waitForOutput("outcome=unknown");
    }
    Orders.read();
    CHECK(Orders.status() == ECONNRESET);
  }
}

// Guards against a daemon that runs operations above the quota of a workspace,
// refuses those below it, or shows a key.
TEST_CASE("the quota of a workspace is kept with and without a relay") {
  struct Row {
    const char *Name;
    bool UsesRelay;
  };
  const Row Rows[] = {{"without a relay", false}, {"as the relay", true}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QStringList More;
    if (R.UsesRelay)
      More << "--relay-address"
           << "127.0.0.1:" + QString::number(freePort("127.0.0.1"));
    Fixture F(1000, 0, More);
    std::string Plan = planWith(1000);
    Plan.replace(Plan.find('3'), 1, "4");
    Plan.insert(1, R"("tenants":[{"name":"acme","api-keys":["secret-key"],)"
                   R"("priority":0,"rate-per-s":4,"burst":2}],)");
    F.Store.setExternalRow("op", "config", Plan);
    F.waitForOutput("event=plan-accepted revision=4");
    Caller First(F);
    REQUIRE(First.request("CONNECT orders secret-key") == "READY I -|");
    unsigned Run = 0;
    unsigned Refused = 0;
    const TimePoint Start = steadyNow();
    while (steadyNow() - Start < std::chrono::seconds(3)) {
      const std::string Answer = First.request("QUERY q1 READ item");
      const bool IsRun = Answer.starts_with("COMPLETE");
      const bool IsRefused = Answer.starts_with("ERROR BUSY") &&
                             Answer.find("not run") != std::string::npos &&
                             Answer.find("limit") != std::string::npos;
      CAPTURE(Answer);
      CHECK(IsRun != IsRefused);
      Run += IsRun ? 1 : 0;
      Refused += IsRefused ? 1 : 0;
      runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(20)); }());
    }
    const std::chrono::duration<double> Passed = steadyNow() - Start;
    CHECK(Run >= 4);
    CHECK(Run <= 2 + 4 * Passed.count());
    CHECK(Refused > 0);
    F.waitForOutput("event=quota-reached workspace=acme");
    CHECK_FALSE(F.Log.contains("secret-key"));
  }
}

namespace {

/// Time between SIGTERM and SIGKILL on the users' machines.
constexpr Duration Grace = std::chrono::seconds(6);

/// Lets the daemon run for \p Part of the time, as a limit of its CPU time
/// does, until it has ended.
QCoro::Task<> limitCpu(const QProcess &Daemon, double Part, TaskGroup &Tasks) {
  constexpr Duration Period = milliseconds(100);
  const TaskGroup::Guard Guard(Tasks);
  const auto Running = std::chrono::duration_cast<Duration>(Period * Part);
  while (Daemon.state() == QProcess::Running) {
    const auto Process = static_cast<pid_t>(Daemon.processId());
    ::kill(Process, SIGSTOP);
    co_await sleepFor(Period - Running);
    ::kill(Process, SIGCONT);
    co_await sleepFor(Running);
  }
}

/// Sends statements, each after the answer to the one before it, until the
/// daemon closes the connection.
/// \param Batch number of statements that are sent together.
QCoro::Task<> sendUntilClosed(const Fixture &F, unsigned Batch,
                              TaskGroup &Tasks) {
  const TaskGroup::Guard Guard(Tasks);
  const Address Daemon{"127.0.0.1", F.CallerPort};
  const TimePoint ConnectBy = steadyNow() + std::chrono::seconds(5);
  QTcpSocket *Socket = co_await openSocket(Daemon, ConnectBy);
  if (Socket == nullptr)
    co_return;
  LineStream Stream(Socket);
  Stream.write("CONNECT orders u1\r\n");
  std::string Statements;
  for (unsigned I = 0; I < Batch; ++I)
    Statements += "QUERY q READ item\r\n";
  unsigned Unanswered = 1;
  while (Stream.isOpen()) {
    const std::optional<std::string> Line =
        co_await Stream.nextLine(steadyNow() + std::chrono::seconds(20));
    if (!Line)
      co_return;
    if (!Line->starts_with("READY") || --Unanswered > 0)
      continue;
    Stream.write(Statements);
    Unanswered = Batch;
  }
}

} // namespace

// Guards against a stop that takes longer than the time until the platform
// kills the process.
TEST_CASE("a daemon without enough CPU time ends within the grace time") {
  struct Row {
    const char *Name;
    double CpuPart;
    unsigned Sessions;
    unsigned Batch;
  };
  const Row Rows[] = {
      {"idle", 1, 10, 0},
      {"a third of a core", 0.3, 130, 1},
      {"a tenth of a core, and statements that wait", 0.1, 130, 50},
      {"hardly any time", 0.01, 300, 200},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F(5000, 0, {"--grace-seconds", "6", "--drain-notice-ms", "2200"});
    TaskGroup Tasks;
    for (unsigned I = 0; I < R.Sessions; ++I)
      sendUntilClosed(F, R.Batch, Tasks);
    runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(500)); }());
    if (R.CpuPart < 1)
      limitCpu(F.Daemon, R.CpuPart, Tasks);
    runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(500)); }());
    const TimePoint SentAt = steadyNow();
    ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
    F.waitUntil([&F] {
      F.Log += F.Daemon.readAll();
      return F.Daemon.state() == QProcess::NotRunning;
    });
    const Duration Taken = steadyNow() - SentAt;
    CAPTURE(Taken.count());
    CHECK(Taken < Grace);
    CHECK(F.Daemon.exitStatus() == QProcess::NormalExit);
    CHECK(F.Daemon.exitCode() == 0);
    runTask(Tasks.waitUntilEmpty(steadyNow() + std::chrono::seconds(30)));
  }
}

// Guards against a stop in which one component waits for something that does
// not come, without a limit.
TEST_CASE("a daemon ends within the grace time whatever it waits for") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &, Caller &)> Begin;
  };
  const auto SlowServers = [](Fixture &F) {
    for (auto &[Id, S] : F.Group.servers())
      S.RunDelay = S.SetDelay = std::chrono::seconds(4);
  };
  const Row Rows[] = {
      {"a server, for a statement that was sent before the stop",
       [&](Fixture &F, Caller &C) {
         SlowServers(F);
         C.write("QUERY q1 WRITE item data");
       }},
      {"a server, for the setting of a session",
       [&](Fixture &F, Caller &C) {
         REQUIRE(C.request("QUERY q1 SET zone x").starts_with("COMPLETE"));
         SlowServers(F);
         C.write("QUERY q2 READ item");
       }},
      {"a caller that leaves a transaction open",
       [&](Fixture &, Caller &C) {
         REQUIRE(C.request("QUERY q1 BEGIN").starts_with("COMPLETE"));
         REQUIRE(C.request("QUERY q2 WRITE item data").starts_with("COMPLETE"));
       }},
      {"the rollback of a transaction",
       [&](Fixture &F, Caller &C) {
         REQUIRE(C.request("QUERY q1 BEGIN").starts_with("COMPLETE"));
         REQUIRE(C.request("QUERY q2 WRITE item data").starts_with("COMPLETE"));
         SlowServers(F);
         C.write("QUERY q3 ROLLBACK");
       }},
      {"the store",
       [&](Fixture &F, Caller &) {
         fakeplatform::Faults Slow;
         Slow.Delay = std::chrono::seconds(20);
         F.Store.setFaults(Slow, std::nullopt);
         // A change of a row ends the polls that are under way.
         F.Store.setExternalRow("op", "config", planWith(20001));
       }},
      {"a primary that is unreachable",
       [&](Fixture &F, Caller &C) {
         F.Group["a"].Reachable = false;
         C.write("QUERY q1 WRITE item data");
       }},
      {"the answer to an order",
       [&](Fixture &F, Caller &) {
         F.addServer(F.A, "a", "primary", "draining");
         F.waitForOutput("event=promotion-started");
       }},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    HeldListener Orders;
    Fixture F(20000, Orders.address().Port, {"--grace-seconds", "3"});
    Caller C(F);
    REQUIRE(C.request("CONNECT orders u1") == "READY I -|");
    R.Begin(F, C);
    runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(200)); }());
    const TimePoint SentAt = steadyNow();
    ::kill(static_cast<pid_t>(F.Daemon.processId()), SIGTERM);
    F.waitUntil([&F] { return F.Daemon.state() == QProcess::NotRunning; });
    const Duration Taken = steadyNow() - SentAt;
    CAPTURE(Taken.count());
    CHECK(Taken < std::chrono::seconds(3));
    F.Log += F.Daemon.readAll();
    INFO(F.Log.toStdString());
    CHECK(F.Daemon.exitStatus() == QProcess::NormalExit);
    CHECK(F.Daemon.exitCode() == 0);
    // The children stop by themselves; nothing is forced.
    CHECK(F.Log.contains("event=drain-finished"));
    CHECK_FALSE(F.Log.contains("event=exit-forced"));
  }
}
