// End-to-end tests of the PostgreSQL front end with real processes: a fake
// platform, three fake backend servers and three entry VMs in three data
// centres, driven through libpq.
#include "testing/testing/TestGroup.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>

using namespace amaranthspur;

namespace {

constexpr std::size_t DataCentreCount = 3;
constexpr const char *DataCentreNames[] = {"joburg-a", "pretoria-b", "paarl-a"};

/// One entry VM: its ports and its daemon process.
struct TestEntryVm {
  std::uint16_t Callers = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Admin = 0;
  std::unique_ptr<CheckedProcess> Process;
};

/// A deployment with one service, "orders", whose group has the servers "a",
/// "b" and "c".
class TestDeployment {
public:
  TestDeployment()
      : Group(DataCentreCount, {"--connection-limit", "40"}),
        PlatformPort(freePort()),
        Platform(startProgram("fake-platform",
                              {"--listen", local(this->PlatformPort)})) {
    for (TestEntryVm &Vm : this->Vms)
      Vm = {freePort(), freePort(), freePort(), nullptr};
    for (std::size_t I = 0; I < DataCentreCount; ++I)
      this->startEntryVm(I);
    this->acceptConfiguration();
    REQUIRE(eventually([this] {
      for (std::size_t I = 0; I < DataCentreCount; ++I)
        if (!succeeded(this->tryConnect(I)) ||
            !this->connect(I).query("SELECT 1").good())
          return false;
      return true;
    }));
  }

  Result<PgClient>
  tryConnect(std::size_t Vm,
             std::map<std::string, std::string> Parameters = {}) const {
    PgTarget Target;
    Target.Port = this->Vms[Vm].Callers;
    Target.User = "bench";
    Target.Database = "orders";
    Target.Parameters = std::move(Parameters);
    return PgClient::connect(Target);
  }

  PgClient connect(std::size_t Vm,
                   std::map<std::string, std::string> Parameters = {}) const {
    auto Client = this->tryConnect(Vm, std::move(Parameters));
    INFO((succeeded(Client) ? "" : errorOf(Client)));
    REQUIRE(succeeded(Client));
    return valueOf(std::move(Client));
  }

  TestGroup Group;
  TestEntryVm Vms[DataCentreCount];

private:
  static std::string local(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  void startEntryVm(std::size_t I) {
    std::string Seeds;
    for (std::size_t J = 0; J < DataCentreCount; ++J)
      Seeds += (J > 0 ? ",vm-" : "vm-") + std::to_string(J) + "=" +
               local(this->Vms[J].Peers) + "@" + DataCentreNames[J];
    TestEntryVm &Vm = this->Vms[I];
    Vm.Process = std::make_unique<CheckedProcess>(
        startProgram("amaranthspurd", {"--vm-id",
                                       "vm-" + std::to_string(I),
                                       "--data-centre",
                                       DataCentreNames[I],
                                       "--caller-address",
                                       local(Vm.Callers),
                                       "--peer-address",
                                       local(Vm.Peers),
                                       "--admin-address",
                                       local(Vm.Admin),
                                       "--platform-address",
                                       local(this->PlatformPort),
                                       "--deployment-key",
                                       "key-of-the-test",
                                       "--seed-peers",
                                       Seeds,
                                       "--drain-notice-ms",
                                       "100",
                                       "--log-level",
                                       "warning"}));
  }

  void acceptConfiguration() const {
    std::string Servers;
    for (std::size_t I = 0; I < DataCentreCount; ++I)
      Servers += std::string(I > 0 ? "," : "") + R"({"id":")" +
                 std::string(1, static_cast<char>('a' + I)) +
                 R"(","host":"127.0.0.1","port":)" +
                 std::to_string(this->Group.Servers[I].Port) +
                 R"(,"data_centre":")" + DataCentreNames[I] +
                 R"(","slots":5,"connection_limit":40})";
    const std::string Path =
        "daemon-test-" + std::to_string(this->PlatformPort) + ".json";
    std::ofstream(Path)
        << R"({"regions":[{"name":"gauteng","data_centres":["joburg-a","pretoria-b"]},)"
           R"({"name":"westcape","data_centres":["paarl-a"]}],)"
           R"("latency":{"within_region_ms":1,"between_regions_ms":8},)"
           R"("services":[{"name":"orders","backend_servers":[)"
        << Servers
        << R"(],"classes":[{"name":"order","deadline_ms":20000,"expected_length_ms":4},)"
           R"({"name":"proof","deadline_ms":20000,"expected_length_ms":4,"max_staleness_ms":10000}],)"
           R"("callers":[{"name":"bench","weight":1,"default_class":"order"}]}]})";
    const auto Program = findProgram("amaranthspurctl");
    REQUIRE(succeeded(Program));
    ProcessOptions Options;
    Options.WaitForReady = false;
    auto Started = ChildProcess::start(
        valueOf(Program),
        {"accept", Path, "--platform-address", local(this->PlatformPort),
         "--from-revision", "0", "--author", "test"},
        Options);
    REQUIRE(succeeded(Started));
    const Result<int> Code = valueOf(Started).waitForEnd(TestTimeout);
    std::remove(Path.c_str());
    REQUIRE(succeeded(Code));
    REQUIRE(valueOf(Code) == 0);
  }

  std::uint16_t PlatformPort;
  CheckedProcess Platform;
};

} // namespace

