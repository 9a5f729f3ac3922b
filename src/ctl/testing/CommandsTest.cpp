#include "ctl/Commands.h"
#include "config/Generation.h"
#include "config/Plan.h"
#include "config/testing/Examples.h"
#include "core/Async.h"
#include "ctl/Revisions.h"
#include "ctl/testing/StorePlatform.h"
#include "testing/fake-platform/TestApplication.h"

#include <catch2/catch.hpp>

#include <QJsonArray>

#include <map>

using namespace amaranthspur;
using namespace amaranthspur::ctl;

namespace {

/// Runs commands against a mock of the platform.
struct Fixture {
  Report run(Options O) {
    testApplication();
    O.Timeout = std::chrono::seconds(10);
    O.Author = "ana";
    O.Limit = 20;
    const CommandContext Context{
        &this->Platform.Client,
        nullptr,
        [this](const std::string &Path) -> Result<std::string> {
          const auto Found = this->Files.find(Path);
          if (Found == this->Files.end())
            return Error{"cannot read " + Path};
          return Found->second;
        },
        [](std::string_view) { return std::nullopt; },
        [this](const std::string &Line) { this->Notices += Line + "\n"; },
        [this] { return "op-" + std::to_string(++this->OperationCount); },
        [] { return std::string("2026-01-01T00:00:00Z"); }};
    return QCoro::waitFor(runCommand(std::move(O), Context));
  }

  Report accept(const std::string &File, std::uint64_t From) {
    Options O;
    O.Command = CommandKind::Accept;
    O.Arguments = {File};
    O.FromRevision = From;
    return this->run(O);
  }

  Report drain(CommandKind Command, DrainTarget Target, const std::string &Id) {
    Options O;
    O.Command = Command;
    O.Target = Target;
    O.Arguments = {std::string(nameOf(Target)), Id};
    return this->run(O);
  }

  /// Returns the answers of the newest revision.
  config::Questionnaire inForce() {
    const TimePoint Deadline = steadyNow() + std::chrono::seconds(10);
    const auto Head = QCoro::waitFor(readHead(this->Platform.Client, Deadline));
    const auto Answers = QCoro::waitFor(
        readAnswers(this->Platform.Client, valueOf(Head).Head.Hash, Deadline));
    REQUIRE(succeeded(Answers));
    return valueOf(Answers);
  }

  StorePlatform Platform;
  std::map<std::string, std::string> Files = {
      {"a", config::exampleText("engravers")},
      {"b", config::exampleText("association")},
      {"bad", "{\"servces\": []}"}};
  std::string Notices;
  unsigned OperationCount = 0;
};

} // namespace

