// `amaranthspur-bench demo`: a session that continues through a failover, then
// the four main measurements.
#include "bench/TestEnvironment.h"

#include "bench/Failure.h"

#include <iomanip>
#include <iostream>

namespace amaranthspur::bench {
namespace {

constexpr Duration StatementTimeout = std::chrono::seconds(3);
constexpr Duration ResumeTimeout = std::chrono::seconds(7);
constexpr Duration RetryDelay = milliseconds(20);
constexpr Duration FailoverTime = std::chrono::seconds(20);
constexpr Duration MeasureTime = std::chrono::seconds(22);

/// The connection and the token of the demonstrated session.
struct DemoSession {
  TestEnvironment &Env;
  std::unique_ptr<CallerConnection> Conn;
  std::string Token;
};

void printLine(const std::string &Text) { std::cout << Text << std::endl; }

std::map<std::string, std::string> parametersOf(const DemoSession &Caller) {
  std::map<std::string, std::string> Parameters{{"user", "bench"},
                                                {"database", "orders"}};
  if (!Caller.Token.empty())
    Parameters["amaranthspur.session"] = Caller.Token;
  return Parameters;
}

QCoro::Task<bool> connectTo(DemoSession &Caller, std::size_t Entry) {
  const EntryNode &Node = Caller.Env.deployment().entries()[Entry];
  auto Opened = co_await CallerConnection::open(
      Node.ShapedCallerAddress, std::string(), parametersOf(Caller),
      steadyNow() + StatementTimeout);
  if (!succeeded(Opened))
    co_return false;
  Caller.Conn = std::move(valueOf(Opened));
  co_return true;
}

/// Runs \p Sql and returns the first value, or nothing if there is no complete
/// answer with a row.
QCoro::Task<std::optional<std::string>> queryValue(DemoSession &Caller,
                                                   std::string Sql) {
  const Answer Reply =
      co_await Caller.Conn->query(Sql, steadyNow() + StatementTimeout);
  if (!Caller.Conn->token().empty())
    Caller.Token = Caller.Conn->token();
  if (Reply.End != AnswerEnd::Complete || Reply.Rows.empty())
    co_return std::nullopt;
  co_return Reply.Rows.front().front();
}

std::string insertStatement(unsigned Number) {
  const std::string Text = std::to_string(Number);
  return "INSERT INTO bench_rows(operation, session, sequence, part) VALUES "
         "('demo." +
         Text + "', 'demo', " + Text + ", 0) RETURNING operation";
}

constexpr const char *ReadStatement =
    "SELECT MAX(sequence) FROM bench_rows WHERE session = 'demo'";

QCoro::Task<Result<Success>> demonstrateFailover(RunSettings Settings) {
  Settings.Length = FailoverTime;
  DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  Spec.EntryVms = {1, 1, 1};
  TestEnvironment Env(Settings, Spec);
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  printLine(
      "Started the platform stand-in, three backend servers and three entry "
      "VMs.");
  DemoSession Caller{Env, nullptr, {}};
  auto &Entries = Env.deployment().entries();
  bool Connected = co_await connectTo(Caller, 0);
  if (!Connected)
    co_return makeError("cannot connect to the first entry VM");
  const auto Written = co_await queryValue(Caller, insertStatement(1));
  if (!Written)
    co_return makeError("the first write was refused");
  printLine("Wrote row 1 through " + Entries[0].Id.str() + ".");
  Connected = co_await connectTo(Caller, 2);
  if (!Connected)
    co_return makeError("cannot connect to another entry VM");
  const auto Read = co_await queryValue(Caller, ReadStatement);
  if (!Read || *Read != "1")
    co_return makeError("the session does not read its own write");
  printLine("Roamed to " + Entries[2].Id.str() + " and read row 1 there.");
  const auto Primary = co_await Env.deployment().primaryOf("orders");
  if (!Primary)
    co_return makeError("no server is primary");
  co_await Env.inject(*Primary, ServerFault::Killed);
  printLine("Killed the primary " +
            Env.deployment().servers()[*Primary].Id.str() + ".");
  const TimePoint From = steadyNow();
  unsigned Number = 2;
  for (;; ++Number) {
    if (!Caller.Conn->usable())
      co_await connectTo(Caller, 2);
    const auto Again = co_await queryValue(Caller, insertStatement(Number));
    if (Again)
      break;
    if (steadyNow() > From + ResumeTimeout)
      co_return makeError("writing did not resume");
    co_await sleepFor(RetryDelay);
  }
  std::cout << "Writing resumed after " << std::fixed << std::setprecision(0)
            << toMilliseconds(steadyNow() - From) << " ms." << std::endl;
  const auto After = co_await queryValue(Caller, ReadStatement);
  if (!After || *After != std::to_string(Number))
    co_return makeError("the session does not read its own write");
  printLine("Read the new row; the session is consistent over the failover.");
  co_await Env.deployment().stop();
  co_return makeSuccess();
}

/// Runs one scenario and prints the figures named \p Fields.
QCoro::Task<Result<Success>>
measure(RunSettings Settings,
        QCoro::Task<Result<RunReport>> (*Run)(RunSettings), std::string Title,
        std::vector<std::string> Fields) {
  Settings.Length = MeasureTime;
  const auto Done = co_await Run(Settings);
  if (!succeeded(Done))
    co_return makeError(errorOf(Done));
  std::cout << Title << ":";
  for (const std::string &Field : Fields)
    std::cout
        << "  " << Field << " = " << std::setprecision(3)
        << valueOf(Done).Figures[QString::fromStdString(Field)].toDouble();
  std::cout << std::endl;
  co_return makeSuccess();
}

/// One scenario of the demonstration and the figures to print.
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
  const Result<Success> FailoverShown = co_await demonstrateFailover(Settings);
  if (!succeeded(FailoverShown))
    co_return FailoverShown;
  printLine("Now the four measures, about 22 s each.");
  const std::vector<Measure> All = measures();
  for (const Measure &Each : All) {
    const Result<Success> Measured =
        co_await measure(Settings, Each.Run, Each.Title, Each.Fields);
    if (!succeeded(Measured))
      co_return Measured;
  }
  co_return makeSuccess();
}

} // namespace amaranthspur::bench
