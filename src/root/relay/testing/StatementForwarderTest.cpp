#include "root/relay/StatementForwarder.h"

#include "root/relay/RelayListener.h"
#include "testing/Processes.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

using namespace amaranthspur;

namespace {

QCoro::Task<> pause(Duration Length) { co_await sleepFor(Length); }

/// Answers the statements that are forwarded to it.
class FakeHome {
public:
  explicit FakeHome(std::string Token)
      : Token(std::move(Token)), Port(freePort("127.0.0.1")) {
    this->start();
  }

  void start() {
    const Result<Success> Listening = this->Listener.listen(
        this->Context, this->address(),
        [this](const RelayListener::Peer &From, const relay::Request &Asked) {
          this->answer(From, Asked);
        });
    REQUIRE(succeeded(Listening));
  }
  void close() { this->Listener.close(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port);
  }

  std::string Token;
  quint16 Port;
  bool IsStopping = false;
  unsigned Ran = 0;
  Duration Remaining{}; ///< Of the last statement.

private:
  void answer(const RelayListener::Peer &From, const relay::Request &Asked) {
    relay::Reply Reply;
    Reply.set_correlation(Asked.correlation());
    if (this->IsStopping || Asked.token() != this->Token) {
      Reply.mutable_not_relay();
    } else {
      ++this->Ran;
      this->Remaining = Duration(Asked.read().deadline_us());
      Reply.mutable_read()->set_server("i-1");
    }
    this->Listener.reply(From, Reply);
  }

  zmq::context_t Context{1};
  RelayListener Listener;
};

/// A network path to a home. While it is cut, connections stay open and nothing
/// passes.
class Path {
public:
  explicit Path(quint16 HomePort) : HomePort(HomePort) {
    REQUIRE(this->Server.listen(QHostAddress::LocalHost));
    QObject::connect(&this->Server, &QTcpServer::newConnection, [this] {
      while (QTcpSocket *Client = this->Server.nextPendingConnection())
        this->join(Client);
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Server.serverPort());
  }

  bool IsCut = false;

private:
  void join(QTcpSocket *Client) {
    auto *Upstream = new QTcpSocket(Client);
    Upstream->connectToHost(QHostAddress::LocalHost, this->HomePort);
    this->pass(Client, Upstream);
    this->pass(Upstream, Client);
    QObject::connect(Upstream, &QTcpSocket::disconnected, Client,
                     [Client] { Client->abort(); });
    QObject::connect(Client, &QTcpSocket::disconnected, Upstream,
                     [Client] { Client->deleteLater(); });
  }
  void pass(QTcpSocket *From, QTcpSocket *To) {
    QObject::connect(From, &QTcpSocket::readyRead, To, [this, From, To] {
      const QByteArray Bytes = From->readAll();
      if (!this->IsCut)
        To->write(Bytes);
    });
  }

  quint16 HomePort;
  QTcpServer Server;
};

const DataCentre Here("a1");
const DataCentre Near("a2");
const DataCentre Far("b1");

/// A sender with a forwarder of its own data centre and one of another.
struct Fixture {
  Fixture() {
    this->Sender.setForwarders(
        this->Context, {{EntryVmId("own"), this->Own.address(), 50}}, "own");
    this->setRemote("remote");
    this->Query.Service = ServiceName("s");
    this->Query.Of = WorkspaceName("w");
    this->Query.Role = HomeRole::Primary;
    this->Query.Primary = Far;
  }
  ~Fixture() { this->Sender.close(); }

  void setRemote(const std::string &Token) {
    this->Sender.setRemoteForwarders(
        this->Context,
        {{Far, Token, {{EntryVmId("remote"), this->Link.address(), 50}}}});
  }

  ForwardResult forward(StatementVerb Kind) {
    ForwardedStatement Given;
    Given.Service = this->Query.Service;
    Given.Workspace = this->Query.Of;
    Given.Query.Id = "q1";
    Given.Query.Kind = Kind;
    Given.Query.Text = "READ item";
    Given.AtPrimary = Kind == StatementVerb::Read;
    Given.Remaining = Given.DispatchIn = Given.QueuedDispatchIn =
        milliseconds(600);
    return runTask(this->Sender.forward(this->Query, Given));
  }

  /// Returns which forwarder answers a read now; empty for none.
  std::string answering() {
    if (this->Sender.homeOf(this->Query) != HomePlace::OtherVm)
      return "";
    const TimePoint Start = steadyNow();
    const ForwardResult Out = this->forward(StatementVerb::Read);
    // An unusable home must not delay a statement; Patience is 400 ms.
    CHECK(steadyNow() - Start < milliseconds(300));
    return Out.Given.Forwarder.str();
  }

  void awaitAnswering(const std::string &Vm) {
    const TimePoint Limit = steadyNow() + std::chrono::seconds(10);
    while (this->answering() != Vm) {
      REQUIRE(steadyNow() < Limit);
      runTask(pause(milliseconds(20)));
    }
  }

