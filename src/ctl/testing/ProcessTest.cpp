// Tests amaranthspurctl against the fake platform, each as a separate process.
#include "config/Generation.h"
#include "config/testing/Examples.h"
#include "core/Async.h"
#include "ctl/Report.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>

#include <memory>

using namespace amaranthspur;
using namespace amaranthspur::ctl;

namespace {

/// Limit that ends a test that hangs. No test measures time.
constexpr int WaitMs = 60'000;

quint16 freePort() {
  QTcpServer Probe;
  REQUIRE(Probe.listen(QHostAddress::LocalHost));
  return Probe.serverPort();
}

/// The result of one run of amaranthspurctl.
struct Run {
  ExitStatus Status = ExitStatus::Ok;
  QJsonObject Json;
  QByteArray Errors;
};

/// A process of the fake platform, and functions to run amaranthspurctl against
/// it.
struct Deployment {
  Deployment() {
    testApplication();
    this->Address = "127.0.0.1:" + QString::number(freePort());
    this->Platform.start(FAKE_PLATFORM, {"--listen", this->Address});
    REQUIRE(this->Platform.waitForReadyRead(WaitMs));
    REQUIRE(this->Platform.readAllStandardOutput() == "ready\n");
  }

  ~Deployment() {
    this->Platform.terminate();
    this->Platform.waitForFinished(WaitMs);
  }

  /// Sets the faults that the fake platform injects.
  void fault(const QJsonObject &Faults) {
    QNetworkAccessManager Http;
    const std::unique_ptr<QNetworkReply> Reply(
        Http.put(QNetworkRequest(QUrl("http://" + this->Address + "/fault")),
                 QJsonDocument(Faults).toJson()));
    QEventLoop Loop;
    QObject::connect(Reply.get(), &QNetworkReply::finished, &Loop,
                     &QEventLoop::quit);
    if (!Reply->isFinished())
      Loop.exec();
    REQUIRE(Reply->error() == QNetworkReply::NoError);
  }

  /// Starts amaranthspurctl.
  std::unique_ptr<QProcess> start(QStringList Arguments) const {
    Arguments << "--json"
              << "--platform-address" << this->Address;
    auto Process = std::make_unique<QProcess>();
    Process->start(AMARANTHSPURCTL, Arguments);
    return Process;
  }

  /// Waits until \p Process ends and returns its result.
  static Run finish(QProcess &Process) {
    if (Process.state() != QProcess::NotRunning)
      REQUIRE(Process.waitForFinished(WaitMs));
    REQUIRE(Process.exitStatus() == QProcess::NormalExit);
    return {static_cast<ExitStatus>(Process.exitCode()),
            QJsonDocument::fromJson(Process.readAllStandardOutput()).object(),
            Process.readAllStandardError()};
  }

  Run run(const QStringList &Arguments) const {
    return finish(*this->start(Arguments));
  }

  /// Writes the example `engravers` with the given weight of one caller to a
  /// file and returns the path of the file.
  QString file(const QString &Name, unsigned Weight) const {
    config::Questionnaire Q = config::example("engravers");
    Q.mutable_services(0)->mutable_callers(0)->set_weight(Weight);
    QFile File(this->Folder.filePath(Name));
    REQUIRE(File.open(QFile::WriteOnly));
    File.write(QByteArray::fromStdString(config::formatAnswers(Q)));
    return File.fileName();
  }

  /// Returns the arguments of an `accept` command.
  QStringList accept(const QString &File, int From,
                     const QString &Operation) const {
    return {"accept",      File,     "--from-revision", QString::number(From),
            "--operation", Operation};
  }

  /// Returns the operations in the history, newest first.
  QStringList operations() const {
    QStringList Operations;
    const Run History = this->run({"history", "--limit", "1000"});
    REQUIRE(nameOf(History.Status) == "ok");
    const QJsonArray Revisions = History.Json["revisions"].toArray();
    for (const auto &Entry : Revisions)
      Operations << Entry.toObject()["operation"].toString();
    return Operations;
  }

  QTemporaryDir Folder;
  QString Address;
  QProcess Platform;
};

} // namespace

// Guards against a change that is accepted twice, or reported as failed,
// because responses of the platform were lost.
TEST_CASE("changes with lost responses are accepted once") {
  Deployment D;
  int Revision = 0;
  QStringList Expected;
  for (int Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    D.fault({{"lose_answers", 0.4}, {"seed", Seed}});
    const QString Operation = "op-" + QString::number(Seed);
    const QStringList Command = D.accept(
        D.file("a.json", static_cast<unsigned>(Seed)), Revision, Operation);
    Run Done = D.run(Command);
    // An unknown outcome is allowed. Repeating the command determines it.
    for (int Again = 0; Again < 5 && Done.Status == ExitStatus::Unreachable;
         ++Again)
      Done = D.run(Command);
    CAPTURE(Done.Errors.toStdString());
    REQUIRE(nameOf(Done.Status) == "ok");
    CHECK(Done.Json["revision"].toInteger() == Revision + 1);
    D.fault({});
    Expected.prepend(Operation);
    CHECK(D.operations() == Expected);
    ++Revision;
  }
}

