#include "root/directory/ConfigDirectory.h"
#include "config/Generation.h"
#include "platform/testing/MockPlatform.h"
#include "root/directory/testing/LocalNetwork.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

config::Questionnaire makeQuestionnaire(unsigned Port = 5432) {
  config::Questionnaire Q;
  auto *R = Q.add_regions();
  R->set_name("gauteng");
  R->add_data_centres(LocalDataCentre);
  auto *S = Q.add_services();
  S->set_name("orders-1");
  auto *B = S->add_backend_servers();
  B->set_id("orders-1-a");
  B->set_host("10.0.0.1");
  B->set_port(Port);
  B->set_data_centre(LocalDataCentre);
  B->set_slots(5);
  B->set_connection_limit(30);
  auto *C = S->add_classes();
  C->set_name("order");
  C->set_deadline_ms(1000);
  C->set_expected_length_ms(4);
  auto *K = S->add_callers();
  K->set_name("bench");
  K->set_weight(1);
  K->set_default_class("order");
  return Q;
}

TableRow headRow(std::uint64_t Revision, const std::string &Content) {
  const config::Head H{Revision,   config::hashOf(Content), "op",
                       "operator", "2026-01-01T00:00:00Z",  ""};
  return {StoreVersion(Revision), config::formatHead(H), "op"};
}

/// An entry VM with a directory and a mock platform with configurable answers.
struct Vm {
  Vm(LocalNetwork &Network, const std::string &Id)
      : Endpoint(Network, EntryVmId(Id)),
        Directory(EntryVmId(Id), DataCentre(LocalDataCentre), this->Service,
                  this->Endpoint) {}

  ~Vm() {
    QCoro::waitFor(this->Directory.stop(steadyNow() + std::chrono::seconds(1)));
  }

  void start() { QCoro::waitFor(this->Directory.start()); }

  std::uint64_t revision() const { return this->Directory.current()->Revision; }

  QCoreApplication &App = testApplication();
  Result<TableRow> Row = Error{"down"};
  Result<std::optional<std::string>> Object = Error{"down"};
  Result<std::vector<PlatformVm>> List = Error{"down"};
  MockPlatform Service;
  std::unique_ptr<trompeloeil::expectation> Calls[3] = {
      NAMED_ALLOW_CALL(this->Service, readRow("config/head", trompeloeil::_))
          .LR_RETURN(completedTask(this->Row)),
      NAMED_ALLOW_CALL(this->Service, getObject(trompeloeil::_, trompeloeil::_))
          .LR_RETURN(completedTask(this->Object)),
      NAMED_ALLOW_CALL(this->Service, listVms(trompeloeil::_))
          .LR_RETURN(completedTask(this->List))};
  LocalNetwork::Endpoint Endpoint;
  ConfigDirectory Directory;
};

/// Runs the event loop until the head row was read \p More more times.
bool waitForHeadReads(const Vm &V, std::uint64_t More) {
  const std::uint64_t Before = V.Directory.counters().HeadReads;
  return eventually(
      [&] { return V.Directory.counters().HeadReads >= Before + More; });
}

} // namespace

// Guards against an accepted revision that does not come into force, and
// against listeners that are not notified.
TEST_CASE("a reader adopts the revision of the head row") {
  LocalNetwork Network;
  Vm V(Network, "vm-1");
  const std::string Content = config::contentOf(makeQuestionnaire());
  V.Row = headRow(3, Content);
  V.Object = std::optional(Content);
  unsigned Changes = 0;
  V.Directory.listen([&] { ++Changes; });
  CHECK(V.revision() == 0);
  V.start();
  REQUIRE(eventually([&] { return V.revision() == 3; }));
  CHECK(V.Directory.current()->findService(ServiceName("orders-1")) != nullptr);
  CHECK(Changes == 1);

  SECTION("a newer revision replaces it") {
    const std::string Newer = config::contentOf(makeQuestionnaire(5433));
    V.Row = headRow(4, Newer);
    V.Object = std::optional(Newer);
    REQUIRE(eventually([&] { return V.revision() == 4; }));
    CHECK(V.Directory.current()->Services[0].Servers[0].Port == 5433);
    CHECK(Changes == 2);
  }
  SECTION("an older revision, from a table that was restored, is ignored") {
    V.Row = headRow(2, Content);
    REQUIRE(waitForHeadReads(V, 2));
    CHECK(V.revision() == 3);
    CHECK(Changes == 1);
  }
  SECTION("it is kept when the child restarts during an outage of the store") {
    V.Row = Error{"down"};
    QCoro::waitFor(V.Directory.stop(steadyNow() + std::chrono::seconds(1)));
    V.start();
    CHECK(V.revision() == 3);
  }
}

