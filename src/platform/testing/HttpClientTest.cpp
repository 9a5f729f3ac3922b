#include "platform/HttpClient.h"

#include "core/Async.h"
#include "core/BootClock.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

using namespace amaranthspur;

namespace {

/// An HTTP server with slow responses. It answers "/after/MS" with status 200
/// after that many milliseconds, and "/trickle/N" with a body of N bytes, of
/// which it sends one every 50 ms. "/stall/N" is like "/trickle/N", but the
/// last byte is never sent. Requests for other paths are never answered.
class SlowServer {
public:
  SlowServer() {
    this->Listener.listen(QHostAddress::LocalHost);
    QObject::connect(
        &this->Listener, &QTcpServer::newConnection, &this->Listener, [this] {
          while (QTcpSocket *Socket = this->Listener.nextPendingConnection()) {
            ++this->Connections;
            QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                             [this, Socket] { this->answer(*Socket); });
          }
        });
  }

  Address address() const { return {"127.0.0.1", this->Listener.serverPort()}; }

  int Connections = 0;
  QByteArray Received; ///< All bytes, of all connections.

private:
  void answer(QTcpSocket &Socket) {
    const QByteArray Bytes = Socket.readAll();
    this->Received += Bytes;
    const QList<QByteArray> Parts = Bytes.split(' ').value(1).split('/');
    const QByteArray &Verb = Parts.value(1);
    const int Number = Parts.value(2).toInt();
    if (Verb == "after")
      QTimer::singleShot(Number, &Socket, [&Socket] {
        Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      });
    if (Verb == "trickle" || Verb == "stall")
      trickle(Socket, Number, Verb == "stall" ? Number - 1 : Number);
  }

  static void trickle(QTcpSocket &Socket, int ContentLength, int Sent) {
    Socket.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 QByteArray::number(ContentLength) + "\r\n\r\n");
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

// Guards against a request whose response is lost because another request of
// the same client got no response or required a new connection. A long poll of
// a table then fails only after its whole wait, and changes made in the
// meantime arrive late.
TEST_CASE("a request gets its response whatever happens to other requests") {
  testApplication();
  struct Row {
    const char *Name;
    HttpRequest Other;
    bool Answered;
  };
  HttpRequest Fresh{"GET", "/after/1"};
  Fresh.FreshConnection = true;
  const Row Rows[] = {
      {"the other request gets no response", {"GET", "/never"}, false},
      {"the other request requires a new connection", Fresh, true},
      {"the other request is answered", {"GET", "/after/1"}, true},
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

// Guards against a large response that is abandoned while it arrives. When all
// entry VMs restart, the configuration takes seconds to cross the link between
// the regions, and each abandoned attempt adds its bytes to the congestion.
TEST_CASE("a response may arrive after the deadline while it makes progress") {
  testApplication();
  struct Row {
    const char *Name;
    const char *Path;
    bool Answered;
  };
  const Row Rows[] = {
      {"arrives slowly", "/trickle/10", true},
      {"stops before its end", "/stall/4", false},
      {"never begins", "/never", false},
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

// Guards against a request that is repeated over existing connections after one
// got no response: those connections may be dead as well.
TEST_CASE("a request without a response makes the next one reconnect") {
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

// Guards against an order that a suspended process sends when it wakes: the
// time is checked when the order is given, and the connection is opened after
// that (review case 2).
TEST_CASE("a request is not completed after its time") {
  testApplication();
  struct Row {
    const char *Name;
    Duration SendIn;
    bool Sent;
  };
  const Row Rows[] = {
      {"in time", std::chrono::seconds(5), true},
      {"the time passes before the connection is open", Duration::zero(),
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    SlowServer Server;
    HttpClient Client(Server.address());
    HttpRequest Request{"POST", "/after/1", "{\"id\":\"order\"}"};
    Request.FreshConnection = true;
    Request.SendBy = bootNow() + R.SendIn;
    const Result<HttpResponse> Answer = runTask(
        Client.send(std::move(Request), steadyNow() + milliseconds(500)));
    CAPTURE(Server.Received.toStdString());
    CHECK(Server.Received.contains("order") == R.Sent);
    CHECK((!R.Sent || succeeded(Answer)));
    CHECK((!R.Sent || Server.Received.contains("Content-Length: 14")));
  }
}
