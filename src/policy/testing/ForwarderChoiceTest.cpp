#include "policy/ForwarderChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

std::vector<ForwarderVm> entryVms(std::size_t Count) {
  const unsigned Shares[] = {12, 25, 50};
  std::vector<ForwarderVm> All;
  for (std::size_t I = 0; I < Count; ++I)
    All.push_back({EntryVmId("front-here-" + std::to_string(I)),
                   "10.1.0." + std::to_string(I) + ":7440",
                   Shares[I % std::size(Shares)]});
  return All;
}

} // namespace

// Guards against the pattern of a crest at which 49 entry VMs of a data centre
// open a connection for each read: all reads of a service have to meet on one
// entry VM, and no entry VM may get the reads of nearly all services.
TEST_CASE("the reads of a data centre meet on a few large entry VMs") {
  struct Row {
    std::size_t EntryVms;
    std::size_t Forwarders;
  };
  const Row Rows[] = {{0, 0}, {1, 1}, {2, 2}, {7, 2}, {49, 6}, {570, 71}};
  for (const Row &R : Rows) {
    CAPTURE(R.EntryVms);
    const std::vector<ForwarderVm> Chosen =
        chooseForwarders(entryVms(R.EntryVms));
    CHECK(Chosen.size() == R.Forwarders);
    if (R.EntryVms >= 49)
      CHECK(std::all_of(Chosen.begin(), Chosen.end(), [](const ForwarderVm &F) {
        return F.CpuPercent == 50;
      }));
    // The order in which the entry VMs are listed does not matter.
    std::vector<ForwarderVm> Reversed = entryVms(R.EntryVms);
    std::reverse(Reversed.begin(), Reversed.end());
    CHECK(chooseForwarders(Reversed) == Chosen);
    if (Chosen.size() < 2)
      continue;
    constexpr int Services = 2000;
    std::map<EntryVmId, int> Load;
    for (int I = 0; I < Services; ++I)
      ++Load[forwarderOrder(Chosen, ServiceName("s" + std::to_string(I)),
                            WorkspaceName())
                 .front()
                 .Vm];
    for (const auto &[Vm, Count] : Load)
      CHECK(Count < 2 * Services / static_cast<int>(Chosen.size()));
  }
}

// Guards against a loss of one forwarder that moves the services of the others,
// which would open connections everywhere at once.
TEST_CASE("only the services of a lost forwarder move") {
  std::vector<ForwarderVm> Chosen = chooseForwarders(entryVms(49));
  const ForwarderVm Lost = Chosen[2];
  std::vector<ForwarderVm> Rest = Chosen;
  Rest.erase(Rest.begin() + 2);
  for (int I = 0; I < 200; ++I) {
    const ServiceName Service("s" + std::to_string(I));
    for (const WorkspaceName &Of : {WorkspaceName(), WorkspaceName("w")}) {
      CAPTURE(Of.str());
      const std::vector<ForwarderVm> Before =
          forwarderOrder(Chosen, Service, Of);
      const ForwarderVm Expected = Before[0] == Lost ? Before[1] : Before[0];
      CHECK(forwarderOrder(Rest, Service, Of).front() == Expected);
    }
  }
}

