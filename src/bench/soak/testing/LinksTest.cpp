// Tests of the links of the soak: what a cut does to bytes and connections.
#include "bench/soak/Links.h"

#include "bench/soak/TextStream.h"
#include "testing/fake-platform/TestApplication.h"
#include "wire/Listener.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

using namespace amaranthspur;
using namespace amaranthspur::bench::soak;

namespace {

constexpr Duration Settle = milliseconds(60);

/// Lets the event loop run for \p Time.
void runFor(Duration Time) {
  const TimePoint End = steadyNow() + Time;
  while (steadyNow() < End)
    testApplication().processEvents(QEventLoop::AllEvents, 5);
}

/// An upstream that keeps what it receives.
struct Upstream {
  Upstream() {
    auto Listening =
        listenAt(Address{"127.0.0.1", 0}, [this](QTcpSocket *Socket) {
          ++this->Connections;
          QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                           [this, Socket] {
                             this->Received += Socket->readAll().toStdString();
                           });
          QObject::connect(Socket, &QTcpSocket::disconnected, Socket,
                           [this] { ++this->Ended; });
        });
    REQUIRE(succeeded(Listening));
    this->Server = std::move(valueOf(Listening));
  }
  Address address() const { return {"127.0.0.1", this->Server->serverPort()}; }

  std::unique_ptr<QTcpServer> Server;
  std::string Received;
  unsigned Connections = 0;
  unsigned Ended = 0;
};

/// Opens a connection without waiting for it.
int openConnection(const Address &To) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in At = {};
  At.sin_family = AF_INET;
  At.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Host.c_str(), &At.sin_addr);
  [[maybe_unused]] const int Status = ::connect(
      Descriptor, reinterpret_cast<const sockaddr *>(&At), sizeof(At));
  return Descriptor;
}

bool isConnected(int Descriptor) {
  sockaddr_in Peer = {};
  socklen_t Size = sizeof(Peer);
  return ::getpeername(Descriptor, reinterpret_cast<sockaddr *>(&Peer),
                       &Size) == 0;
}

void sendText(int Descriptor, std::string_view Text) {
  REQUIRE(::send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Text.size()));
}

/// How the sender ends its connection during a cut.
enum class SenderEnd { Stays, Closes, Resets };

void endConnection(int Descriptor, SenderEnd End) {
  if (End == SenderEnd::Stays)
    return;
  const linger Now = {End == SenderEnd::Resets ? 1 : 0, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  ::close(Descriptor);
}

} // namespace

// Guards against a link that loses the bytes of a sender that closed its
// connection during a cut, or that delivers those of one that reset it. The
// late calls of issue 34 differ in this alone.
TEST_CASE("bytes that are sent during a cut") {
  struct Row {
    const char *Name;
    bool Forward;
    bool Backward;
    SenderEnd End;
    Duration DropAfter;
    const char *During;
    const char *Afterwards;
  };
  constexpr Duration Never = NeverDropped;
  const Row Rows[] = {
      {"sender waits", true, true, SenderEnd::Stays, Never, "a", "ab"},
      {"sender closes", true, true, SenderEnd::Closes, Never, "a", "ab"},
      {"sender resets", true, true, SenderEnd::Resets, Never, "a", "a"},
      {"forward only", true, false, SenderEnd::Closes, Never, "a", "ab"},
      {"backward only", false, true, SenderEnd::Stays, Never, "ab", "ab"},
      {"upstream gives up", true, true, SenderEnd::Closes, milliseconds(20),
       "a", "a"},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Upstream Target;
    TaskGroup Tasks;
    Path Cut;
    LinkListener Link(Tasks, "127.0.0.1", Target.address(), &Cut, nullptr,
                      R.DropAfter);
    const int Sender = openConnection(Link.address());
    runFor(Settle);
    sendText(Sender, "a");
    runFor(Settle);
    Cut.cut(R.Forward, R.Backward);
    sendText(Sender, "b");
    runFor(Settle);
    endConnection(Sender, R.End);
    runFor(Settle);
    CHECK(Target.Received == R.During);
    Cut.heal();
    runFor(Settle);
    CHECK(Target.Received == R.Afterwards);
    CHECK(Target.Connections == 1);
    if (R.End != SenderEnd::Stays)
      CHECK(Target.Ended == 1);
    Link.stop();
    runFor(Settle);
    CHECK(Tasks.size() == 0);
    if (R.End == SenderEnd::Stays)
      ::close(Sender);
  }
}

