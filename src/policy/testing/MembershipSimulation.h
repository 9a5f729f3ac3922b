// A simulation of many members in one process and in simulated time, with
// message delay, message loss, partitions, pauses and restarts. It is used by
// the tests of Membership and for measuring the cost of the protocol. It does
// not simulate any other part of the daemon.
#ifndef AMARANTHSPUR_POLICY_TESTING_MEMBERSHIPSIMULATION_H
#define AMARANTHSPUR_POLICY_TESTING_MEMBERSHIPSIMULATION_H

#include "core/Random.h"
#include "policy/Membership.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace amaranthspur::testing {

/// Runs the members of one simulated deployment.
class MembershipSimulation {
public:
  /// One simulated process.
  struct Node {
    std::unique_ptr<Membership> M;
    Member Start;
    bool Running = false;
    TimePoint PausedUntil{};
    std::uint64_t BytesSent = 0;
    std::uint64_t MessagesSent = 0;
    std::uint64_t LargestMessage = 0;
  };

  /// Returns the size of an encoded message in bytes.
  using SizeOf = std::function<std::uint64_t(const MembershipMessage &)>;

  MembershipSimulation(std::size_t Count, std::size_t Centres,
                       std::uint64_t Seed)
      : Rng(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Node N;
      N.Start.Id = EntryVmId("vm-" + std::to_string(I));
      N.Start.PeerAddress = "h." + std::to_string(I) + ":1";
      N.Start.Location = DataCentre("dc-" + std::to_string(I % Centres));
      N.Start.Incarnation = 1000000;
      this->Nodes.push_back(std::move(N));
    }
  }

  std::vector<ListedMember> list() const {
    std::vector<ListedMember> List;
    List.reserve(this->Nodes.size());
    for (const Node &N : this->Nodes)
      List.push_back(
          {N.Start.Id, N.Start.PeerAddress, N.Start.Location, false});
    return List;
  }

  /// Starts node \p I with a new incarnation.
  void start(std::size_t I) {
    Node &N = this->Nodes[I];
    N.Start.Incarnation += 1000000;
    N.Start.State = MemberState::Live;
    N.M = makeSwimMembership(N.Start);
    if (!N.Running)
      this->push({this->Now + Duration(this->Rng.below(50000)), I, 0, {}, {}});
    N.Running = true;
  }

  void startAll() {
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      this->start(I);
      this->Nodes[I].M->setListed(this->list(), this->Now);
    }
  }

  /// Starts all nodes and gives each of them the entries of all others at once,
  /// as if they had been running for a long time.
  void startWithFullViews() {
    std::vector<Member> All;
    All.reserve(this->Nodes.size());
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      this->start(I);
      All.push_back(this->Nodes[I].Start);
    }
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      for (std::size_t First = 0; First < All.size();
           First += Membership::MaxSampleEntries) {
        // The entries come from a member of the same data centre, because its
        // reports are accepted for all data centres.
        const std::size_t Last =
            std::min(First + Membership::MaxSampleEntries, All.size());
        for (std::size_t J = 0; J < All.size(); ++J) {
          if (J == I || All[J].Location != All[I].Location)
            continue;
          MembershipMessage Sample;
          Sample.Kind = MembershipMessageKind::Ack;
          Sample.Subject = All[J].Id;
          Sample.Members.assign(
              All.begin() + static_cast<std::ptrdiff_t>(First),
              All.begin() + static_cast<std::ptrdiff_t>(Last));
          Sample.Members.push_back(All[J]);
          (void)this->Nodes[I].M->onMessage(All[J].Id, All[J].Incarnation,
                                            Sample, this->Now, this->Rng);
          break;
        }
      }
  }

  void stop(std::size_t I) { this->Nodes[I].Running = false; }

  /// Pauses node \p I. Its ticks and messages are delayed until it resumes.
  void pause(std::size_t I, Duration Length) {
    this->Nodes[I].PausedUntil = this->Now + Length;
  }

  void run(Duration Length) {
    const TimePoint End = this->Now + Length;
    while (!this->Events.empty() && this->Events.top().At <= End) {
      const Event E = this->Events.top();
      this->Events.pop();
      this->Now = E.At;
      this->handle(E);
    }
    this->Now = End;
  }

  /// Returns the state of \p About in the view of \p Viewer, or nothing.
  std::optional<MemberState> view(std::size_t Viewer, std::size_t About) const {
    const auto Found = this->Nodes[Viewer].M->find(this->Nodes[About].Start.Id);
    if (!Found)
      return std::nullopt;
    return Found->State;
  }

  /// Returns the number of running nodes whose view of \p About is \p State.
  std::size_t count(std::size_t About, std::optional<MemberState> State) const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      if (this->Nodes[I].Running && I != About && this->view(I, About) == State)
        ++Count;
    return Count;
  }

  std::size_t running() const {
    std::size_t Count = 0;
    for (const Node &N : this->Nodes)
      Count += N.Running ? 1 : 0;
    return Count;
  }

  TimePoint Now{std::chrono::seconds(1000)};
  Random Rng;
  std::vector<Node> Nodes;
  double Loss = 0;
  /// Returns whether messages from one node to another are delivered.
  std::function<bool(std::size_t, std::size_t)> IsReachable =
      [](std::size_t, std::size_t) { return true; };
  SizeOf Size;
  /// Called before each tick of a node.
  std::function<void(std::size_t)> BeforeTick = [](std::size_t) {};
  /// Called for each message that is delivered.
  std::function<void(std::size_t, const MembershipMessage &)> OnDelivery =
      [](std::size_t, const MembershipMessage &) {};

