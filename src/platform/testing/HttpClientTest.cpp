#include "platform/HttpClient.h"

#include "core/Async.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

using namespace amaranthspur;

namespace {

/// A server that answers "/after/MS" with 200 after that time, "/trickle/N"
/// with N bytes, one each 50 ms, "/stall/N" likewise without the last one, and
/// other paths never.
class SlowServer {
public:
  SlowServer() {
    this->Listener.listen(QHostAddress::LocalHost);
    QObject::connect(
        &this->Listener, &QTcpServer::newConnection, &this->Listener, [this] {
          while (QTcpSocket *Socket = this->Listener.nextPendingConnection()) {
            ++this->Connections;
            QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                             [Socket] { answer(*Socket); });
          }
        });
  }

  Address address() const { return {"127.0.0.1", this->Listener.serverPort()}; }

  int Connections = 0;

private:
  static void answer(QTcpSocket &Socket) {
    const QList<QByteArray> Parts =
        Socket.readAll().split(' ').value(1).split('/');
    const QByteArray &Verb = Parts.value(1);
    const int Number = Parts.value(2).toInt();
    if (Verb == "after")
      QTimer::singleShot(Number, &Socket, [&Socket] {
        Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      });
    if (Verb == "trickle" || Verb == "stall")
      trickle(Socket, Number, Verb == "stall" ? Number - 1 : Number);
  }

  static void trickle(QTcpSocket &Socket, int Promised, int Sent) {
    Socket.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 QByteArray::number(Promised) + "\r\n\r\n");
    for (int I = 0; I < Sent; ++I)
      QTimer::singleShot(50 * (I + 1), &Socket,
                         [&Socket] { Socket.write("x"); });
  }

  QTcpServer Listener;
};

QCoro::Task<> sendInto(HttpClient &Client, HttpRequest Request,
                       TimePoint Deadline, Result<HttpResponse> &Out,
                       WaitPoint &Done) {
  Out = co_await Client.send(std::move(Request), Deadline);
  Done.wake();
}

} // namespace

// Guards against a call that is lost because another one on the same client
// got no answer or asked for a connection of its own: the poll of one table
// then takes its whole time to fail, and the changes in between come late.
TEST_CASE("a call keeps its answer whatever becomes of others") {
  testApplication();
  struct Row {
    const char *Name;
    HttpRequest Other;
    bool Answered;
  };
  HttpRequest Fresh{"GET", "/after/1"};
  Fresh.FreshConnection = true;
  const Row Rows[] = {
      {"the other gets no answer", {"GET", "/never"}, false},
      {"the other needs a fresh connection", Fresh, true},
      {"the other is answered", {"GET", "/after/1"}, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    SlowServer Server;
    HttpClient Client(Server.address());
    Result<HttpResponse> Slow = Error{};
    WaitPoint SlowDone;
    sendInto(Client, {"GET", "/after/400"}, steadyNow() + milliseconds(2000),
             Slow, SlowDone);
    const Result<HttpResponse> Other =
        runTask(Client.send(R.Other, steadyNow() + milliseconds(100)));
    CHECK(succeeded(Other) == R.Answered);
    runTask([](WaitPoint &Done) -> QCoro::Task<> {
      co_await Done.wait(steadyNow() + milliseconds(3000));
    }(SlowDone));
    REQUIRE(succeeded(Slow));
    CHECK(valueOf(Slow).Status == HttpOk);
  }
}

// Guards against a large answer that is given up while it arrives: when all
// entry VMs restart, the configuration takes seconds to cross the link between
// the regions, and each attempt that is given up adds its bytes to the crowd.
TEST_CASE("an answer may arrive behind the deadline while it makes progress") {
  testApplication();
  struct Row {
    const char *Name;
    const char *Path;
    bool Answered;
  };
  const Row Rows[] = {
      {"it arrives slowly", "/trickle/10", true},
      {"it stops before its end", "/stall/4", false},
      {"it never begins", "/never", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    SlowServer Server;
    HttpClient Client(Server.address());
    const Result<HttpResponse> Answer =
        runTask(Client.send({"GET", R.Path}, steadyNow() + milliseconds(150)));
    CHECK(succeeded(Answer) == R.Answered);
  }
}

// Guards against repeating a call over connections that may be as silent as
// the one that brought no answer.
TEST_CASE("after a call without an answer connections are new") {
  testApplication();
  SlowServer Server;
  HttpClient Client(Server.address());
  const auto Send = [&Client](const char *Path) {
    return succeeded(
        runTask(Client.send({"GET", Path}, steadyNow() + milliseconds(100))));
  };
  CHECK(Send("/after/0"));
  CHECK(Send("/after/0"));
  CHECK(Server.Connections == 1);
  CHECK_FALSE(Send("/never"));
  CHECK(Send("/after/0"));
  CHECK(Server.Connections == 2);
}
