#include "root/peers/ZmqPeerNetwork.h"

#include "root/peers/PeerCodec.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTimer>

#include <atomic>
#include <chrono>
#include <csignal>
#include <pthread.h>
#include <thread>

using namespace amaranthspur;

namespace {

constexpr int TimeoutMs = 10000;

QCoreApplication &application() {
  static int Count = 1;
  static char Name[] = "root-peers-test";
  static char *Arguments[] = {Name, nullptr};
  static QCoreApplication Application(Count, Arguments);
  return Application;
}

/// Runs the event loop until \p Done returns true.
/// \returns false after a timeout.
bool runUntil(const std::function<bool()> &Done) {
  application();
  QElapsedTimer Timer;
  Timer.start();
  QTimer Wake;
  Wake.start(10);
  while (!Done()) {
    if (Timer.elapsed() > TimeoutMs)
      return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

std::string freeAddress() {
  application();
  QTcpServer Server;
  Server.listen(QHostAddress::LocalHost, 0);
  return "127.0.0.1:" + std::to_string(Server.serverPort());
}

std::uint64_t startTime() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// A peer network that is started by the constructor and stopped by the
/// destructor.
struct TestPeer {
  explicit TestPeer(const std::string &Id, const std::string &Key = "key",
                    std::uint64_t Revision = 0)
      : Address(freeAddress()) {
    PeerNetworkOptions Options;
    Options.Self = EntryVmId(Id);
    Options.Location = DataCentre("a");
    Options.PeerAddress = this->Address;
    Options.ListenAddress = Options.PeerAddress;
    Options.BindHost = "127.0.0.1";
    Options.DeploymentKey = Key;
    Options.Incarnation = startTime();
    Options.OwnRevision = [Revision] { return Revision; };
    this->Network = std::make_unique<ZmqPeerNetwork>(Options);
    bool Started = false;
    this->Network->start().then(
        [&Started](const Result<Success> &R) { Started = succeeded(R); });
    REQUIRE(runUntil([&Started] { return Started; }));
  }

  ~TestPeer() {
    bool Stopped = false;
    this->Network->stop(steadyNow() + std::chrono::seconds(1)).then([&Stopped] {
      Stopped = true;
    });
    runUntil([&Stopped] { return Stopped; });
  }

  ListedMember listed() const {
    return {this->id(), this->Address, DataCentre("a"), false};
  }
  EntryVmId id() const { return this->Network->members().front().Id; }

  bool sees(const std::string &Other, MemberState State) const {
    for (const Member &M : this->Network->members())
      if (M.Id == EntryVmId(Other) && M.State == State)
        return true;
    return false;
  }

  std::string Address;
  std::unique_ptr<ZmqPeerNetwork> Network;
};

peer::Envelope statement(std::uint64_t Correlation, std::size_t Bytes) {
  peer::Envelope E;
  E.mutable_statement_request()->set_correlation(Correlation);
  E.mutable_statement_request()->set_frames(std::string(Bytes, 'x'));
  return E;
}

} // namespace

// Guards against messages between two peers that are lost, mixed up or out of
// order. Also guards against members from the settings that count as live
// before they have answered.
TEST_CASE("messages are delivered in order to the handler of their kind") {
  TestPeer A("a", "key", 7);
  TestPeer B("b", "key", 8);
  std::vector<std::uint64_t> Received;
  std::string Sender;
  B.Network->setHandler(peer::Envelope::kStatementRequest,
                        [&](const EntryVmId &From, peer::Envelope &Message) {
                          Sender = From.str();
                          Received.push_back(
                              Message.statement_request().correlation());
                        });
  std::uint64_t Reported = 0;
  A.Network->onPeerRevision(
      [&Reported](const EntryVmId &, std::uint64_t R) { Reported = R; });
  unsigned Changes = 0;
  A.Network->addListener([&Changes] { ++Changes; });
  A.Network->addSeeds({{EntryVmId("b"), B.Address, DataCentre("a"), false}});
  CHECK(A.Network->members().size() == 1);
  CHECK_FALSE(A.Network->send(EntryVmId("b"), statement(0, 1)));
  REQUIRE(runUntil([&] {
    return A.sees("b", MemberState::Live) && B.sees("a", MemberState::Live);
  }));
  CHECK(Changes > 0);
  CHECK(Reported == 8);
  for (std::uint64_t I = 1; I <= 500; ++I)
    REQUIRE(A.Network->send(EntryVmId("b"), statement(I, 1000)));
  REQUIRE(runUntil([&] { return Received.size() == 500; }));
  for (std::uint64_t I = 0; I < 500; ++I)
    CHECK(Received[I] == I + 1);
  CHECK(Sender == "a");
  CHECK(B.Network->stats().dropped(PeerDropReason::Malformed) == 0);
}

// Guards against a process that exits or loses a message because a signal
// interrupts a ZeroMQ call.
TEST_CASE("messages are delivered despite interrupting signals") {
  struct sigaction Ignore = {};
  Ignore.sa_handler = [](int /*Number*/) {};
  Ignore.sa_flags = SA_RESTART;
  sigaction(SIGUSR1, &Ignore, nullptr);
  TestPeer A("a", "key", 7);
  TestPeer B("b", "key", 8);
  std::uint64_t Received = 0;
  B.Network->setHandler(
      peer::Envelope::kStatementRequest,
      [&](const EntryVmId &, peer::Envelope &) { ++Received; });
  A.Network->addSeeds({{EntryVmId("b"), B.Address, DataCentre("a"), false}});
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Live); }));
  std::atomic<bool> Done = false;
  std::thread Sender([&Done, Main = pthread_self()] {
    while (!Done) {
      pthread_kill(Main, SIGUSR1);
      std::this_thread::sleep_for(std::chrono::microseconds(5));
    }
  });
  constexpr std::uint64_t Rounds = 100;
  constexpr std::uint64_t Messages = 100;
  bool Complete = true;
  for (std::uint64_t I = 1; I <= Rounds && Complete; ++I) {
    for (std::uint64_t J = 0; J < Messages; ++J)
      A.Network->send(EntryVmId("b"), statement(J, 100));
    Complete = runUntil([&] { return Received == I * Messages; });
  }
  Done = true;
  Sender.join();
  CHECK(Received == Rounds * Messages);
}

