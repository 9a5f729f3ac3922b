// Tests of the load client against a fake-backend process, without a daemon.
#include "bench/LoadClient.h"
#include "bench/Checker.h"
#include "bench/Deployment.h"
#include "bench/Remote.h"
#include "bench/Statistics.h"
#include "bench/TestEnvironment.h"

#include <QCoreApplication>

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::bench;

namespace {

constexpr const char *Service = "orders";

template <typename T>
QCoro::Task<> finish(QCoro::Task<T> &Work, std::optional<T> &Value) {
  Value = co_await Work;
  QCoreApplication::quit();
}

/// Runs \p Work to completion on the event loop.
template <typename T> T runTask(QCoro::Task<T> Work) {
  std::optional<T> Value;
  finish(Work, Value);
  if (!Value)
    QCoreApplication::exec();
  return std::move(*Value);
}

/// The history of one load and the rows of the database after it.
struct Outcome {
  History Run;
  std::vector<FinalRow> Rows;
  std::string Failure;
};

Address serverAddress() { return {"127.0.9.11", freePort("127.0.9.11")}; }

std::vector<std::string> setupStatements() {
  return {std::begin(SetupStatements), std::end(SetupStatements)};
}

std::vector<std::string> serverArguments(const Address &At) {
  return {"--id", "s1", "--listen", At.str(), "--role", "primary"};
}

QCoro::Task<Outcome> runLoad(LoadPlan Plan, Duration KillAfter) {
  Outcome Observed;
  const Address At = serverAddress();
  ChildProcess Server(programPath("fake-backend"), serverArguments(At),
                      std::string());
  const auto Started =
      co_await Server.start(steadyNow() + std::chrono::seconds(5));
  if (!succeeded(Started)) {
    Observed.Failure = errorOf(Started);
    co_return Observed;
  }
  const std::vector<std::string> Setup = setupStatements();
  const auto Created = co_await runStatements(
      At, Service, Setup, steadyNow() + std::chrono::seconds(2));
  if (!succeeded(Created)) {
    Observed.Failure = errorOf(Created);
    co_return Observed;
  }
  EntryPoint Entry;
  Entry.Name = "s1";
  Entry.At = At;
  for (CallerLoad &Load : Plan.Callers)
    Load.Entries.push_back(Entry);
  LoadClient Client(std::move(Plan));
  QCoro::Task<> ClientRun = Client.run();
  if (KillAfter > Duration::zero()) {
    co_await sleepFor(KillAfter);
    Server.kill();
  }
  co_await ClientRun;
  Observed.Run = Client.history();
  if (Server.running()) {
    const auto Rows = co_await readFinalRows(
        At, Service, steadyNow() + std::chrono::seconds(2));
    if (succeeded(Rows))
      Observed.Rows = valueOf(Rows);
  }
  co_return Observed;
}

LoadPlan makePlan(double RatePerSecond) {
  CallerLoad Load;
  Load.Caller = CallerName("bench");
  Load.Service = ServiceName(Service);
  Load.Sessions = 8;
  Load.RatePerSecond = RatePerSecond;
  Load.ThinkTime = milliseconds(5);
  Load.WorkLength = milliseconds(2);
  Load.Mix = mixOf(4, 4, 2, 1, 1);
  Load.Deadline = milliseconds(500);
  LoadPlan Plan;
  Plan.Callers = {Load};
  Plan.Length = milliseconds(1500);
  Plan.Seed = 5;
  return Plan;
}

} // namespace

// Guards against statements that the backend server rejects and answers that
// the checker cannot evaluate.
TEST_CASE("a load on a healthy server is answered and passes the checker") {
  int Count = 1;
  char Name[] = "bench-load-test";
  char *Arguments[] = {Name, nullptr};
  const QCoreApplication Application(Count, Arguments);
  struct Row {
    const char *Name;
    double RatePerSecond;
    std::size_t MinOperations;
    std::size_t MaxOperations;
  };
  // An open loop of 200/s for 1.5 s gives 300 operations on average.
  const Row Rows[] = {{"closed loop", 0, 200, 3000},
                      {"open loop", 200, 220, 380}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Outcome Observed = runTask(runLoad(makePlan(R.RatePerSecond), {}));
    REQUIRE(Observed.Failure == "");
    CHECK(Observed.Run.Operations.size() >= R.MinOperations);
    CHECK(Observed.Run.Operations.size() <= R.MaxOperations);
    for (const auto &[Kind, Text] : EnumNames<OperationKind>::Entries) {
      CAPTURE(Text);
      const auto OfKind = [K = Kind](const Operation &Op) {
        const OperationOutcome Expected = Op.Kind == OperationKind::Rollback
                                              ? OperationOutcome::RolledBack
                                              : OperationOutcome::Acknowledged;
        return Op.Kind == K && Op.Outcome == Expected;
      };
      const auto All = [K = Kind](const Operation &Op) { return Op.Kind == K; };
      CHECK(countOf(Observed.Run, All) > 0);
      CHECK(countOf(Observed.Run, OfKind) == countOf(Observed.Run, All));
    }
    CHECK_FALSE(Observed.Rows.empty());
    CHECK(check(Observed.Run, Observed.Rows).empty());
  }
}

// Guards against a client that hangs or treats a lost connection as an
// acknowledgement when the server dies under load.
TEST_CASE("a load ends when the server dies") {
  int Count = 1;
  char Name[] = "bench-load-test";
  char *Arguments[] = {Name, nullptr};
  const QCoreApplication Application(Count, Arguments);
  const Outcome Observed = runTask(runLoad(makePlan(0), milliseconds(900)));
  REQUIRE(Observed.Failure == "");
  REQUIRE_FALSE(Observed.Run.Operations.empty());
  const Operation &Last = Observed.Run.Operations.back();
  CHECK(Last.Outcome != OperationOutcome::Acknowledged);
  CHECK(countOf(Observed.Run, [](const Operation &Op) {
          return Op.Outcome == OperationOutcome::NotSent;
        }) > 0);
}
