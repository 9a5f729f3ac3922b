// Measures the traffic and the latency of the membership protocol for different
// numbers of members, and compares two ways of distributing group views. Many
// instances of Membership run in one process in simulated time. The program
// uses no sockets and does not model the rest of the daemon.
//
// Usage: membership-cost members SEED COUNT... | membership-cost views
#include "policy/Ownership.h"
#include "policy/testing/MembershipSimulation.h"
#include "root/peers/PeerCodec.h"

#include <algorithm>
#include <bit>
#include <cstdio>
#include <string>
#include <vector>

using namespace amaranthspur;
using namespace amaranthspur::testing;
using std::chrono::seconds;

namespace {

/// Converts \p Number to the type that printf's %llu expects.
unsigned long long printable(std::uint64_t Number) { return Number; }

/// Overhead of TCP, ZMTP and CURVE for one message. As the protocols define
/// them, the IP and TCP headers have 52 bytes, the ZMTP frame header has 9
/// bytes, and the CURVE MESSAGE command with its nonce and authentication code
/// adds 33 bytes. Acknowledgements and handshakes are not counted.
constexpr std::uint64_t FramingBytes = 52 + 9 + 33;

/// Correction for the short addresses and data centre names in this simulation.
/// It uses `h.123:1` instead of `10.123.45.67:7000` and `dc-0` instead of
/// `joburg-a` to reduce the memory of 3,400 instances.
constexpr std::uint64_t PaddingPerMember = 14;

std::uint64_t wireSize(const MembershipMessage &Message) {
  peer::Envelope Envelope = toEnvelope(Message);
  Envelope.set_sender(Message.Members.front().Id.str());
  Envelope.set_incarnation(1700000000000000);
  return encodeEnvelope(Envelope).size() + FramingBytes +
         PaddingPerMember * Message.Members.size();
}

long milliSince(const MembershipSimulation &Group, TimePoint Start) {
  return static_cast<long>(
      std::chrono::duration_cast<milliseconds>(Group.Now - Start).count());
}

/// Times from the failure of a node until other nodes consider it dead.
struct DetectionTimes {
  long FirstMs = 0;     ///< The first node.
  long OwnCentreMs = 0; ///< All nodes of the same data centre.
  long HalfMs = 0;      ///< Half of all nodes.
  long AllMs = 0;       ///< All nodes.
};

/// Stops node \p Victim and measures how long the other nodes take to consider
/// it dead.
DetectionTimes measureDetection(MembershipSimulation &Group, std::size_t Victim,
                                std::size_t Centres) {
  DetectionTimes Times;
  std::size_t OwnCentre = 0;
  for (std::size_t I = 0; I < Group.Nodes.size(); ++I)
    OwnCentre += I != Victim && I % Centres == Victim % Centres ? 1 : 0;
  const std::size_t Others = Group.Nodes.size() - 1;
  Group.stop(Victim);
  const TimePoint Start = Group.Now;
  while (Times.AllMs == 0 && Group.Now - Start < seconds(30)) {
    Group.run(milliseconds(25));
    std::size_t Own = 0;
    std::size_t All = 0;
    for (std::size_t I = 0; I < Group.Nodes.size(); ++I) {
      if (I == Victim || Group.view(I, Victim) != MemberState::Dead)
        continue;
      ++All;
      Own += I % Centres == Victim % Centres ? 1 : 0;
    }
    const long Ms = milliSince(Group, Start);
    if (All > 0 && Times.FirstMs == 0)
      Times.FirstMs = Ms;
    if (Own == OwnCentre && Times.OwnCentreMs == 0)
      Times.OwnCentreMs = Ms;
    if (2 * All >= Others && Times.HalfMs == 0)
      Times.HalfMs = Ms;
    if (All == Others)
      Times.AllMs = Ms;
  }
  return Times;
}

/// Sets a new revision at node \p Source and returns the time in milliseconds
/// until all nodes have received it.
long measureRevisionSpread(MembershipSimulation &Group, std::size_t Source) {
  std::vector<std::uint64_t> Revisions(Group.Nodes.size(), 1);
  Revisions[Source] = 2;
  Group.BeforeTick = [&](std::size_t I) {
    Group.Nodes[I].M->setRevision(Revisions[I]);
  };
  Group.OnDelivery = [&](std::size_t I, const MembershipMessage &Message) {
    Revisions[I] = std::max(Revisions[I], Message.Revision);
    Group.Nodes[I].M->setRevision(Revisions[I]);
  };
  const TimePoint Start = Group.Now;
  while (Group.Now - Start < seconds(30) &&
         *std::min_element(Revisions.begin(), Revisions.end()) < 2)
    Group.run(milliseconds(10));
  const long Ms = milliSince(Group, Start);
  Group.BeforeTick = [](std::size_t) {};
  Group.OnDelivery = [](std::size_t, const MembershipMessage &) {};
  return Ms;
}

/// Replaces the last node by a new process that knows only the platform's list.
/// Returns the time in milliseconds until it knows all members.
long measureJoin(MembershipSimulation &Group) {
  const std::size_t JoiningNode = Group.Nodes.size() - 1;
  Group.start(JoiningNode);
  Membership &M = *Group.Nodes[JoiningNode].M;
  M.setListed(Group.list(), Group.Now);
  const TimePoint Start = Group.Now;
  while (M.stats().Candidates > 0 && Group.Now - Start < seconds(60))
    Group.run(milliseconds(50));
  return milliSince(Group, Start);
}

void measureMembers(std::size_t Count, std::uint64_t Seed) {
  const std::size_t Centres = Count >= 300 ? 6 : (Count < 6 ? 1 : 3);
  MembershipSimulation Group(Count, Centres, Seed);
  Group.Size = wireSize;
  Group.startWithFullViews();
  Group.run(seconds(15));

  const seconds Idle(Count > 1000 ? 5 : 20);
  std::vector<std::uint64_t> Bytes;
  std::vector<std::uint64_t> Messages;
  for (MembershipSimulation::Node &N : Group.Nodes) {
    Bytes.push_back(N.BytesSent);
    Messages.push_back(N.MessagesSent);
    N.LargestMessage = 0;
  }
  Group.run(Idle);
  std::uint64_t Sum = 0;
  std::uint64_t Most = 0;
  std::uint64_t SumMessages = 0;
  std::uint64_t Largest = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::uint64_t Sent = Group.Nodes[I].BytesSent - Bytes[I];
    Sum += Sent;
    Most = std::max(Most, Sent);
    SumMessages += Group.Nodes[I].MessagesSent - Messages[I];
    Largest = std::max(Largest, Group.Nodes[I].LargestMessage);
  }
  const auto PerSecond = static_cast<std::uint64_t>(Idle.count());
  const long JoinMs = measureJoin(Group);
  const long RevisionMs = measureRevisionSpread(Group, Count / 2);
  const DetectionTimes Times = measureDetection(Group, 0, Centres);
  std::uint64_t Deaths = 0;
  for (std::size_t I = 1; I < Count; ++I)
    Deaths += Group.count(I, MemberState::Dead);
  std::printf("%zu,%zu,%ld,%.1f,%llu,%llu,%llu,%ld,%ld,%ld,%ld,%ld,%llu\n",
              Count, Centres, JoinMs,
              static_cast<double>(SumMessages) /
                  static_cast<double>(Count * PerSecond),
              printable(Sum / Count / PerSecond), printable(Most / PerSecond),
              printable(Largest), Times.FirstMs, Times.OwnCentreMs,
              Times.HalfMs, Times.AllMs, RevisionMs, printable(Deaths));
  std::fflush(stdout);
}

