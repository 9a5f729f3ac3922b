// Several directories over HTTP, with faults of the platform.
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

/// One entry VM.
struct Node {
  Node(LocalNetwork &Network, const std::string &Id, quint16 Port)
      : Service({"127.0.0.1", Port}, Port), Peers(Network, EntryVmId(Id)),
        Directory(EntryVmId(Id), DataCentre(Here), this->Service, this->Peers) {
    this->Directory.listen([this] {
      const std::uint64_t Now = this->Directory.current()->Revision;
      this->WentBack = this->WentBack || Now <= this->Highest;
      this->Highest = std::max(this->Highest, Now);
    });
    QCoro::waitFor(this->Directory.start());
  }
  ~Node() { QCoro::waitFor(this->Directory.stop(steadyNow())); }

  HttpPlatform Service;
  LocalNetwork::Port Peers;
  ConfigDirectory Directory;
  std::uint64_t Highest = 0;
  bool WentBack = false;
};

/// A platform, entry VMs that send each other heartbeats, and an operator.
struct Deployment {
  Deployment() { this->Port = this->Server.listen(QHostAddress::LocalHost); }

  void addNode() {
    this->Nodes.emplace_back(this->Network,
                             "vm-" + std::to_string(this->Nodes.size() + 1),
                             this->Port);
  }

  /// Accepts another revision; true if it is certain to be accepted.
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

  /// Passes every directory the revisions of all others.
  void heartbeats() {
    for (Node &To : this->Nodes)
      for (Node &From : this->Nodes)
        if (&From != &To)
          To.Directory.onPeerRevision(this->Network.Members[indexOf(From)].Id,
                                      From.Directory.current()->Revision);
  }

  /// Waits until all have the newest revision in force.
  bool converges() {
    return eventually([this] {
      this->heartbeats();
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

// Guards against an entry VM that stays behind or goes back while the
// platform's answers are lost, refused or limited.
TEST_CASE("all entry VMs follow through faults of the platform") {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    Random Draw(Seed);
    Deployment D;
    for (int I = 0; I < 4; ++I)
      D.addNode();
    for (int Step = 0; Step < 4; ++Step) {
      CAPTURE(Step);
      Faults F;
      F.LoseAnswers = 0.1 * static_cast<double>(Draw.below(4));
      F.ReadsPerSecond = Draw.below(2) * 40;
      D.Store.setFaults(F, Seed);
      D.acceptNext();
      D.Store.setFaults({}, std::nullopt);
      CHECK(D.converges());
    }
    CHECK(D.Store.readRow(config::HeadKey).Version > 0);
    for (const Node &N : D.Nodes)
      CHECK_FALSE(N.WentBack);
  }
}

// Guards against a new entry VM that has no configuration because the store is
// down, although its peers have one.
TEST_CASE("an entry VM that starts during an outage learns from peers") {
  Deployment D;
  D.addNode();
  D.addNode();
  REQUIRE(D.acceptNext());
  REQUIRE(D.acceptNext());
  REQUIRE(D.converges());
  Faults Outage;
  Outage.Outage = true;
  D.Store.setFaults(Outage, std::nullopt);
  D.addNode();
  CHECK(D.converges());
  CHECK(D.Nodes.back().Directory.current()->Revision == 2);
}