  zmq::context_t Context{1};
  FakeHome Own{"own"};
  FakeHome Remote{"remote"};
  Path Link{this->Remote.Port};
  StatementForwarder Sender{
      EntryVmId("sender"),
      {Here, {{Here, Region("a")}, {Near, Region("a")}, {Far, Region("b")}}}};
  HomeQuery Query;
};

} // namespace

// Guards against a statement that waits for a home in another data centre which
// cannot be used, against a second execution of a write that such a home may
// have run, and against homes that stay unused after their fault.
TEST_CASE("a home in another data centre that fails is replaced") {
  struct Row {
    const char *Name;
    StatementVerb Kind;
    std::function<void(Fixture &)> Fault;
    std::function<void(Fixture &)> Repair;
    ForwardFate Fate; ///< Of the first statement after the fault.
    unsigned Ran;
  };
  const auto Cut = [](Fixture &F) { F.Link.IsCut = true; };
  const auto Join = [](Fixture &F) { F.Link.IsCut = false; };
  const auto Stop = [](Fixture &F) { F.Remote.IsStopping = true; };
  const auto Restart = [](Fixture &F) { F.Remote.IsStopping = false; };
  const auto ChangeToken = [](Fixture &F) { F.Remote.Token = "new"; };
  const auto LearnToken = [](Fixture &F) { F.setRemote("new"); };
  const StatementVerb Read = StatementVerb::Read;
  const StatementVerb Write = StatementVerb::Write;
  const Row Rows[] = {
      {"no fault, read", Read, [](Fixture &) {}, [](Fixture &) {},
       ForwardFate::Answered, 1},
      {"cut off, read", Read, Cut, Join, ForwardFate::Unknown, 0},
      {"cut off, write", Write, Cut, Join, ForwardFate::Unknown, 0},
      {"it stops, read", Read, Stop, Restart, ForwardFate::NotRun, 0},
      {"it stops, write", Write, Stop, Restart, ForwardFate::NotRun, 0},
      {"the token is old, read", Read, ChangeToken, LearnToken,
       ForwardFate::NotRun, 0},
      {"the token is old, write", Write, ChangeToken, LearnToken,
       ForwardFate::NotRun, 0},
  };
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.awaitAnswering("remote");
    const unsigned Before = F.Remote.Ran;
    R.Fault(F);
    const ForwardResult Out = F.forward(R.Kind);
    CHECK(Out.Fate == R.Fate);
    CHECK(F.Remote.Ran - Before == R.Ran);
    if (R.Fate == ForwardFate::Answered)
      continue;
    // Statements go to the own data centre at once.
    for (int I = 0; I < 3; ++I)
      CHECK(F.answering() == "own");
    // No further statement is lost at a home that is still cut off.
    if (F.Link.IsCut) {
      runTask(pause(StatementForwarder::AvoidTime + milliseconds(200)));
      for (int I = 0; I < 3; ++I)
        CHECK(F.answering() == "own");
    }
    R.Repair(F);
    F.awaitAnswering("remote");
  }
}

// Guards against a statement that waits while a link is opened, or is lost when
// a home has closed its connections.
TEST_CASE("a home without an open link is passed over") {
  testApplication();
  Fixture F;
  HomeQuery WithoutPrimary = F.Query;
  WithoutPrimary.Primary = DataCentre();
  const TimePoint Limit = steadyNow() + std::chrono::seconds(10);
  while (F.Sender.homeOf(WithoutPrimary) != HomePlace::OtherVm) {
    REQUIRE(steadyNow() < Limit);
    runTask(pause(milliseconds(20)));
  }
  CHECK(F.Sender.remoteLinks() == 0);
  CHECK(F.answering() == "own");
  CHECK(F.Sender.remoteLinks() == 1);
  F.awaitAnswering("remote");
  F.Remote.close();
  runTask(pause(milliseconds(100)));
  for (int I = 0; I < 3; ++I)
    CHECK(F.answering() == "own");
  F.Own.close();
  runTask(pause(milliseconds(100)));
  CHECK(F.answering().empty());
  F.Remote.start();
  F.awaitAnswering("remote");
}

// Guards against links to forwarders that are not used or not listed any more,
// and against a home whose answer reaches the sender after its deadline.
TEST_CASE("links to other data centres follow the list and their latency") {
  struct Row {
    const char *Name;
    DataCentre Place;
    Duration LeastReserve; ///< For the round trip.
  };
  const Row Rows[] = {{"same region", Near, milliseconds(2)},
                      {"other region", Far, milliseconds(16)}};
  testApplication();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    F.Sender.setRemoteForwarders(
        F.Context, {{R.Place,
                     "remote",
                     {{EntryVmId("remote"), F.Link.address(), 50},
                      {EntryVmId("sender"), F.Own.address(), 50}}}});
    F.Query.Primary = R.Place;
    // Statements of other regions open no link.
    HomeQuery Elsewhere = F.Query;
    Elsewhere.Primary = DataCentre("c1");
    F.Sender.homeOf(Elsewhere);
    CHECK(F.Sender.remoteLinks() == 0);
    unsigned Name = 0;
    while (F.Sender.homeOf(F.Query) != HomePlace::OtherVm ||
           F.answering() != "remote") {
      REQUIRE(++Name < 500);
      F.Query.Service = ServiceName("s" + std::to_string(Name));
      runTask(pause(milliseconds(5)));
    }
    CHECK(F.Sender.remoteLinks() == 1);
    CHECK(F.Remote.Remaining <= milliseconds(600) - R.LeastReserve);
    F.Sender.setRemoteForwarders(F.Context, {});
    CHECK(F.Sender.remoteLinks() == 0);
    CHECK(F.answering() == "own");
  }
}