// Guards against corrupt or invalid content that comes into force.
TEST_CASE("corrupt or invalid content is not adopted") {
  config::Questionnaire NoSlots = makeQuestionnaire();
  NoSlots.mutable_services(0)->mutable_backend_servers(0)->set_slots(0);
  const std::string Good = config::contentOf(makeQuestionnaire());
  struct Case {
    const char *Name;
    std::string Hashed;
    std::optional<std::string> Stored;
  };
  const Case Cases[] = {
      {"missing object", Good, std::nullopt},
      {"content does not match the hash", Good, Good + "x"},
      {"malformed", "\xff\xff", "\xff\xff"},
      {"invalid answers", config::contentOf(NoSlots),
       config::contentOf(NoSlots)},
      {"not in canonical form", Good + Good, Good + Good},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    LocalNetwork Network;
    Vm V(Network, "vm-1");
    V.Row = headRow(1, C.Hashed);
    V.Object = C.Stored;
    V.start();
    REQUIRE(eventually([&] { return V.Directory.counters().Rejected > 0; }));
    CHECK(V.revision() == 0);
    CHECK(V.Directory.current() != nullptr);
  }
}

// Guards against an entry VM that does not get a revision when it cannot reach
// the store itself.
TEST_CASE("a revision is fetched from the peer that has it") {
  LocalNetwork Network;
  Vm Source(Network, "vm-1");
  const std::string Content = config::contentOf(makeQuestionnaire());
  Source.Row = headRow(7, Content);
  Source.Object = std::optional(Content);
  Source.start();
  REQUIRE(eventually([&] { return Source.revision() == 7; }));

  SECTION("at startup, without a heartbeat") {
    Vm Late(Network, "vm-2");
    Late.start();
    CHECK(eventually([&] { return Late.revision() == 7; }));
  }
  SECTION("after a heartbeat with the revision") {
    Vm Other(Network, "vm-2");
    Other.Row = headRow(6, Content);
    Other.Object = std::optional(Content);
    Other.start();
    REQUIRE(eventually([&] { return Other.revision() >= 6; }));
    Other.Directory.onPeerRevision(EntryVmId("vm-1"), 7);
    CHECK(eventually([&] { return Other.revision() == 7; }));
    CHECK(Source.Directory.counters().ContentSent >= 1);
  }
}

// Guards against a peer with an older revision that causes this entry VM to
// return to it.
TEST_CASE("an older revision from a peer is ignored") {
  LocalNetwork Network;
  Vm V(Network, "vm-1");
  const std::string Content = config::contentOf(makeQuestionnaire());
  V.Row = headRow(3, Content);
  V.Object = std::optional(Content);
  V.start();
  REQUIRE(eventually([&] { return V.revision() == 3; }));
  LocalNetwork::Endpoint Peer(Network, EntryVmId("vm-9"));
  const std::string Older = config::contentOf(makeQuestionnaire(5433));
  config::AcceptedRevision Accepted;
  Accepted.set_revision(2);
  Accepted.set_hash(config::hashOf(Older));
  Accepted.set_content(Older);
  peer::Envelope Message;
  Message.mutable_config_content()->set_revision(2);
  Message.mutable_config_content()->set_content(Accepted.SerializeAsString());
  REQUIRE(Peer.send(EntryVmId("vm-1"), Message));
  REQUIRE(waitForHeadReads(V, 2));
  CHECK(V.revision() == 3);
  CHECK(V.Directory.counters().Adopted == 1);
}

// Guards against leaving VMs that the membership is not informed of.
TEST_CASE("the platform's VM list reaches the listener") {
  LocalNetwork Network;
  Vm V(Network, "vm-1");
  std::vector<PlatformVm> Seen;
  V.Directory.listenToVmList(
      [&](const std::vector<PlatformVm> &List) { Seen = List; });
  V.List = std::vector<PlatformVm>{{EntryVmId("vm-9"), "127.0.1.9:7000", "",
                                    DataCentre(LocalDataCentre), true}};
  V.start();
  REQUIRE(eventually([&] { return !Seen.empty(); }));
  CHECK(Seen[0].Id.str() == "vm-9");
  CHECK(Seen[0].Leaving);
}