private:
  struct Event {
    TimePoint At;
    std::size_t Node = 0;
    std::uint64_t Order = 0;
    EntryVmId From; ///< The sender of the message, or empty for a tick.
    std::pair<std::uint64_t, std::shared_ptr<MembershipMessage>> Message;
    bool operator<(const Event &O) const {
      return this->At != O.At ? this->At > O.At : this->Order > O.Order;
    }
  };

  void push(Event E) {
    E.Order = this->NextOrder++;
    this->Events.push(std::move(E));
  }

  void handle(const Event &E) {
    Node &N = this->Nodes[E.Node];
    if (!N.Running)
      return;
    if (this->Now < N.PausedUntil) {
      Event Later = E;
      Later.At = N.PausedUntil;
      this->push(std::move(Later));
      return;
    }
    if (E.From.empty()) {
      this->BeforeTick(E.Node);
      this->send(E.Node, N.M->tick(this->Now, this->Rng));
      this->push({this->Now + Membership::TickInterval, E.Node, 0, {}, {}});
      return;
    }
    this->OnDelivery(E.Node, *E.Message.second);
    this->send(E.Node, N.M->onMessage(E.From, E.Message.first,
                                      *E.Message.second, this->Now, this->Rng)
                           .Messages);
  }

  void send(std::size_t From, std::vector<OutgoingMembershipMessage> Out) {
    Node &Sender = this->Nodes[From];
    for (OutgoingMembershipMessage &O : Out) {
      if (this->Size) {
        const std::uint64_t Bytes = this->Size(O.Message);
        Sender.BytesSent += Bytes;
        Sender.LargestMessage = std::max(Sender.LargestMessage, Bytes);
      }
      ++Sender.MessagesSent;
      const std::size_t Start = O.Address.rfind('.') + 1;
      const std::size_t To = std::stoul(O.Address.substr(Start));
      if (!this->IsReachable(From, To) || this->Rng.unit() < this->Loss)
        continue;
      const bool SameCentre =
          Sender.Start.Location == this->Nodes[To].Start.Location;
      const Duration Delay(SameCentre ? 300 + this->Rng.below(700)
                                      : 8000 + this->Rng.below(2000));
      this->push({this->Now + Delay,
                  To,
                  0,
                  Sender.Start.Id,
                  {Sender.M->self().Incarnation,
                   std::make_shared<MembershipMessage>(std::move(O.Message))}});
    }
  }

  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
};

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_TESTING_MEMBERSHIPSIMULATION_H