// Guards against a small entry VM that gets as many pairs of workspace and
// service as a large one, and against a home that depends on the service or on
// the workspace alone, so that the pairs of one of them all have the same home.
TEST_CASE("homes are divided by the CPU of the forwarders") {
  struct Row {
    const char *Name;
    std::vector<unsigned> CpuPercent; ///< Of each forwarder.
    std::vector<double> Parts;        ///< Expected part of the pairs of each.
  };
  const Row Rows[] = {
      {"equal", {50, 50}, {0.5, 0.5}},
      {"one small", {50, 12}, {0.806, 0.194}},
      {"three", {50, 25, 25}, {0.5, 0.25, 0.25}},
      {"not known", {0, 0}, {0.5, 0.5}},
  };
  constexpr int Services = 30;
  constexpr int Workspaces = 100;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<ForwarderVm> Forwarders;
    for (std::size_t I = 0; I < R.CpuPercent.size(); ++I)
      Forwarders.push_back({EntryVmId("front-" + std::to_string(I)),
                            "10.1.0.1:7440", R.CpuPercent[I]});
    std::map<EntryVmId, double> Parts;
    std::map<std::string, std::map<EntryVmId, int>> ByService;
    std::map<std::string, std::map<EntryVmId, int>> ByWorkspace;
    for (int S = 0; S < Services; ++S)
      for (int W = 0; W < Workspaces; ++W) {
        const std::string Service = "s" + std::to_string(S);
        const std::string Of = "w" + std::to_string(W);
        const EntryVmId Home =
            forwarderOrder(Forwarders, ServiceName(Service), WorkspaceName(Of))
                .front()
                .Vm;
        Parts[Home] += 1.0 / (Services * Workspaces);
        ++ByService[Service][Home];
        ++ByWorkspace[Of][Home];
      }
    for (std::size_t I = 0; I < R.Parts.size(); ++I)
      CHECK(Parts[Forwarders[I].Vm] == Approx(R.Parts[I]).margin(0.04));
    for (const auto &[Service, Homes] : ByService)
      CHECK(Homes.size() == R.Parts.size());
    // 30 pairs of a workspace may by chance have one home if it is large.
    const auto Divided = std::count_if(
        ByWorkspace.begin(), ByWorkspace.end(), [&R](const auto &Entry) {
          return Entry.second.size() == R.Parts.size();
        });
    CHECK(Divided > Workspaces * 9 / 10);
  }
}

// Guards against a share of the servers' connections that is computed from a
// wrong number of forwarders.
TEST_CASE("forwarders of unknown data centres are estimated") {
  const auto Others = [](std::initializer_list<std::size_t> Counts) {
    std::vector<RemoteForwarders> Out;
    for (const std::size_t Count : Counts)
      Out.push_back({DataCentre("dc-" + std::to_string(Out.size())), "token",
                     std::vector<ForwarderVm>(Count)});
    return Out;
  };
  struct Row {
    const char *Name;
    std::size_t Own;
    std::vector<RemoteForwarders> Known;
    std::size_t DataCentres;
    std::size_t Expected;
  };
  const Row Rows[] = {{"one data centre", 2, {}, 1, 2},
                      {"none is known", 2, {}, 6, 12},
                      {"one is known", 2, Others({5}), 6, 2 + 5 + 4 * 2},
                      {"one has none", 2, Others({0}), 2, 2},
                      {"all are known", 2, Others({1, 3}), 3, 6},
                      {"more than in the settings", 2, Others({1, 3}), 2, 6}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(countForwarders(R.Own, R.Known, R.DataCentres) == R.Expected);
  }
}

// Guards against a hop for each read where every entry VM can keep a connection
// of its own.
TEST_CASE("reads are forwarded only if there are too few connections") {
  struct Row {
    const char *Name;
    std::size_t EntryVms;
    std::size_t MaxConnections;
    bool Useful;
  };
  const Row Rows[] = {
      {"not known", 0, 33, false},        {"7 entry VMs", 7, 33, false},
      {"61 before 151", 61, 151, false},  {"80 before 53", 80, 53, true},
      {"295 before 125", 295, 125, true}, {"no limit", 295, 0, false}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(isForwardingUseful(R.EntryVms, R.MaxConnections) == R.Useful);
  }
}

namespace {

RemoteForwarders remote(const char *Place, std::size_t Count) {
  RemoteForwarders R;
  R.Location = DataCentre(Place);
  for (std::size_t I = 0; I < Count; ++I)
    R.Forwarders.push_back(
        {EntryVmId(std::string(Place) + "-" + std::to_string(I)),
         "10.2.0.1:7440", 50});
  return R;
}

} // namespace