// Guards against answers, transactions and errors that differ from those of a
// database server as seen by an unmodified client library, both on the entry VM
// that owns the server and on one that forwards to the owner.
TEST_CASE("an unmodified client library works with every entry VM") {
  const TestDeployment System;
  System.connect(0).query("CREATE TABLE t(id INTEGER PRIMARY KEY, v TEXT)");
  for (std::size_t Vm = 0; Vm < DataCentreCount; ++Vm) {
    CAPTURE(Vm);
    const std::string Id = std::to_string(Vm * 10);
    PgClient Client = System.connect(Vm);
    CHECK(Client.query("BEGIN").good());
    CHECK(Client.transaction() == 'T');
    CHECK(Client.query("INSERT INTO t VALUES (" + Id + ", 'x')").good());
    CHECK(Client.query("SELECT count(*) FROM t WHERE id = " + Id).value() ==
          "1");
    CHECK(Client.query("ROLLBACK").good());
    CHECK(Client.query("SELECT count(*) FROM t WHERE id = " + Id).value() ==
          "0");
    CHECK(Client.query("INSERT INTO t VALUES ($1, $2)", {Id, "y"}).good());
    CHECK(Client.query("INSERT INTO t VALUES (" + Id + ", 'z')").SqlState ==
          "23505");
    CHECK(Client.query("SELECT nonsense nonsense nonsense").SqlState ==
          "42601");
    CHECK(Client.transaction() == 'I');
    const PgAnswer Large = Client.query("SELECT hex(zeroblob(5242880)) AS big");
    CHECK(Large.value("big").size() == 10485760);
    const PgAnswer Named = Client.prepare("name", "SELECT 1");
    CHECK(Named.SqlState == "0A000");
    CHECK(Named.Message.find("not run") != std::string::npos);
    CHECK(Client.query("SET search_path = x").SqlState == "0A000");
    CHECK(Client.query("SELECT 1").value() == "1");
  }
}

// Guards against a session that does not see its own writes after it has moved
// to another entry VM, with its token or without, and against the acceptance of
// a forged token.
TEST_CASE("a session reads its own writes after moving to another entry VM") {
  const TestDeployment System;
  System.connect(0).query("CREATE TABLE t(id INTEGER PRIMARY KEY)");
  for (int I = 0; I < 20; ++I) {
    CAPTURE(I);
    const std::size_t From = static_cast<std::size_t>(I) % DataCentreCount;
    const std::size_t To =
        static_cast<std::size_t>(I + 1 + I / 3) % DataCentreCount;
    PgClient Writer = System.connect(From);
    REQUIRE(Writer.query("INSERT INTO t VALUES (" + std::to_string(I) + ")")
                .good());
    const std::string Token = Writer.parameter("amaranthspur.session");
    REQUIRE_FALSE(Token.empty());
    std::map<std::string, std::string> Settings = {
        {"amaranthspur.class", "proof"}};
    if (I % 2 == 0)
      Settings["amaranthspur.session"] = Token;
    PgClient Reader = System.connect(To, Settings);
    CHECK(Reader.query("SELECT count(*) FROM t WHERE id = " + std::to_string(I))
              .value() == "1");
  }
  CHECK_FALSE(succeeded(System.tryConnect(
      0, {{"amaranthspur.session", "v1.orders.1.1.0000000000000000"}})));
}