// Guards against a change that silently overwrites a concurrent change of
// another operator.
TEST_CASE("one of two concurrent changes is accepted, the other is refused") {
  Deployment D;
  for (int Round = 0; Round < 10; ++Round) {
    CAPTURE(Round);
    D.fault({{"delay_ms", Round % 3}});
    const auto Weight = static_cast<unsigned>(2 * Round + 1);
    const QString OperationA = "a-" + QString::number(Round);
    const QString OperationB = "b-" + QString::number(Round);
    const auto ProcessA =
        D.start(D.accept(D.file("a.json", Weight), Round, OperationA));
    const auto ProcessB =
        D.start(D.accept(D.file("b.json", Weight + 1), Round, OperationB));
    const Run A = Deployment::finish(*ProcessA);
    const Run B = Deployment::finish(*ProcessB);
    const bool AWon = A.Status == ExitStatus::Ok;
    const Run &Winner = AWon ? A : B;
    const Run &Loser = AWon ? B : A;
    REQUIRE(nameOf(Winner.Status) == "ok");
    REQUIRE(nameOf(Loser.Status) == "refused");
    const QString Won = AWon ? OperationA : OperationB;
    const QJsonArray Winners = Loser.Json["winners"].toArray();
    REQUIRE(Winners.size() == 1);
    CHECK(Winners[0].toObject()["operation"].toString() == Won);
    CHECK_FALSE(Loser.Json["changes"].toArray().isEmpty());
    CHECK(D.operations().size() == Round + 1);
    CHECK(D.operations().first() == Won);
  }
}

// Guards against an outage that is reported as success, and against a command
// that cannot be repeated after the outage.
TEST_CASE("a change during an outage can be repeated after it") {
  Deployment D;
  const QStringList Command = D.accept(D.file("a.json", 2), 0, "op-1");
  D.fault({{"outage", true}});
  const Run Failed = D.run(Command + QStringList{"--timeout-ms", "3000"});
  CHECK(nameOf(Failed.Status) == "platform-unreachable");
  CHECK(Failed.Json["outcome"].toString() == "not attempted");
  D.fault({});
  CHECK(D.operations().isEmpty());
  CHECK(nameOf(D.run(Command).Status) == "ok");
  CHECK(nameOf(D.run(Command).Status) == "ok");
  CHECK(D.operations() == QStringList{"op-1"});
}

// Guards against a revision that is read from the wrong field of /status, and
// against a status that omits an entry VM of the platform's list.
TEST_CASE("the status queries the entry VMs in the platform's list") {
  Deployment D;
  REQUIRE(nameOf(D.run(D.accept(D.file("a.json", 2), 0, "op-1")).Status) ==
          "ok");
  QHttpServer Vm;
  Vm.route("/status", [] {
    return QJsonObject{{"configuration", QJsonObject{{"revision", 1}}}};
  });
  const quint16 Port = Vm.listen(QHostAddress::LocalHost);
  const QString Admin = "127.0.0.1:" + QString::number(Port);
  const auto Ask = [&](const QStringList &Arguments) {
    const auto Process = D.start(Arguments);
    QEventLoop Loop;
    QObject::connect(Process.get(), &QProcess::finished, &Loop,
                     &QEventLoop::quit);
    Loop.exec();
    return Deployment::finish(*Process);
  };
  const Run Named = Ask({"status", "--admin-address", Admin});
  CHECK(nameOf(Named.Status) == "ok");
  CHECK(Named.Json["confirmed"].toInteger() == 1);

  const auto Register = [&](const char *Id, const QJsonObject &Entry) {
    QNetworkAccessManager Http;
    const std::unique_ptr<QNetworkReply> Reply(
        Http.put(QNetworkRequest(QUrl("http://" + D.Address + "/vms/" + Id)),
                 QJsonDocument(Entry).toJson()));
    QEventLoop Loop;
    QObject::connect(Reply.get(), &QNetworkReply::finished, &Loop,
                     &QEventLoop::quit);
    Loop.exec();
  };
  Register("vm-1", {{"admin_address", Admin}});
  Register("vm-2", {{"peer_address", "127.0.0.1:1"}});
  const Run Listed = Ask({"status"});
  CHECK(nameOf(Listed.Status) == "refused");
  CHECK(Listed.Json["confirmed"].toInteger() == 1);
  const QJsonArray Vms = Listed.Json["entry_vms"].toArray();
  REQUIRE(Vms.size() == 2);
  CHECK(Vms[0].toObject()["confirmed"].toBool());
  CHECK_FALSE(Vms[1].toObject()["confirmed"].toBool());
  CHECK_FALSE(Vms[1].toObject()["problem"].toString().isEmpty());
}

// Guards against examples that are missing from the program.
TEST_CASE("init prints the examples") {
  Deployment D;
  for (const char *Name : {"engravers", "association"}) {
    CAPTURE(Name);
    const Run Init = D.run({"init", Name});
    CHECK(nameOf(Init.Status) == "ok");
    const config::ParsedAnswers Parsed =
        config::parseAnswers(QJsonDocument(Init.Json).toJson().toStdString());
    CHECK(Parsed.Mistakes.empty());
    CHECK(config::contentOf(Parsed.Answers) ==
          config::contentOf(config::example(Name)));
  }
  CHECK(nameOf(D.run({"init", "others"}).Status) == "invalid");
}