// Guards against accepting a VM of another deployment.
TEST_CASE("peers with different deployment keys cannot communicate") {
  TestPeer A("a", "key one");
  TestPeer B("b", "key two");
  TestPeer C("c", "key one");
  A.Network->addSeeds({{EntryVmId("b"), B.Address, DataCentre("a"), false},
                       {EntryVmId("c"), C.Address, DataCentre("a"), false}});
  B.Network->addSeeds({{EntryVmId("a"), A.Address, DataCentre("a"), false}});
  REQUIRE(runUntil([&] { return A.sees("c", MemberState::Live); }));
  runUntil([Until = steadyNow() + milliseconds(500)] {
    return steadyNow() > Until;
  });
  CHECK(A.Network->members().size() == 2);
  CHECK(B.Network->members().size() == 1);
  CHECK(B.Network->stats().MessagesReceived == 0);
}

// Guards against unbounded memory use while a peer does not accept messages,
// and against a send() that does not report the full queue.
TEST_CASE("a full send queue rejects further messages") {
  struct Row {
    const char *Name;
    std::size_t MessageBytes;
    std::size_t MostAccepted;
  };
  const Row Rows[] = {
      {"count", 10, MaxPeerQueueMessages + 1},
      {"bytes", 1U << 20U, 8},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PeerNetworkStats Stats;
    zmq::context_t Context;
    const PeerTransport Transport{&Context, deriveCurveKeys("key"), "", &Stats};
    // No process listens at this address, so no connection is completed.
    PeerLink Link(Transport, freeAddress(), [](peer::Envelope &) {});
    std::size_t Accepted = 0;
    while (Accepted <= R.MostAccepted &&
           Link.send(std::string(R.MessageBytes, 'x'), PeerTraffic::Data))
      ++Accepted;
    CHECK(Accepted <= R.MostAccepted);
    CHECK(Accepted + 1 >= R.MostAccepted);
    CHECK(Stats.dropped(PeerDropReason::SendQueueFull) == 1);
    Link.expire(steadyNow() + PeerLink::MaxSendWait + milliseconds(1));
    CHECK(Link.send("x", PeerTraffic::Data));
  }
}

// Guards against a receive queue that grows without bound because its consumer
// is slow.
TEST_CASE("a full receive queue drops and counts messages") {
  PeerNetworkStats Stats;
  zmq::context_t Context;
  const PeerTransport Transport{&Context, deriveCurveKeys("key"), "", &Stats};
  PeerLink Link(Transport, freeAddress(), [](peer::Envelope &) {});
  for (std::size_t I = 0; I < MaxPeerQueueMessages; ++I)
    REQUIRE(Link.receive(statement(I, 1), 10));
  CHECK_FALSE(Link.receive(statement(0, 1), 10));
  CHECK(Stats.dropped(PeerDropReason::ReceiveQueueFull) == 1);
}

