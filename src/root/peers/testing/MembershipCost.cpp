// Measures what Membership costs and how fast it is, against the number of
// members, and compares two ways of spreading group views. Many instances run
// in one process in simulated time: no sockets, no model of the product.
//
// Usage: membership-cost members SEED COUNT... | membership-cost views
#include "policy/Ownership.h"
#include "policy/testing/MembershipGroup.h"
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

/// For printf's %llu.
unsigned long long printable(std::uint64_t Number) { return Number; }

/// TCP, ZMTP and CURVE around one message: 52 bytes of IP and TCP, 9 of the
/// ZMTP frame, 33 of the CURVE MESSAGE command with its nonce and code, as the
/// protocols define them. Acknowledgements and handshakes are not counted.
constexpr std::uint64_t FramingBytes = 52 + 9 + 33;

/// Addresses and names of data centres are shorter here than in a deployment
/// (`h.123:1` for `10.123.45.67:7000`, `dc-0` for `joburg-a`), which keeps the
/// memory of 3,400 instances small.
constexpr std::uint64_t PaddingPerMember = 14;

std::uint64_t wireSize(const MembershipMessage &Message) {
  peer::Envelope Envelope = toEnvelope(Message);
  Envelope.set_sender(Message.Members.front().Id.str());
  Envelope.set_incarnation(1700000000000000);
  return encodeEnvelope(Envelope).size() + FramingBytes +
         PaddingPerMember * Message.Members.size();
}

long milliSince(const MembershipGroup &Group, TimePoint Start) {
  return static_cast<long>(
      std::chrono::duration_cast<milliseconds>(Group.Now - Start).count());
}

struct Detection {
  long FirstMs = 0;
  long OwnCentreMs = 0;
  long HalfMs = 0;
  long AllMs = 0;
};

