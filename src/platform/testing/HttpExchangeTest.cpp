#include "core/Async.h"
#include "platform/HttpClient.h"
#include "testing/HeldListener.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

constexpr const char *Answered =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Serves one request after another until the tests end. Each response is sent
/// in its parts, one every 10 ms. A response without parts closes the
/// connection.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<std::vector<std::string>> Script)
      : Script(std::move(Script)) {
    testApplication();
    this->serve();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;
  ~ScriptedServer() {
    this->Stopping = true;
    runTask([](ScriptedServer &S) -> QCoro::Task<> {
      co_await S.Tasks.waitUntilEmpty();
    }(*this));
  }

  Address address() const { return this->Listener.address(); }

  std::vector<std::string> Requests;
  int Connections = 0;
  bool ClosesAfterAnswer = false;

private:
  QCoro::Task<> serve() {
    const TaskGroup::Guard Guard(this->Tasks);
    while (!this->Stopping) {
      if (this->Listener.acceptNext())
        ++this->Connections;
      if (this->Listener.holdsBytes()) {
        const std::string Request = this->Listener.read();
        if (!Request.empty())
          co_await this->answer(Request);
        else
          this->Listener.closeConnection();
      }
      co_await sleepFor(milliseconds(2));
    }
  }

  QCoro::Task<> answer(std::string Request) {
    const std::size_t Index = this->Requests.size();
    this->Requests.push_back(std::move(Request));
    const std::vector<std::string> Parts =
        Index < this->Script.size() ? this->Script[Index]
                                    : std::vector<std::string>{Answered};
    for (const std::string &Part : Parts) {
      this->Listener.write(Part);
      co_await sleepFor(milliseconds(10));
    }
    if (Parts.empty() || this->ClosesAfterAnswer)
      this->Listener.closeConnection();
  }

  std::vector<std::vector<std::string>> Script;
  HeldListener Listener;
  TaskGroup Tasks;
  bool Stopping = false;
};

Result<HttpResponse> request(HttpClient &Client, const char *Verb) {
  HttpRequest Request{Verb, "/x"};
  if (Request.Verb != "GET")
    Request.Body = "body";
  return runTask(
      Client.send(std::move(Request), steadyNow() + milliseconds(400)));
}

} // namespace

// Guards against a response that is cut, mixed with the next one or accepted
// although it is incomplete.
TEST_CASE("responses are read to their end however it is marked") {
  struct Row {
    const char *Name;
    std::vector<std::string> Parts;
    bool Closes;
    std::optional<std::string> Body; ///< Nothing if the call fails.
  };
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const Row Rows[] = {
      {"by its length", {Answered}, false, "ok"},
      {"split in its head",
       {"HTTP/1.1 20", "0 OK\r\nContent-Le", "ngth: 2\r\n\r", "\no", "k"},
       false,
       "ok"},
      {"in chunks",
       {Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "3\r\n123\r\n",
        "0\r\n\r\n"},
       false,
       "ok123"},
      {"by the end of the connection",
       {Head + "Connection: close\r\n\r\nok", "123"},
       true,
       "ok123"},
      {"after an interim response",
       {"HTTP/1.1 100 Continue\r\n\r\n", Answered},
       false,
       "ok"},
      {"an interim response in the same segment",
       {std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + Answered},
       false,
       "ok"},
      {"without a body", {"HTTP/1.1 204 No Content\r\n\r\n"}, false, ""},
      {"cut in its body",
       {Head + "Content-Length: 9\r\n\r\nok"},
       true,
       std::nullopt},
      {"cut in a chunk",
       {Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nok"},
       true,
       std::nullopt},
      {"too large",
       {Head + "Content-Length: 99999999\r\n\r\nok"},
       false,
       std::nullopt},
      {"not HTTP", {"ERROR\r\n\r\n"}, false, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ScriptedServer Server({R.Parts});
    Server.ClosesAfterAnswer = R.Closes;
    HttpClient Client(Server.address());
    const Result<HttpResponse> First = request(Client, "GET");
    CHECK(succeeded(First) == R.Body.has_value());
    if (succeeded(First) && R.Body)
      CHECK(valueOf(First).Body.toStdString() == *R.Body);
    const Result<HttpResponse> Next = request(Client, "GET");
    REQUIRE(succeeded(Next));
    CHECK(valueOf(Next).Body == "ok");
  }
}

// Guards against a write that arrives twice because its connection ended
// without an answer, and against a read that fails because the server had
// closed an idle connection.
TEST_CASE("only a read on an existing connection is sent again") {
  struct Row {
    const char *Name;
    const char *Verb;
    bool Reused;
    bool Succeeds;
    std::size_t Arrivals; ///< Of the request whose connection is closed.
  };
  const Row Rows[] = {
      {"a write on a new connection", "POST", false, false, 1},
      {"a write on an existing connection", "POST", true, false, 1},
      {"an object on an existing connection", "PUT", true, false, 1},
      {"a read on a new connection", "GET", false, false, 1},
      {"a read on an existing connection", "GET", true, true, 2},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<std::vector<std::string>> Script;
    if (R.Reused)
      Script.push_back({Answered});
    const std::size_t Before = Script.size();
    Script.push_back({});
    ScriptedServer Server(Script);
    HttpClient Client(Server.address());
    if (R.Reused)
      REQUIRE(succeeded(request(Client, "GET")));
    CHECK(succeeded(request(Client, R.Verb)) == R.Succeeds);
    runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(100)); }());
    CHECK(Server.Requests.size() - Before == R.Arrivals);
    CHECK(Server.Connections == static_cast<int>(R.Arrivals));
  }
}

