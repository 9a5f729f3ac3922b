// `amaranthspur-bench demo`: one session's way through a failover, then the
// four main measures.
#include "bench/Stage.h"

#include "bench/Failure.h"

#include <iomanip>
#include <iostream>

namespace amaranthspur::bench {
namespace {

constexpr Duration StatementTimeout = std::chrono::seconds(3);
constexpr Duration ResumeTimeout = std::chrono::seconds(7);
constexpr Duration RetryDelay = milliseconds(20);
constexpr Duration StoryTime = std::chrono::seconds(20);
constexpr Duration MeasureTime = std::chrono::seconds(22);

/// One session that prints what it does.
struct Narrator {
  Stage &Scene;
  std::unique_ptr<CallerConnection> Wire;
  std::string Token;
};

void say(const std::string &Text) { std::cout << Text << std::endl; }

std::map<std::string, std::string> parametersOf(const Narrator &Caller) {
  std::map<std::string, std::string> Parameters{{"user", "bench"},
                                                {"database", "orders"}};
  if (!Caller.Token.empty())
    Parameters["amaranthspur.session"] = Caller.Token;
  return Parameters;
}

QCoro::Task<bool> connectTo(Narrator &Caller, std::size_t Entry) {
  const EntryNode &Node = Caller.Scene.deployment().entries()[Entry];
  auto Opened = co_await CallerConnection::open(
      Node.ShapedCallers, std::string(), parametersOf(Caller),
      steadyNow() + StatementTimeout);
  if (!succeeded(Opened))
    co_return false;
  Caller.Wire = std::move(valueOf(Opened));
  co_return true;
}

/// Sends \p Sql; returns the first value, or nothing if it was refused.
QCoro::Task<std::optional<std::string>> ask(Narrator &Caller, std::string Sql) {
  const Answer Got =
      co_await Caller.Wire->query(Sql, steadyNow() + StatementTimeout);
  if (!Caller.Wire->token().empty())
    Caller.Token = Caller.Wire->token();
  if (Got.End != AnswerEnd::Complete || Got.Rows.empty())
    co_return std::nullopt;
  co_return Got.Rows.front().front();
}

std::string insertOf(unsigned Number) {
  const std::string Text = std::to_string(Number);
  return "INSERT INTO bench_rows(operation, session, sequence, part) VALUES "
         "('demo." +
         Text + "', 'demo', " + Text + ", 0) RETURNING operation";
}

constexpr const char *ReadStatement =
    "SELECT MAX(sequence) FROM bench_rows WHERE session = 'demo'";

QCoro::Task<Result<Success>> tellStory(RunSettings Settings) {
  Settings.Length = StoryTime;
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  Spec.EntryVms = {1, 1, 1};
  Stage Scene(Settings, Spec);
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  say("Started the platform stand-in, three backend servers and three entry "
      "VMs.");
  Narrator Caller{Scene, nullptr, {}};
  auto &Entries = Scene.deployment().entries();
  bool Connected = co_await connectTo(Caller, 0);
  if (!Connected)
    co_return failed("cannot connect to the first entry VM");
  const auto Written = co_await ask(Caller, insertOf(1));
  if (!Written)
    co_return failed("the first write was refused");
  say("Wrote row 1 through " + Entries[0].Id.str() + ".");
  Connected = co_await connectTo(Caller, 2);
  if (!Connected)
    co_return failed("cannot connect to another entry VM");
  const auto Read = co_await ask(Caller, ReadStatement);
  if (!Read || *Read != "1")
    co_return failed("the session does not read its own write");
  say("Roamed to " + Entries[2].Id.str() + " and read row 1 there.");
  const auto Primary = co_await Scene.deployment().primaryOf("orders");
  if (!Primary)
    co_return failed("no server is primary");
  co_await Scene.inject(*Primary, ServerFault::Killed);
  say("Killed the primary " + Scene.deployment().servers()[*Primary].Id.str() +
      ".");
  const TimePoint From = steadyNow();
  unsigned Number = 2;
  for (;; ++Number) {
    if (!Caller.Wire->usable())
      co_await connectTo(Caller, 2);
    const auto Again = co_await ask(Caller, insertOf(Number));
    if (Again)
      break;
    if (steadyNow() > From + ResumeTimeout)
      co_return failed("writing did not resume");
    co_await sleepFor(RetryDelay);
  }
  std::cout << "Writing resumed after " << std::fixed << std::setprecision(0)
            << toMilliseconds(steadyNow() - From) << " ms." << std::endl;
  const auto After = co_await ask(Caller, ReadStatement);
  if (!After || *After != std::to_string(Number))
    co_return failed("the session does not read its own write");
  say("Read the new row; the session is consistent over the failover.");
  co_await Scene.deployment().stop();
  co_return done();
}

/// Runs one scenario and prints the given figures.
QCoro::Task<Result<Success>>
measure(RunSettings Settings,
        QCoro::Task<Result<RunReport>> (*Run)(RunSettings), std::string Title,
        std::vector<std::string> Fields) {
  Settings.Length = MeasureTime;
  const auto Done = co_await Run(Settings);
  if (!succeeded(Done))
    co_return failed(errorOf(Done));
  std::cout << Title << ":";
  for (const std::string &Field : Fields)
    std::cout
        << "  " << Field << " = " << std::setprecision(3)
        << valueOf(Done).Figures[QString::fromStdString(Field)].toDouble();
  std::cout << std::endl;
  co_return done();
}

/// One measure of the account.
struct Measure {
  const char *Title;
  QCoro::Task<Result<RunReport>> (*Run)(RunSettings);
  std::vector<std::string> Fields;
};

std::vector<Measure> measures() {
  return {
      {"Reads served by replicas", runReplicaReads, {"replica_share"}},
      {"Failover gap", runFailover, {"gap_p50_ms", "gap_max_ms", "promotions"}},
      {"Service at the crest",
       runCrest,
       {"goodput_share", "short_p99_ms", "fairness_ratio"}},
      {"Short statements behind long ones",
       runShortBehindLong,
       {"p99_ratio", "long_slot_use_share"}}};
}

} // namespace

QCoro::Task<Result<Success>> runDemo(RunSettings Settings) {
  const Result<Success> Told = co_await tellStory(Settings);
  if (!succeeded(Told))
    co_return Told;
  say("Now the four measures, about 22 s each.");
  const std::vector<Measure> All = measures();
  for (const Measure &Each : All) {
    const Result<Success> Measured =
        co_await measure(Settings, Each.Run, Each.Title, Each.Fields);
    if (!succeeded(Measured))
      co_return Measured;
  }
  co_return done();
}

} // namespace amaranthspur::bench