/// Stops node \p Victim and returns when who holds it for dead.
Detection detect(MembershipGroup &Group, std::size_t Victim,
                 std::size_t Centres) {
  Detection Times;
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

/// Returns when all nodes have seen a revision that one node has got.
long spreadRevision(MembershipGroup &Group, std::size_t Source) {
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

/// Replaces the last node by a new process that has only the platform's list,
/// and returns when it knows everybody.
long join(MembershipGroup &Group) {
  const std::size_t Newcomer = Group.Nodes.size() - 1;
  Group.start(Newcomer);
  Membership &M = *Group.Nodes[Newcomer].M;
  M.setListed(Group.list(), Group.Now);
  const TimePoint Start = Group.Now;
  while (M.stats().Candidates > 0 && Group.Now - Start < seconds(60))
    Group.run(milliseconds(50));
  return milliSince(Group, Start);
}

void measureMembers(std::size_t Count, std::uint64_t Seed) {
  const std::size_t Centres = Count >= 300 ? 6 : (Count < 6 ? 1 : 3);
  MembershipGroup Group(Count, Centres, Seed);
  Group.Size = wireSize;
  Group.startAcquainted();
  Group.run(seconds(15));

  const seconds Idle(Count > 1000 ? 5 : 20);
  std::vector<std::uint64_t> Bytes;
  std::vector<std::uint64_t> Messages;
  for (MembershipGroup::Node &N : Group.Nodes) {
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
  const long NewcomerMs = join(Group);
  const long RevisionMs = spreadRevision(Group, Count / 2);
  const Detection Times = detect(Group, 0, Centres);
  std::uint64_t Deaths = 0;
  for (std::size_t I = 1; I < Count; ++I)
    Deaths += Group.count(I, MemberState::Dead);
  std::printf("%zu,%zu,%ld,%.1f,%llu,%llu,%llu,%ld,%ld,%ld,%ld,%ld,%llu\n",
              Count, Centres, NewcomerMs,
              static_cast<double>(SumMessages) /
                  static_cast<double>(Count * PerSecond),
              printable(Sum / Count / PerSecond), printable(Most / PerSecond),
              printable(Largest), Times.FirstMs, Times.OwnCentreMs,
              Times.HalfMs, Times.AllMs, RevisionMs, printable(Deaths));
  std::fflush(stdout);
}

/// Counts what one change of a group's view costs if its watcher sends it to
/// those concerned, and if it is spread to all as news on membership messages.
void compareViews() {
  struct Row {
    const char *Name;
    std::size_t Members;
    std::size_t Services;
    /// Entry VMs that have callers of one service.
    std::size_t Concerned;
  };
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
  // What is added to a membership message that is sent anyway.
  const std::uint64_t Piggyback = Envelope.group_view_update().ByteSizeLong();
  std::printf("one view: %llu bytes encoded, %llu with framing\n",
              printable(Bytes), printable(Bytes + FramingBytes));
  std::printf("case,members,concerned,direct messages,direct bytes,"
              "spread copies,spread bytes\n");
  for (const Row &R : Rows) {
    // Spread to all: every member that has the news sends it up to
    // 3 * bit_width(n) times, on membership messages; counted in a run.
    const std::size_t Centres = R.Members >= 300 ? 6 : 3;
    MembershipGroup Group(R.Members, Centres, 2);
    Group.startAcquainted();
    Group.run(seconds(2));
    std::vector<unsigned> Left(R.Members, 0);
    std::vector<bool> Has(R.Members, false);
    const unsigned MaxSends =
        3 * static_cast<unsigned>(std::bit_width(R.Members));
    std::uint64_t Copies = 0;
    // The revision field stands for the news: 2 is "carried on this message".
    Group.OnDelivery = [&](std::size_t I, const MembershipMessage &Message) {
      if (Message.Revision == 2 && !Has[I]) {
        Has[I] = true;
        Left[I] = MaxSends;
      }
      const bool Carries = Left[I] > 0;
      Group.Nodes[I].M->setRevision(Carries ? 2 : 1);
    };
    Group.BeforeTick = [&](std::size_t I) {
      Group.Nodes[I].M->setRevision(Left[I] > 0 ? 2 : 1);
    };
    Group.Size = [&](const MembershipMessage &Message) -> std::uint64_t {
      if (Message.Revision != 2)
        return 0;
      ++Copies;
      const std::string &Id = Message.Members.front().Id.str();
      const std::size_t I = std::stoul(Id.substr(3));
      if (Left[I] > 0 && --Left[I] == 0)
        Group.Nodes[I].M->setRevision(1);
      return Piggyback;
    };
    Has[0] = true;
    Left[0] = MaxSends;
    const TimePoint Start = Group.Now;
    while (Group.Now - Start < seconds(30) &&
           !std::all_of(Has.begin(), Has.end(), [](bool B) { return B; }))
      Group.run(milliseconds(50));
    const long AllMs = milliSince(Group, Start);
    Group.run(seconds(5));
    std::printf("%s,%zu,%zu,%zu,%llu,%llu,%llu (all have it after %ld ms)\n",
                R.Name, R.Members, R.Concerned, R.Concerned - 1,
                printable((R.Concerned - 1) * (Bytes + FramingBytes)),
                printable(Copies), printable(Copies * Piggyback), AllMs);
    std::fflush(stdout);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  if (!Words.empty() && Words[0] == "views") {
    compareViews();
    return 0;
  }
  if (Words.size() < 3 || Words[0] != "members") {
    std::fputs("usage: membership-cost members SEED COUNT... | "
               "membership-cost views\n",
               stderr);
    return 2;
  }
  std::printf(
      "members,data centres,newcomer ms,messages/s,bytes/s,most bytes/s,"
      "largest message,first dead ms,own data centre ms,half ms,all ms,"
      "revision ms,false deaths\n");
  for (std::size_t I = 2; I < Words.size(); ++I)
    measureMembers(std::stoul(Words[I]), std::stoul(Words[1]));
  return 0;
}
