// Tests a ServerOwner in this process against a fake-backend process.
#include "root/backends/ServerOwner.h"

#include "testing/TaskRunner.h"
#include "testing/testing/TestGroup.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

/// Confirms either all positions or none.
class FixedConfirmations final : public Confirmations {
public:
  explicit FixedConfirmations(bool Confirms) : Confirms(Confirms) {}

  QCoro::Task<bool> waitConfirmed(LogPosition, TimePoint) override {
    ++this->WaitCalls;
    co_return this->Confirms;
  }
  bool acceptsWrites(TimePoint) const override { return true; }
  QCoro::Task<std::optional<LogPosition>> currentFloor(TimePoint) override {
    co_return std::nullopt;
  }
  void refresh() override {}

  unsigned WaitCalls = 0;

private:
  bool Confirms;
};

/// Stores the delivered frames.
class CollectingSink final : public AnswerSink {
public:
  QCoro::Task<bool> deliver(std::string Frames) override {
    this->Collected += Frames;
    co_return true;
  }
  std::string Collected;
};

/// Returns a view of two reachable servers with \p Primary as the primary.
GroupView viewWithPrimary(const std::string &Primary, Term T) {
  GroupView View;
  View.Service = ServiceName("orders");
  View.TermNumber = T;
  View.Primary = ServerId(Primary);
  View.Taken = steadyNow();
  for (const char *Id : {"a", "b"}) {
    ServerView Server;
    Server.Id = ServerId(Id);
    Server.Reachable = true;
    Server.Age = Duration::zero();
    View.Servers.push_back(Server);
  }
  return View;
}

ExecuteRequest makeOrder(std::string_view Sql, Access Wants) {
  ExecuteRequest Request;
  Request.Service = ServiceName("orders");
  Request.Server = ServerId("a");
  Request.Stream = {EntryVmId("vm"), 1};
  Request.Caller = CallerName("bench");
  Request.Class = ClassName("order");
  Request.RequestedAccess = Wants;
  Request.MaxStaleness = std::chrono::seconds(60);
  Request.Deadline = steadyNow() + TestTimeout;
  Request.Frames = pg::buildQuery(Sql);
  return Request;
}

/// A fake-backend process for the server "a" with an owner that needs no lease.
struct OwnerFixture {
  TestBackend Backend = startBackend("a", {"--role", "primary"});
  ViewTable Views;
  FixedConfirmations Durable;
  std::unique_ptr<ServerOwner> Owner;

  explicit OwnerFixture(bool Confirms) : Durable(Confirms) {
    testApplication();
    this->Views.update(viewWithPrimary("a", 1));
    ServiceConfig Service;
    Service.Name = ServiceName("orders");
    Service.Classes = {{ClassName("order"), TestTimeout}};
    Service.Callers = {{CallerName("bench"), 1, ClassName("order")}};
    ServerOwnerSetup Setup;
    Setup.Self = EntryVmId("vm");
    Setup.Service = Service.Name;
    Setup.Server.Id = ServerId("a");
    Setup.Server.Host = "127.0.0.1";
    Setup.Server.Port = this->Backend.Port;
    Setup.WorkConnections = 10;
    Setup.NeedsLease = false;
    this->Owner = std::make_unique<ServerOwner>(
        Setup, makeFifoAdmission(Service, AdmissionLimits()), nullptr,
        this->Durable, this->Views);
    this->Owner->start();
  }
  ~OwnerFixture() { runTask(this->Owner->stop(steadyNow())); }
};

} // namespace

// Guards against an answer of a superseded primary that is delivered without
// confirmation because the view changed while the statement was running. The
// failover could then undo a result that the caller has received.
TEST_CASE(
    "an answer of the primary needs confirmation even after a view change") {
  struct Row {
    const char *Name;
    const char *Sql;
    Access Wants;
    bool ViewChanges;
    bool Confirms;
    bool Answered;
  };
  const Row Rows[] = {
      {"read, confirmed", "SELECT sim_work(300)", Access::Read, false, true,
       true},
      {"read, not confirmed", "SELECT sim_work(300)", Access::Read, false,
       false, false},
      {"read, superseded", "SELECT sim_work(300)", Access::Read, true, false,
       false},
      {"write, not confirmed", "CREATE TABLE t(id)", Access::Write, false,
       false, false},
      {"write, superseded", "SELECT sim_work(300)", Access::Write, true, true,
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    OwnerFixture Fixture(R.Confirms);
    CollectingSink Sink;
    QTimer Change;
    Change.setSingleShot(true);
    QObject::connect(&Change, &QTimer::timeout, &Change, [&Fixture] {
      Fixture.Views.update(viewWithPrimary("b", 2));
      Fixture.Owner->onViewChanged();
    });
    if (R.ViewChanges)
      Change.start(std::chrono::milliseconds(100));
    const StatementResult Result =
        runTask(Fixture.Owner->execute(makeOrder(R.Sql, R.Wants), Sink));
    CHECK(!Result.Refused == R.Answered);
    CHECK((Sink.Collected.find("SELECT 1") != std::string::npos) == R.Answered);
    if (Result.Refused)
      CHECK(Result.Refused->Kind == RefusalKind::OutcomeUnknown);
  }
}

// Guards against a COMMIT that an isolated former primary executes and that is
// acknowledged although another server is the primary by then.
TEST_CASE("a COMMIT on a superseded primary is not acknowledged") {
  OwnerFixture Fixture(false);
  CollectingSink Sink;
  ExecuteRequest Begin = makeOrder("BEGIN", Access::Write);
  Begin.BeginsTransaction = true;
  const StatementResult Begun = runTask(Fixture.Owner->execute(Begin, Sink));
  REQUIRE_FALSE(Begun.Refused);
  Fixture.Views.update(viewWithPrimary("b", 2));
  ExecuteRequest Commit = makeOrder("COMMIT", Access::Write);
  Commit.InTransaction = true;
  const StatementResult Result = runTask(Fixture.Owner->execute(Commit, Sink));
  REQUIRE(Result.Refused);
  CHECK(Result.Refused->Kind == RefusalKind::OutcomeUnknown);
  CHECK(Fixture.Durable.WaitCalls == 1);
}
