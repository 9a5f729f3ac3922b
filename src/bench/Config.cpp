// Scenario `config`: configuration changes while the platform's store fails.
#include "bench/TestEnvironment.h"

#include "bench/Failure.h"
#include "bench/Remote.h"
#include "bench/Statistics.h"
#include "config/Head.h"
#include "platform/HttpPlatform.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <map>

namespace amaranthspur::bench {
namespace {

constexpr unsigned ChangeCount = 50;
constexpr Duration PollDelay = milliseconds(20);
constexpr Duration PollTimeout = milliseconds(500);
constexpr Duration OutageTime = milliseconds(400);
/// One in this many changes meets a store outage, and one in this many meets
/// lost answers.
constexpr unsigned FaultEvery = 5;
constexpr unsigned MaxAttempts = 20;
/// Time reserved for the last revision to take effect and for the shutdown.
constexpr Duration ReservedTime = milliseconds(3500);

/// State shared by the tasks that poll the entry VMs and the task that makes
/// the changes.
struct ConfigRun {
  TestEnvironment &Env;
  bool Stopping = false;
  unsigned Reversions = 0;
  unsigned Pollers = 0;
  /// For each entry VM, the times when each revision was first seen in force.
  std::vector<std::map<std::uint64_t, TimePoint>> FirstSeen;
  std::map<std::uint64_t, TimePoint> Accepted; ///< By revision.
  unsigned AcceptedChanges = 0;
};

QCoro::Task<> setStoreFaults(ConfigRun &Run, QJsonObject Fields) {
  const std::string Body =
      QJsonDocument(Fields).toJson(QJsonDocument::Compact).toStdString();
  co_await sendHttp(HttpMethod::Put, Run.Env.deployment().platform(), "/fault",
                    Body, steadyNow() + PollTimeout);
}

QJsonObject outageFields() { return {{"outage", true}}; }

QJsonObject lostAnswerFields(std::uint64_t Seed) {
  return {{"lose_answers", 0.5}, {"seed", static_cast<qint64>(Seed)}};
}

/// Polls the active revision of entry VM \p Index until the run stops, and
/// counts the times when it goes back to an older one.
QCoro::Task<> pollRevision(ConfigRun &Run, std::size_t Index) {
  std::uint64_t Last = 0;
  while (!Run.Stopping) {
    const Address Admin = Run.Env.deployment().entries()[Index].AdminAddress;
    const auto Status =
        co_await sendHttp(HttpMethod::Get, Admin, "/status", std::string(),
                          steadyNow() + PollTimeout);
    if (succeeded(Status)) {
      const QJsonObject Fields =
          QJsonDocument::fromJson(QByteArray::fromStdString(valueOf(Status)))
              .object()["configuration"]
              .toObject();
      const auto Now =
          static_cast<std::uint64_t>(Fields["revision"].toInteger());
      if (Now < Last)
        ++Run.Reversions;
      if (Now > Last)
        Run.FirstSeen[Index].emplace(Now, steadyNow());
      Last = Now;
    }
    co_await sleepFor(PollDelay);
  }
  --Run.Pollers;
}

/// Returns the deployment's answers with a different weight for the first
/// caller.
QJsonObject changedAnswers(const Deployment &Target, unsigned Change) {
  QJsonObject Answers = Target.answers();
  QJsonArray Services = Answers["services"].toArray();
  QJsonObject Service = Services[0].toObject();
  QJsonArray Callers = Service["callers"].toArray();
  QJsonObject Caller = Callers[0].toObject();
  Caller["weight"] = static_cast<int>(1 + Change % 9);
  Callers[0] = Caller;
  Service["callers"] = Callers;
  Services[0] = Service;
  Answers["services"] = Services;
  return Answers;
}

/// Accepts one change, retrying with the same operation identifier until the
/// outcome is known.
/// \returns the revision of the change, or 0 if every attempt failed.
QCoro::Task<std::uint64_t> acceptChange(ConfigRun &Run, unsigned Change,
                                        std::uint64_t From) {
  const QJsonObject Answers = changedAnswers(Run.Env.deployment(), Change);
  const std::string Operation = "bench-" + std::to_string(Change);
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Done =
        co_await Run.Env.deployment().accept(Answers, From, Operation);
    if (!succeeded(Done))
      continue;
    const QJsonObject Fields =
        QJsonDocument::fromJson(QByteArray::fromStdString(valueOf(Done)))
            .object();
    const auto Revision =
        static_cast<std::uint64_t>(Fields["revision"].toInteger());
    co_return Revision;
  }
  co_return std::uint64_t(0);
}

QCoro::Task<> makeChanges(ConfigRun &Run, Duration Interval) {
  std::uint64_t Revision = 1;
  for (unsigned Change = 1; Change <= ChangeCount; ++Change) {
    const TimePoint Next = steadyNow() + Interval;
    const bool Outage = Change % FaultEvery == 0;
    const bool LosesAnswers = Change % FaultEvery == 2;
    if (Outage) {
      Run.Env.mark("store outage");
      const QJsonObject Fields = outageFields();
      co_await setStoreFaults(Run, Fields);
      co_await sleepFor(OutageTime);
    }
    const QJsonObject Fault =
        LosesAnswers ? lostAnswerFields(Change) : QJsonObject();
    co_await setStoreFaults(Run, Fault);
    const std::uint64_t NewRevision =
        co_await acceptChange(Run, Change, Revision);
    if (NewRevision > 0) {
      ++Run.AcceptedChanges;
      Run.Accepted[NewRevision] = steadyNow();
      Revision = std::max(Revision, NewRevision);
    }
    const QJsonObject NoFault;
    co_await setStoreFaults(Run, NoFault);
    if (Next > steadyNow())
      co_await sleepFor(Next - steadyNow());
  }
}

/// Returns for each accepted revision the time until every entry VM had this or
/// a later revision in force. For an entry VM that never had it, the time ends
/// at \p Until.
std::vector<double> inForceMs(const ConfigRun &Run, TimePoint Until) {
  std::vector<double> Times;
  for (const auto &[Revision, At] : Run.Accepted) {
    TimePoint Last = At;
    for (const auto &FirstSeen : Run.FirstSeen) {
      const auto Entry = FirstSeen.lower_bound(Revision);
      Last = std::max(Last, Entry == FirstSeen.end() ? Until : Entry->second);
    }
    Times.push_back(toMilliseconds(Last - At));
  }
  return Times;
}

/// Returns the newest revision in the platform's store, which each accepted
/// change increments, or 0 if it cannot be read.
QCoro::Task<std::uint64_t> headRevision(ConfigRun &Run) {
  HttpPlatform Store(Run.Env.deployment().platform(), 1);
  const Result<TableRow> Row =
      co_await Store.readRow(config::HeadKey, steadyNow() + PollTimeout);
  if (!succeeded(Row))
    co_return std::uint64_t(0);
  const Result<config::Head> Head = config::parseHead(valueOf(Row).Value);
  co_return succeeded(Head) ? valueOf(Head).Revision : std::uint64_t(0);
}

} // namespace