// Guards against a large message that exhausts the memory of the receiver.
TEST_CASE("an oversized message is rejected by sender and receiver") {
  TestPeer A("a");
  TestPeer B("b");
  A.Network->addSeeds({B.listed()});
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Live); }));
  CHECK_FALSE(
      A.Network->send(EntryVmId("b"), statement(1, MaxPeerMessageBytes + 1)));
  CHECK(A.Network->stats().dropped(PeerDropReason::TooLarge) == 1);

  // This sender has the key but does not enforce the size limit.
  const CurveKeys Keys = deriveCurveKeys("key");
  zmq::context_t Context;
  zmq::socket_t Raw(Context, zmq::socket_type::dealer);
  Raw.set(zmq::sockopt::linger, 0);
  Raw.set(zmq::sockopt::curve_serverkey, Keys.PublicKey);
  Raw.set(zmq::sockopt::curve_publickey, Keys.PublicKey);
  Raw.set(zmq::sockopt::curve_secretkey, Keys.SecretKey);
  Raw.connect("tcp://" + B.Address);
  const std::uint64_t Before =
      B.Network->stats().dropped(PeerDropReason::Malformed);
  const std::string Large(MaxPeerMessageBytes + 1, 'x');
  REQUIRE(Raw.send(zmq::buffer(Large), zmq::send_flags::none));
  REQUIRE(Raw.send(zmq::buffer(std::string("junk")), zmq::send_flags::none));
  const std::uint64_t BytesBefore = B.Network->stats().BytesReceived;
  // The receiver closes the connection when the large message arrives, and
  // messages on that connection are lost. Invalid messages are therefore sent
  // until one has arrived over a new connection.
  REQUIRE(runUntil([&] {
    (void)Raw.send(zmq::buffer(std::string("junk")), zmq::send_flags::dontwait);
    return B.Network->stats().dropped(PeerDropReason::Malformed) > Before;
  }));
  CHECK(B.Network->stats().BytesReceived - BytesBefore < Large.size());
}

// Guards against a handler that receives a message from an earlier process of a
// member or from a sender that is not a member.
TEST_CASE("a message with an invalid sender or incarnation is dropped") {
  TestPeer B("b");
  TestPeer C("c");
  B.Network->addSeeds({C.listed()});
  REQUIRE(runUntil([&] { return B.sees("c", MemberState::Live); }));
  unsigned Handled = 0;
  B.Network->setHandler(
      peer::Envelope::kStatementRequest,
      [&Handled](const EntryVmId &, peer::Envelope &) { ++Handled; });
  const std::uint64_t Now = startTime();
  struct Row {
    const char *Name;
    const char *Sender;
    std::uint64_t Incarnation;
    bool Plausible;
  };
  const Row Rows[] = {
      {"unknown sender", "stranger", Now, false},
      {"the receiver itself", "b", Now, false},
      {"earlier process", "c", Now - 3600000000U, false},
      {"start in the future", "c", Now + 7200000000U, false},
      {"member", "c", Now, true},
  };
  const CurveKeys Keys = deriveCurveKeys("key");
  zmq::context_t Context;
  zmq::socket_t Raw(Context, zmq::socket_type::dealer);
  Raw.set(zmq::sockopt::linger, 0);
  Raw.set(zmq::sockopt::curve_serverkey, Keys.PublicKey);
  Raw.set(zmq::sockopt::curve_publickey, Keys.PublicKey);
  Raw.set(zmq::sockopt::curve_secretkey, Keys.SecretKey);
  Raw.connect("tcp://" + B.Address);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const unsigned HandledBefore = Handled;
    const std::uint64_t DroppedBefore =
        B.Network->stats().dropped(PeerDropReason::Implausible);
    peer::Envelope E = statement(1, 10);
    E.set_sender(R.Sender);
    E.set_incarnation(R.Incarnation);
    REQUIRE(Raw.send(zmq::buffer(encodeEnvelope(E)), zmq::send_flags::none));
    REQUIRE(runUntil([&] {
      return Handled > HandledBefore ||
             B.Network->stats().dropped(PeerDropReason::Implausible) >
                 DroppedBefore;
    }));
    CHECK((Handled > HandledBefore) == R.Plausible);
  }
}

// Guards against a leaving VM that still gets work, and against a stopped VM
// that remains a live member.
TEST_CASE("other members detect leaving and stopped members") {
  TestPeer A("a");
  auto B = std::make_unique<TestPeer>("b");
  A.Network->addSeeds({B->listed()});
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Live); }));
  B->Network->leave();
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Leaving); }));
  B.reset();
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Dead); }));
  CHECK_FALSE(A.Network->send(EntryVmId("b"), statement(1, 1)));
}

// Guards against a network that the supervisor cannot restart after a failure.
TEST_CASE("the network delivers messages again after a restart") {
  TestPeer A("a");
  TestPeer B("b");
  A.Network->addSeeds({B.listed()});
  REQUIRE(runUntil([&] { return A.sees("b", MemberState::Live); }));
  bool Restarted = false;
  const auto Restart = [&]() -> QCoro::Task<> {
    co_await A.Network->stop(steadyNow());
    while (!Restarted) {
      const Result<Success> Started = co_await A.Network->start();
      Restarted = succeeded(Started);
      if (!Restarted)
        co_await sleepFor(milliseconds(10));
    }
  };
  const QCoro::Task<> Running = Restart();
  REQUIRE(runUntil([&] { return Restarted; }));
  CHECK(A.sees("b", MemberState::Live));
  unsigned Handled = 0;
  A.Network->setHandler(
      peer::Envelope::kStatementRequest,
      [&Handled](const EntryVmId &, peer::Envelope &) { ++Handled; });
  REQUIRE(runUntil([&] {
    (void)B.Network->send(EntryVmId("a"), statement(1, 1));
    return Handled > 0;
  }));
}
