// Tests of several directories that use the fake platform over HTTP while the
// platform has faults.
#include "config/testing/Examples.h"
#include "core/Random.h"
#include "ctl/Revisions.h"
#include "platform/HttpPlatform.h"
#include "root/directory/ConfigDirectory.h"
#include "root/directory/testing/LocalNetwork.h"
#include "testing/fake-platform/PlatformServer.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

#include <QHostAddress>

#include <algorithm>
#include <list>

using namespace amaranthspur;
using fakeplatform::Faults;

namespace {

/// One entry VM, and whether its revision ever decreased.
struct Node {
  Node(LocalNetwork &Network, const std::string &Id, quint16 Port)
      : Service({"127.0.0.1", Port}, Port), Peers(Network, EntryVmId(Id)),
        Directory(EntryVmId(Id), DataCentre(LocalDataCentre), this->Service,
                  this->Peers) {
    this->Directory.listen([this] {
      const std::uint64_t Now = this->Directory.current()->Revision;
      this->RevisionDecreased = this->RevisionDecreased || Now <= this->Highest;
      this->Highest = std::max(this->Highest, Now);
    });
    QCoro::waitFor(this->Directory.start());
  }
  ~Node() { QCoro::waitFor(this->Directory.stop(steadyNow())); }

  HttpPlatform Service;
  LocalNetwork::Endpoint Peers;
  ConfigDirectory Directory;
  std::uint64_t Highest = 0;
  bool RevisionDecreased = false;
};

/// A fake platform, entry VMs that send each other heartbeats, and an operator
/// who accepts revisions.
struct Deployment {
  Deployment() { this->Port = this->Server.listen(QHostAddress::LocalHost); }

  void addNode() {
    this->Nodes.emplace_back(this->Network,
                             "vm-" + std::to_string(this->Nodes.size() + 1),
                             this->Port);
  }

  /// Accepts another revision. Returns true if its acceptance was confirmed.
  bool acceptNext() {
    config::Questionnaire Q = config::example("engravers");
    const auto From = this->Store.readRow(config::HeadKey).Version;
    Q.mutable_services(0)->mutable_callers(0)->set_weight(
        static_cast<unsigned>(From + 10));
    const ctl::AcceptRequest Request{Q, From, "op-" + std::to_string(From),
                                     "ana", "2026-01-01T00:00:00Z"};
    HttpPlatform Service({"127.0.0.1", this->Port}, From);
    const ctl::AcceptOutcome Outcome = QCoro::waitFor(ctl::acceptRevision(
        Service, Request, steadyNow() + std::chrono::seconds(5)));
    return Outcome.Result == ctl::AcceptResult::Accepted;
  }

  /// Passes the revision of every directory to all other directories.
  void exchangeHeartbeats() {
    for (Node &To : this->Nodes)
      for (Node &From : this->Nodes)
        if (&From != &To)
          To.Directory.onPeerRevision(this->Network.Members[indexOf(From)].Id,
                                      From.Directory.current()->Revision);
  }

  /// Waits until the newest revision is in force on all entry VMs. Returns
  /// false after a timeout.
  bool waitForConvergence() {
    return eventually([this] {
      this->exchangeHeartbeats();
      const auto Newest = this->Store.readRow(config::HeadKey).Version;
      return std::all_of(this->Nodes.begin(), this->Nodes.end(),
                         [&](const Node &N) {
                           return N.Directory.current()->Revision == Newest;
                         });
    });
  }

  std::size_t indexOf(const Node &Wanted) const {
    std::size_t I = 0;
    for (const Node &N : this->Nodes) {
      if (&N == &Wanted)
        break;
      ++I;
    }
    return I;
  }

  QCoreApplication &App = testApplication();
  fakeplatform::PlatformStore Store{1};
  fakeplatform::PlatformServer Server{this->Store};
  quint16 Port = 0;
  LocalNetwork Network;
  std::list<Node> Nodes;
};

} // namespace

// Guards against an entry VM that misses a revision or returns to an earlier
// one while answers of the platform are lost or its reads are rate-limited.
TEST_CASE("all entry VMs adopt new revisions despite platform faults") {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Deployment D;
    for (int I = 0; I < 4; ++I)
      D.addNode();
    for (int Step = 0; Step < 4; ++Step) {
      CAPTURE(Step);
      Faults F;
      F.LoseAnswers = 0.1 * static_cast<double>(Rng.below(4));
      F.ReadsPerSecond = Rng.below(2) * 40;
      D.Store.setFaults(F, Seed);
      D.acceptNext();
      D.Store.setFaults({}, std::nullopt);
      CHECK(D.waitForConvergence());
    }
    CHECK(D.Store.readRow(config::HeadKey).Version > 0);
    for (const Node &N : D.Nodes)
      CHECK_FALSE(N.RevisionDecreased);
  }
}

// Guards against a new entry VM that gets no configuration during an outage of
// the store although its peers have one.
TEST_CASE("an entry VM that starts during an outage fetches from peers") {
  Deployment D;
  D.addNode();
  D.addNode();
  REQUIRE(D.acceptNext());
  REQUIRE(D.acceptNext());
  REQUIRE(D.waitForConvergence());
  Faults Outage;
  Outage.Outage = true;
  D.Store.setFaults(Outage, std::nullopt);
  D.addNode();
  CHECK(D.waitForConvergence());
  CHECK(D.Nodes.back().Directory.current()->Revision == 2);
}