// Guards against a failover that loses an acknowledged write, and against one
// after which no writes are possible.
TEST_CASE("writes resume after the primary is killed and none is lost") {
  TestDeployment System;
  PgClient Client = System.connect(1);
  REQUIRE(Client.query("CREATE TABLE t(id INTEGER PRIMARY KEY)").good());
  std::vector<int> Acknowledged;
  for (int I = 0; I < 60; ++I) {
    if (I == 30)
      System.Group[0].Process->kill();
    const PgAnswer Answer =
        Client.query("INSERT INTO t VALUES (" + std::to_string(I) + ")");
    if (Answer.good())
      Acknowledged.push_back(I);
    else
      CHECK((Answer.Message.starts_with("not run:") ||
             Answer.SqlState == "08007"));
  }
  CHECK(Acknowledged.back() == 59);
  for (const int Id : Acknowledged) {
    CAPTURE(Id);
    CHECK(
        Client.query("SELECT count(*) FROM t WHERE id = " + std::to_string(Id))
            .value() == "1");
  }
}

// Guards against a transaction that stays open on the server after the proxy
// has refused one of its statements. Its locks would block all writers.
TEST_CASE("a refused statement ends its transaction at the owner") {
  const TestDeployment System;
  System.connect(0).query("CREATE TABLE t(id INTEGER PRIMARY KEY)");
  for (std::size_t Vm = 0; Vm < DataCentreCount; ++Vm) {
    CAPTURE(Vm);
    PgClient Client = System.connect(Vm);
    REQUIRE(Client.query("BEGIN").good());
    REQUIRE(Client.query("INSERT INTO t VALUES (" + std::to_string(Vm) + ")")
                .good());
    const PgAnswer Refused = Client.query(
        "/* amaranthspur.deadline_ms=100 */ SELECT sim_work(5000)");
    CHECK_FALSE(Refused.good());
    CHECK(Client.transaction() == 'E');
    CHECK(Client.query("SELECT 1").SqlState == "25P02");
    CHECK(System.connect(0)
              .query("INSERT INTO t VALUES (" + std::to_string(100 + Vm) + ")")
              .good());
    CHECK(Client.query("ROLLBACK").good());
    CHECK(
        Client.query("SELECT count(*) FROM t WHERE id = " + std::to_string(Vm))
            .value() == "0");
  }
}

// Guards against a planned stop that aborts a running request or leaves a
// server without an owner. The second statement runs for longer than the time
// that a handover of ownership gives to open transactions.
TEST_CASE(
    "a planned stop finishes running statements and hands over ownership") {
  for (const char *Running :
       {"SELECT sim_work(1500)", "SELECT sim_work(3500)"}) {
    CAPTURE(Running);
    TestDeployment System;
    PgClient Busy = System.connect(0);
    REQUIRE(Busy.query("CREATE TABLE t(id INTEGER PRIMARY KEY)").good());
    REQUIRE(Busy.send(Running));
    PgClient Other = System.connect(1);
    CHECK(System.Vms[0].Process->Process.terminate(TestTimeout) == 0);
    const PgAnswer Answer = Busy.receive();
    CAPTURE(Answer.SqlState, Answer.Message);
    CHECK(Answer.good());
    CHECK(eventually(
        [&Other] { return Other.query("INSERT INTO t VALUES (1)").good(); }));
  }
}

// Guards against connections that are lost or starved when many callers connect
// at once. On a slow machine, some statements may be refused as overloaded
// (53000); each of them must succeed when it is sent again. No other failure is
// allowed.
TEST_CASE("many callers can connect at once") {
  const TestDeployment System;
  struct Row {
    std::size_t Callers;
    bool Query;
  };
  for (const Row &R : {Row{500, true}, Row{2000, false}}) {
    CAPTURE(R.Callers);
    std::vector<PgClient> Clients;
    for (std::size_t I = 0; I < R.Callers; ++I)
      Clients.push_back(System.connect(2));
    for (PgClient &Client : Clients)
      if (R.Query)
        REQUIRE(Client.send("SELECT 1"));
    std::vector<PgClient *> Refused;
    for (PgClient &Client : Clients) {
      if (!R.Query)
        continue;
      const PgAnswer Answer = Client.receive();
      CAPTURE(Answer.SqlState, Answer.Message);
      if (Answer.SqlState == "53000")
        Refused.push_back(&Client);
      else
        REQUIRE(Answer.value() == "1");
    }
    for (PgClient *Client : Refused)
      REQUIRE(Client->query("SELECT 1").value() == "1");
    CHECK(Clients.back().query("SELECT 2").value() == "2");
  }
}