QCoro::Task<Result<RunReport>> runConfig(RunSettings Settings) {
  TestEnvironment Env(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Env.start();
  if (!succeeded(Started))
    co_return makeError(errorOf(Started));
  ConfigRun Run{Env, false, 0, 0, {}, {}, 0};
  Run.Pollers = static_cast<unsigned>(Env.deployment().entries().size());
  Run.FirstSeen.resize(Run.Pollers);
  for (std::size_t I = 0; I < Run.FirstSeen.size(); ++I)
    pollRevision(Run, I);
  const std::uint64_t Before = co_await headRevision(Run);
  const Duration Interval =
      (std::max(Env.timeLeft(), ReservedTime) - ReservedTime) / ChangeCount;
  co_await makeChanges(Run, Interval);
  co_await sleepFor(std::min<Duration>(Env.timeLeft(), ReservedTime / 2));
  const TimePoint Until = steadyNow();
  const std::uint64_t After = co_await headRevision(Run);
  Run.Stopping = true;
  while (Run.Pollers > 0)
    co_await sleepFor(PollDelay);

  const std::vector<double> Times = inForceMs(Run, Until);
  const std::uint64_t NewRevisions = After - Before;
  RunReport Report;
  Report.Figures["in_force_max_ms"] = quantile(Times, 1);
  Report.Figures["in_force_p50_ms"] = quantile(Times, 0.5);
  Report.Figures["reversions"] = static_cast<int>(Run.Reversions);
  Report.Figures["doubled_accepts"] =
      NewRevisions > Run.AcceptedChanges
          ? static_cast<int>(NewRevisions - Run.AcceptedChanges)
          : 0;
  Report.Runs.push_back(Env.plot("config"));
  co_await Env.deployment().stop();
  if (Run.AcceptedChanges < ChangeCount)
    co_return makeError("only " + std::to_string(Run.AcceptedChanges) + " of " +
                        std::to_string(ChangeCount) + " changes were accepted");
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
