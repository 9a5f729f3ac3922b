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
      ++Load[forwarderOrder(Chosen, ServiceName("s" + std::to_string(I)))
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
    const std::vector<ForwarderVm> Before = forwarderOrder(Chosen, Service);
    const ForwarderVm Expected = Before[0] == Lost ? Before[1] : Before[0];
    CHECK(forwarderOrder(Rest, Service).front() == Expected);
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