// Guards against a drain that changes any other answer, that has no effect, or
// that adds more than one revision.
TEST_CASE("a drain changes only the state of its target") {
  struct Row {
    const char *Name;
    CommandKind Command;
    DrainTarget Target;
    const char *Id;
    ExitStatus Status;
    std::vector<std::string> Changes; ///< Differences from the example.
  };
  const Row Rows[] = {
      {"server",
       CommandKind::Drain,
       DrainTarget::BackendServer,
       "orders-2-b",
       ExitStatus::Ok,
       {"service orders-2: backend server orders-2-b: leaving: no -> yes"}},
      {"entry VM",
       CommandKind::Drain,
       DrainTarget::EntryVm,
       "vm-4",
       ExitStatus::Ok,
       {"drained entry vm vm-4 is added"}},
      {"server that is not drained",
       CommandKind::Undrain,
       DrainTarget::BackendServer,
       "orders-2-b",
       ExitStatus::Ok,
       {}},
      {"entry VM that is not drained",
       CommandKind::Undrain,
       DrainTarget::EntryVm,
       "vm-4",
       ExitStatus::Ok,
       {}},
      {"unknown server",
       CommandKind::Drain,
       DrainTarget::BackendServer,
       "orders-9-a",
       ExitStatus::Refused,
       {}},
      {"bad name",
       CommandKind::Drain,
       DrainTarget::EntryVm,
       "VM 4",
       ExitStatus::Refused,
       {}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    REQUIRE(nameOf(F.accept("a", 0).Status) == "ok");
    const config::Questionnaire Before = F.inForce();
    const Report Done = F.drain(R.Command, R.Target, R.Id);
    CAPTURE(Done.Text);
    CHECK(nameOf(Done.Status) == nameOf(R.Status));
    std::vector<std::string> Changes;
    for (const auto &C : config::planChange(Before, F.inForce()).Changes)
      Changes.push_back(config::text(C));
    CHECK(Changes == R.Changes);
    CHECK(F.Platform.Store.readRow(config::HeadKey).Version ==
          (R.Changes.empty() ? 1 : 2));
    if (R.Changes.empty())
      continue;
    F.drain(CommandKind::Undrain, R.Target, R.Id);
    CHECK(config::contentOf(F.inForce()) == config::contentOf(Before));
  }
}

// Guards against a service whose backend servers are all drained: it would have
// no server left for new work.
TEST_CASE("the last backend server of a service cannot be drained") {
  Fixture F;
  F.accept("a", 0);
  const auto Drain = [&](const char *Id) {
    return F.drain(CommandKind::Drain, DrainTarget::BackendServer, Id);
  };
  CHECK(nameOf(Drain("orders-1-a").Status) == "ok");
  CHECK(nameOf(Drain("orders-1-b").Status) == "ok");
  CHECK(F.Notices.find("majority-leaving") != std::string::npos);
  const Report Last = Drain("orders-1-c");
  CHECK(nameOf(Last.Status) == "refused");
  CHECK(Last.Text.find("at least one") != std::string::npos);
}

// Guards against a drain that overwrites a change that was accepted after the
// drain read the answers.
TEST_CASE("a drain that loses a race is retried from the newer revision") {
  Fixture F;
  F.accept("a", 0);
  F.Platform.BeforeWrite = [&F] {
    F.Platform.BeforeWrite = [] {};
    CHECK(nameOf(F.accept("b", 1).Status) == "ok");
  };
  const Report Done = F.drain(CommandKind::Drain, DrainTarget::EntryVm, "vm-4");
  CHECK(nameOf(Done.Status) == "ok");
  CHECK(Done.Json["revision"].toInteger() == 3);
  const config::Questionnaire InForce = F.inForce();
  CHECK(InForce.services(0).name() == "ledger-1");
  CHECK(InForce.drained_entry_vms_size() == 1);
}

// Guards against a conflict whose report does not name the revisions that were
// accepted first and their changes.
TEST_CASE("a conflict reports the accepted revisions and their changes") {
  Fixture F;
  F.accept("a", 0);
  F.drain(CommandKind::Drain, DrainTarget::BackendServer, "orders-1-a");
  F.drain(CommandKind::Drain, DrainTarget::EntryVm, "vm-4");
  const Report Lost = F.accept("b", 1);
  CHECK(nameOf(Lost.Status) == "refused");
  CHECK(Lost.Json["outcome"].toString() == "conflict");
  const QJsonArray Winners = Lost.Json["winners"].toArray();
  REQUIRE(Winners.size() == 2);
  CHECK(Winners[0].toObject()["revision"].toInteger() == 2);
  CHECK(Winners[0].toObject()["author"].toString() == "ana");
  CHECK(Lost.Json["changes"].toArray().size() == 2);
  CHECK(Lost.Text.find("orders-1-a: leaving: no -> yes") != std::string::npos);
}

// Guards against a wrong exit status: scripts would take a failure for success,
// or the reverse.
TEST_CASE("the exit status matches the outcome") {
  struct Row {
    const char *Name;
    CommandKind Command;
    std::vector<std::string> Arguments;
    bool Outage;
    ExitStatus Expected;
  };
  const Row Rows[] = {
      {"good answers", CommandKind::Check, {"a"}, true, ExitStatus::Ok},
      {"mistakes", CommandKind::Check, {"bad"}, true, ExitStatus::Invalid},
      {"no file", CommandKind::Check, {"none"}, true, ExitStatus::Invalid},
      {"plan", CommandKind::Plan, {"a"}, false, ExitStatus::Ok},
      {"plan in an outage",
       CommandKind::Plan,
       {"a"},
       true,
       ExitStatus::Unreachable},
      {"plan with mistakes",
       CommandKind::Plan,
       {"bad"},
       false,
       ExitStatus::Invalid},
      {"accept with mistakes",
       CommandKind::Accept,
       {"bad"},
       false,
       ExitStatus::Invalid},
      {"accept in an outage",
       CommandKind::Accept,
       {"a"},
       true,
       ExitStatus::Unreachable},
      {"show before the first revision",
       CommandKind::Show,
       {},
       false,
       ExitStatus::Refused},
      {"history before the first revision",
       CommandKind::History,
       {},
       false,
       ExitStatus::Ok},
      {"history in an outage",
       CommandKind::History,
       {},
       true,
       ExitStatus::Unreachable},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    if (R.Outage)
      F.Platform.NextFault = [](bool) { return CallFault::Refused; };
    Options O;
    O.Command = R.Command;
    O.Arguments = R.Arguments;
    O.FromRevision = 0;
    const Report Done = F.run(O);
    CAPTURE(Done.Text);
    CHECK(nameOf(Done.Status) == nameOf(R.Expected));
    CHECK_FALSE(Done.Text.empty());
    CHECK_FALSE(Done.Json.isEmpty());
  }
}

// Guards against a status that counts an entry VM as confirmed although it has
// an older revision or did not respond.
TEST_CASE("the status reports which entry VMs have confirmed") {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> Newest;
    std::vector<std::optional<std::uint64_t>> Revisions;
    ExitStatus Expected;
    int Confirmed;
  };
  const Row Rows[] = {
      {"all", 4, {4, 4}, ExitStatus::Ok, 2},
      {"one behind", 4, {4, 3}, ExitStatus::Refused, 1},
      {"one without response", 4, {4, std::nullopt}, ExitStatus::Refused, 1},
      {"all without response", 4, {std::nullopt}, ExitStatus::Refused, 0},
      {"none known", 4, {}, ExitStatus::Refused, 0},
      {"accepted since the head was read", 4, {5, 4}, ExitStatus::Refused, 1},
      {"platform unreachable", std::nullopt, {4, 4}, ExitStatus::Refused, 2},
      {"platform unreachable, one behind",
       std::nullopt,
       {4, 3},
       ExitStatus::Refused,
       1},
      {"platform unreachable, all without response",
       std::nullopt,
       {std::nullopt},
       ExitStatus::Unreachable,
       0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<VmAnswer> Answers;
    for (const auto &Revision : R.Revisions) {
      VmAnswer A;
      A.Vm.Id = "vm";
      A.Revision = Revision;
      A.Problem = Revision ? "" : "silent";
      Answers.push_back(A);
    }
    const Report Done = statusReport(R.Newest, Answers, "");
    CAPTURE(Done.Text);
    CHECK(nameOf(Done.Status) == nameOf(R.Expected));
    CHECK(Done.Json["confirmed"].toInteger() == R.Confirmed);
    CHECK(Done.Json["newest_known"].toBool() == R.Newest.has_value());
  }
}