/// Compares the traffic of one change of a group view for two methods: the
/// watcher sends the view directly to the entry VMs that use the service, or
/// the view is gossiped to all entry VMs on membership messages.
void compareViews() {
  struct Row {
    const char *Name;
    std::size_t Members;
    std::size_t Services;
    /// Number of entry VMs that have callers of the service.
    std::size_t Users;
  };
  // `engravers` is one of the known user deployments. `two years` is a
  // projected deployment with 3,400 entry VMs and 1,600 services.
  const Row Rows[] = {
      {"engravers, every VM has callers of every service", 7, 3, 7},
      {"engravers, balanced so that four VMs use a service", 7, 3, 4},
      {"two years, sessions of a service on 20 VMs", 3400, 1600, 20},
      {"two years, sessions of a service on 200 VMs", 3400, 1600, 200},
      {"two years, a large service on every VM", 3400, 1600, 3400},
  };
  GroupView View;
  View.Service = ServiceName("service-0001");
  View.TermNumber = 12;
  View.Primary = ServerId("db-0001-a");
  View.Confirmed = {12, 123456789};
  for (const char *Id : {"db-0001-a", "db-0001-b", "db-0001-c"})
    View.Servers.push_back(
        {ServerId(Id), true, false, {12, 123456789}, milliseconds(20)});
  peer::Envelope Envelope;
  *Envelope.mutable_group_view_update() = toMessage(View, TimePoint{});
  Envelope.set_sender("vm-0001");
  Envelope.set_incarnation(1700000000000000);
  const std::uint64_t Bytes = encodeEnvelope(Envelope).size();
  // The number of bytes that the view adds to a membership message.
  const std::uint64_t PiggybackBytes =
      Envelope.group_view_update().ByteSizeLong();
  std::printf("one view: %llu bytes encoded, %llu with framing\n",
              printable(Bytes), printable(Bytes + FramingBytes));
  std::printf("case,members,concerned,direct messages,direct bytes,"
              "spread copies,spread bytes\n");
  for (const Row &R : Rows) {
    // Simulates the gossip: every member that has the view adds it to up to
    // 3 * bit_width(n) membership messages. The copies are counted.
    const std::size_t Centres = R.Members >= 300 ? 6 : 3;
    MembershipSimulation Group(R.Members, Centres, 2);
    Group.startWithFullViews();
    Group.run(seconds(2));
    std::vector<unsigned> SendsLeft(R.Members, 0);
    std::vector<bool> Informed(R.Members, false);
    const unsigned MaxSends =
        3 * static_cast<unsigned>(std::bit_width(R.Members));
    std::uint64_t Copies = 0;
    // The revision field represents the view: a message with revision 2 carries
    // the view.
    Group.OnDelivery = [&](std::size_t I, const MembershipMessage &Message) {
      if (Message.Revision == 2 && !Informed[I]) {
        Informed[I] = true;
        SendsLeft[I] = MaxSends;
      }
      const bool Carries = SendsLeft[I] > 0;
      Group.Nodes[I].M->setRevision(Carries ? 2 : 1);
    };
    Group.BeforeTick = [&](std::size_t I) {
      Group.Nodes[I].M->setRevision(SendsLeft[I] > 0 ? 2 : 1);
    };
    Group.Size = [&](const MembershipMessage &Message) -> std::uint64_t {
      if (Message.Revision != 2)
        return 0;
      ++Copies;
      const std::string &Id = Message.Members.front().Id.str();
      const std::size_t I = std::stoul(Id.substr(3));
      if (SendsLeft[I] > 0 && --SendsLeft[I] == 0)
        Group.Nodes[I].M->setRevision(1);
      return PiggybackBytes;
    };
    Informed[0] = true;
    SendsLeft[0] = MaxSends;
    const TimePoint Start = Group.Now;
    while (Group.Now - Start < seconds(30) &&
           !std::all_of(Informed.begin(), Informed.end(),
                        [](bool B) { return B; }))
      Group.run(milliseconds(50));
    const long AllMs = milliSince(Group, Start);
    Group.run(seconds(5));
    std::printf("%s,%zu,%zu,%zu,%llu,%llu,%llu (all have it after %ld ms)\n",
                R.Name, R.Members, R.Users, R.Users - 1,
                printable((R.Users - 1) * (Bytes + FramingBytes)),
                printable(Copies), printable(Copies * PiggybackBytes), AllMs);
    std::fflush(stdout);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const std::vector<std::string> Args(Arguments + 1, Arguments + Count);
  if (!Args.empty() && Args[0] == "views") {
    compareViews();
    return 0;
  }
  if (Args.size() < 3 || Args[0] != "members") {
    std::fputs("usage: membership-cost members SEED COUNT... | "
               "membership-cost views\n",
               stderr);
    return 2;
  }
  std::printf(
      "members,data centres,newcomer ms,messages/s,bytes/s,most bytes/s,"
      "largest message,first dead ms,own data centre ms,half ms,all ms,"
      "revision ms,false deaths\n");
  for (std::size_t I = 2; I < Args.size(); ++I)
    measureMembers(std::stoul(Args[I]), std::stoul(Args[1]));
  return 0;
}