// Guards against a home outside the region in which the statement runs, against
// entry VMs of one region that choose different homes, and against a choice
// that differs from that of a data centre on its own where nothing is known of
// the others.
TEST_CASE("the home is in the region of the statement") {
  const std::map<DataCentre, Region> Regions = {
      {DataCentre("a1"), Region("a")},
      {DataCentre("a2"), Region("a")},
      {DataCentre("a3"), Region("a")},
      {DataCentre("b1"), Region("b")},
      {DataCentre("b2"), Region("b")}};
  const std::map<std::string, RemoteForwarders> All = {{"a1", remote("a1", 2)},
                                                       {"a2", remote("a2", 2)},
                                                       {"a3", remote("a3", 2)},
                                                       {"b1", remote("b1", 2)},
                                                       {"b2", remote("b2", 2)}};
  struct Row {
    const char *Name;
    std::vector<const char *> Known; ///< Other data centres.
    const char *Of;
    HomeRole Role;
    const char *Primary;
    std::vector<const char *> Homes; ///< Data centres that have a part of them.
  };
  const Row Rows[] = {
      {"a read",
       {"a2", "a3", "b1", "b2"},
       "w",
       HomeRole::AnyServer,
       "b1",
       {"a1", "a2", "a3"}},
      {"a write, primary in the region",
       {"a2", "a3", "b1", "b2"},
       "w",
       HomeRole::Primary,
       "a3",
       {"a1", "a2", "a3"}},
      {"a write, primary in the other region",
       {"a2", "a3", "b1", "b2"},
       "w",
       HomeRole::Primary,
       "b2",
       {"b1", "b2"}},
      {"a write, no primary",
       {"a2", "a3", "b1", "b2"},
       "w",
       HomeRole::Primary,
       "",
       {"a1"}},
      {"a write, primary in an unknown place",
       {"a2", "a3", "b1", "b2"},
       "w",
       HomeRole::Primary,
       "c1",
       {"a1"}},
      {"without a workspace",
       {"a2", "a3", "b1", "b2"},
       "",
       HomeRole::AnyServer,
       "a1",
       {"a1"}},
      {"one data centre is known",
       {"b1"},
       "w",
       HomeRole::Primary,
       "b2",
       {"b1"}},
      {"no other is known, a read", {}, "w", HomeRole::AnyServer, "b1", {"a1"}},
      {"no other is known, a write", {}, "w", HomeRole::Primary, "b1", {"a1"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const std::vector<ForwarderVm> Own = All.at("a1").Forwarders;
    HomeChoice Choice(EntryVmId("self"), {DataCentre("a1"), Regions});
    Choice.setOwn(Own);
    std::vector<RemoteForwarders> Others;
    Others.reserve(R.Known.size());
    for (const char *Place : R.Known)
      Others.push_back(All.at(Place));
    Choice.setRemote(Others);
    // Another entry VM of the region, which knows the same forwarders.
    HomeChoice Peer(EntryVmId("peer"), {DataCentre("a2"), Regions});
    Peer.setOwn(All.at("a2").Forwarders);
    std::vector<RemoteForwarders> OthersOfPeer = Others;
    OthersOfPeer.push_back(All.at("a1"));
    Peer.setRemote(OthersOfPeer);
    std::map<std::string, int> Homes;
    for (int S = 0; S < 200; ++S) {
      HomeQuery Query{ServiceName("s" + std::to_string(S)), WorkspaceName(R.Of),
                      R.Role, DataCentre(R.Primary)};
      const std::vector<EntryVmId> Found = Choice.candidates(Query);
      REQUIRE(Found.size() >= 2);
      ++Homes[Found[0].str().substr(0, 2)];
      // The own data centre is the last resort.
      const std::vector<ForwarderVm> Last =
          forwarderOrder(Own, Query.Service, Query.Of);
      CHECK(Found[Found.size() - 2] == Last[0].Vm);
      CHECK(Found[Found.size() - 1] == Last[1].Vm);
      if (R.Known.size() == 4 && *R.Of && R.Homes.size() > 1)
        CHECK(Peer.candidates(Query)[0] == Found[0]);
      if (R.Known.empty())
        CHECK(Found[0] == Last[0].Vm);
    }
    CHECK(Homes.size() == R.Homes.size());
    for (const char *Place : R.Homes)
      CHECK(Homes[Place] > 30);
  }
}