// Guards against a cut of one server that cuts the entry VM's connections to
// the others, and against one of the whole path that spares a part.
TEST_CASE("a cut of a part of a path") {
  struct Row {
    const char *Name;
    bool CutsPart;
    const char *During;
  };
  const Row Rows[] = {{"of the part", true, "other"},
                      {"of the whole", false, ""}};
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Upstream Target;
    TaskGroup Tasks;
    Path Whole;
    Path Part(&Whole);
    Path Other(&Whole);
    LinkListener Link(
        Tasks, "127.0.0.1", Target.address(), nullptr,
        [&](std::string_view Bytes, std::uint16_t) -> Path * {
          if (Bytes.empty())
            return nullptr;
          return Bytes == "part" ? &Part : &Other;
        },
        NeverDropped);
    (R.CutsPart ? Part : Whole).cut(true, true);
    const int First = openConnection(Link.address());
    const int Second = openConnection(Link.address());
    runFor(Settle);
    sendText(First, "part");
    sendText(Second, "other");
    runFor(Settle);
    CHECK(Target.Received == R.During);
    CHECK(Part.isCut());
    CHECK(Other.isCut() != R.CutsPart);
    (R.CutsPart ? Part : Whole).heal();
    runFor(Settle);
    CHECK(Target.Received.size() == std::string_view("partother").size());
    ::close(First);
    ::close(Second);
    runFor(Settle);
    Link.stop();
    runFor(Settle);
    CHECK(Tasks.size() == 0);
  }
}

// Guards against a cut that begins only after the bytes of the call that starts
// it were forwarded.
TEST_CASE("a cut that begins at a call") {
  testApplication();
  Upstream Target;
  TaskGroup Tasks;
  Path Cut;
  Cut.OnForward = [&Cut](std::string_view Bytes) {
    if (Bytes.find("order") != std::string_view::npos)
      Cut.cut(true, true);
  };
  LinkListener Link(Tasks, "127.0.0.1", Target.address(), &Cut, nullptr,
                    NeverDropped);
  const int Sender = openConnection(Link.address());
  runFor(Settle);
  sendText(Sender, "claim ");
  runFor(Settle);
  sendText(Sender, "order");
  runFor(Settle);
  CHECK(Target.Received == "claim ");
  Cut.heal();
  runFor(Settle);
  CHECK(Target.Received == "claim order");
  ::close(Sender);
  runFor(Settle);
  Link.stop();
  CHECK(Tasks.size() == 0);
}

// Guards against a crashed server whose link still accepts connections, which
// the daemon takes for one that runs, and against another address afterwards.
TEST_CASE("a link that refuses connections") {
  testApplication();
  Upstream Target;
  TaskGroup Tasks;
  Path Open;
  LinkListener Link(Tasks, "127.0.0.1", Target.address(), &Open, nullptr,
                    NeverDropped);
  const Address Before = Link.address();
  const int Early = openConnection(Before);
  runFor(Settle);
  Link.setRefusing(true);
  const int Refused = openConnection(Before);
  runFor(Settle);
  CHECK_FALSE(isConnected(Refused));
  CHECK(Target.Connections == 1);
  Link.setRefusing(false);
  CHECK(Link.valid());
  CHECK(Link.address() == Before);
  const int Late = openConnection(Before);
  runFor(Settle);
  CHECK(isConnected(Late));
  CHECK(Target.Connections == 2);
  for (const int Descriptor : {Early, Refused, Late})
    ::close(Descriptor);
  runFor(Settle);
  Link.stop();
  CHECK(Tasks.size() == 0);
}

// Guards against a cut during which new connections are accepted or refused,
// and against one whose own connections reach the upstream at the heal.
TEST_CASE("a connection that is opened during a cut") {
  testApplication();
  Upstream Target;
  TaskGroup Tasks;
  Path Cut;
  LinkListener Link(Tasks, "127.0.0.1", Target.address(), &Cut, nullptr,
                    NeverDropped);
  Cut.cut(true, true);
  const int Sender = openConnection(Link.address());
  runFor(Settle);
  CHECK_FALSE(isConnected(Sender));
  int Failure = 0;
  socklen_t Size = sizeof(Failure);
  ::getsockopt(Sender, SOL_SOCKET, SO_ERROR, &Failure, &Size);
  CHECK(Failure == 0);
  Cut.heal();
  // The kernel sends the first packet again after a second.
  runFor(milliseconds(1300));
  CHECK(isConnected(Sender));
  CHECK(Target.Connections == 1);
  ::close(Sender);
  runFor(Settle);
  Link.stop();
  CHECK(Tasks.size() == 0);
}