// Guards against more parallel connections than the limit, and against requests
// that wait behind long polls on dead connections.
TEST_CASE("the number of parallel connections is limited") {
  struct Row {
    const char *Name;
    bool Fresh;
    std::size_t Arrive; ///< Of two more requests, one after the other.
  };
  const Row Rows[] = {
      {"other requests wait", false, 0},
      {"one requires a new connection, and the next follows one without an "
       "answer",
       true, 2},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    HeldListener Listener;
    HttpClient Client(Listener.address());
    testApplication();
    TaskGroup Polls;
    for (std::size_t I = 0; I < HttpClient::MaxConnections; ++I)
      [](HttpClient &Client, TaskGroup &Polls) -> QCoro::Task<> {
        const TaskGroup::Guard Guard(Polls);
        HttpRequest Poll{"GET", "/poll"};
        co_await Client.send(std::move(Poll), steadyNow() + milliseconds(400));
      }(Client, Polls);
    for (const bool Fresh : {R.Fresh, false}) {
      HttpRequest Other{"GET", "/other"};
      Other.FreshConnection = Fresh;
      const Result<HttpResponse> Unanswered = runTask(
          Client.send(std::move(Other), steadyNow() + milliseconds(100)));
      CHECK_FALSE(succeeded(Unanswered));
    }
    std::size_t Opened = 0;
    while (Listener.acceptNext())
      ++Opened;
    CHECK(Opened == HttpClient::MaxConnections + R.Arrive);
    runTask([](TaskGroup &Polls) -> QCoro::Task<> {
      co_await Polls.waitUntilEmpty();
    }(Polls));
  }
}

// Guards against connections that are kept although no request uses them again:
// orders that the platform refuses for the moment are repeated every 50 ms.
TEST_CASE("a request that requires a new connection leaves none behind") {
  testApplication();
  QTcpServer Server;
  std::vector<QTcpSocket *> Accepted;
  QObject::connect(&Server, &QTcpServer::newConnection, &Server, [&] {
    while (QTcpSocket *S = Server.nextPendingConnection()) {
      Accepted.push_back(S);
      QObject::connect(S, &QTcpSocket::readyRead, S, [S] {
        S->readAll();
        S->write(Answered);
      });
    }
  });
  REQUIRE(Server.listen(QHostAddress::LocalHost));
  HttpClient Client(Address{"127.0.0.1", Server.serverPort()});
  for (int I = 0; I < 5; ++I) {
    HttpRequest Order{"POST", "/promotions", "{}", "application/json"};
    Order.FreshConnection = true;
    const Result<HttpResponse> R = runTask(
        Client.send(std::move(Order), steadyNow() + std::chrono::seconds(2)));
    REQUIRE(succeeded(R));
  }
  runTask([]() -> QCoro::Task<> { co_await sleepFor(milliseconds(50)); }());
  REQUIRE(Accepted.size() == 5);
  for (const QTcpSocket *S : Accepted)
    CHECK(S->state() != QAbstractSocket::ConnectedState);
}
