// Scenario `config`: changes of the configuration while the store fails.
#include "bench/Stage.h"

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

constexpr unsigned Changes = 50;
constexpr Duration PollDelay = milliseconds(20);
constexpr Duration PollTimeout = milliseconds(500);
constexpr Duration OutageTime = milliseconds(400);
/// Every so many changes the store has an outage, or loses answers.
constexpr unsigned FaultEvery = 5;
constexpr unsigned MostAttempts = 20;
/// Time for the last revision to come into force, and for the end.
constexpr Duration Reserve = milliseconds(3500);

/// What the pollers and the changes share.
struct ConfigRun {
  Stage &Scene;
  bool Stopping = false;
  unsigned Reversions = 0;
  unsigned Pollers = 0;
  /// When each entry VM was first seen with a revision or a later one.
  std::vector<std::map<std::uint64_t, TimePoint>> Seen;
  std::map<std::uint64_t, TimePoint> Accepted; ///< By revision.
  unsigned AcceptedChanges = 0;
};

QCoro::Task<> setStore(ConfigRun &Run, QJsonObject Fields) {
  const std::string Body =
      QJsonDocument(Fields).toJson(QJsonDocument::Compact).toStdString();
  co_await sendHttp(HttpMethod::Put, Run.Scene.deployment().platform(),
                    "/fault", Body, steadyNow() + PollTimeout);
}

QJsonObject outageFields() { return {{"outage", true}}; }

QJsonObject lostAnswerFields(std::uint64_t Seed) {
  return {{"lose_answers", 0.5}, {"seed", static_cast<qint64>(Seed)}};
}

/// Watches which revision entry VM \p Index has in force.
QCoro::Task<> pollRevision(ConfigRun &Run, std::size_t Index) {
  std::uint64_t Last = 0;
  while (!Run.Stopping) {
    const Address Admin = Run.Scene.deployment().entries()[Index].Admin;
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
        Run.Seen[Index].emplace(Now, steadyNow());
      Last = Now;
    }
    co_await sleepFor(PollDelay);
  }
  --Run.Pollers;
}

/// Returns the deployment's answers with another weight of the first caller.
QJsonObject changedAnswers(const Deployment &Over, unsigned Change) {
  QJsonObject Answers = Over.answers();
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

/// Accepts one change, with the same operation again and again until its
/// outcome is known, and returns its revision; 0 if it was never accepted.
QCoro::Task<std::uint64_t> acceptOne(ConfigRun &Run, unsigned Change,
                                     std::uint64_t From) {
  const QJsonObject Answers = changedAnswers(Run.Scene.deployment(), Change);
  const std::string Operation = "bench-" + std::to_string(Change);
  for (unsigned Attempt = 0; Attempt < MostAttempts; ++Attempt) {
    const auto Done =
        co_await Run.Scene.deployment().accept(Answers, From, Operation);
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

QCoro::Task<> makeChanges(ConfigRun &Run, Duration Pace) {
  std::uint64_t Revision = 1;
  for (unsigned Change = 1; Change <= Changes; ++Change) {
    const TimePoint Next = steadyNow() + Pace;
    const bool Outage = Change % FaultEvery == 0;
    const bool Losing = Change % FaultEvery == 2;
    if (Outage) {
      Run.Scene.mark("store outage");
      const QJsonObject Fields = outageFields();
      co_await setStore(Run, Fields);
      co_await sleepFor(OutageTime);
    }
    const QJsonObject Fault = Losing ? lostAnswerFields(Change) : QJsonObject();
    co_await setStore(Run, Fault);
    const std::uint64_t Got = co_await acceptOne(Run, Change, Revision);
    if (Got > 0) {
      ++Run.AcceptedChanges;
      Run.Accepted[Got] = steadyNow();
      Revision = std::max(Revision, Got);
    }
    const QJsonObject NoFault;
    co_await setStore(Run, NoFault);
    if (Next > steadyNow())
      co_await sleepFor(Next - steadyNow());
  }
}

/// Returns for each accepted revision how long it took until the last entry VM
/// had it, or a later one, in force; the time so far if one never had.
std::vector<double> inForceMs(const ConfigRun &Run, TimePoint Until) {
  std::vector<double> Times;
  for (const auto &[Revision, At] : Run.Accepted) {
    TimePoint Last = At;
    for (const auto &Seen : Run.Seen) {
      const auto Found = Seen.lower_bound(Revision);
      Last = std::max(Last, Found == Seen.end() ? Until : Found->second);
    }
    Times.push_back(toMilliseconds(Last - At));
  }
  return Times;
}

/// Returns the revision that the platform holds; each accepted change raises it
/// by one.
QCoro::Task<std::uint64_t> headRevision(ConfigRun &Run) {
  HttpPlatform Store(Run.Scene.deployment().platform(), 1);
  const Result<TableRow> Row =
      co_await Store.readRow(config::HeadKey, steadyNow() + PollTimeout);
  if (!succeeded(Row))
    co_return std::uint64_t(0);
  const Result<config::Head> Head = config::parseHead(valueOf(Row).Value);
  co_return succeeded(Head) ? valueOf(Head).Revision : std::uint64_t(0);
}

} // namespace

QCoro::Task<Result<RunReport>> runConfig(RunSettings Settings) {
  Stage Scene(Settings, makeDeployment(DeploymentKind::Engravers));
  const Result<Success> Started = co_await Scene.start();
  if (!succeeded(Started))
    co_return failed(errorOf(Started));
  ConfigRun Run{Scene, false, 0, 0, {}, {}, 0};
  Run.Pollers = static_cast<unsigned>(Scene.deployment().entries().size());
  Run.Seen.resize(Run.Pollers);
  for (std::size_t I = 0; I < Run.Seen.size(); ++I)
    pollRevision(Run, I);
  const std::uint64_t Before = co_await headRevision(Run);
  const Duration Pace = (std::max(Scene.left(), Reserve) - Reserve) / Changes;
  co_await makeChanges(Run, Pace);
  co_await sleepFor(std::min<Duration>(Scene.left(), Reserve / 2));
  const TimePoint Until = steadyNow();
  const std::uint64_t After = co_await headRevision(Run);
  Run.Stopping = true;
  while (Run.Pollers > 0)
    co_await sleepFor(PollDelay);

  const std::vector<double> Times = inForceMs(Run, Until);
  const std::uint64_t Made = After - Before;
  RunReport Report;
  Report.Figures["in_force_max_ms"] = quantile(Times, 1);
  Report.Figures["in_force_p50_ms"] = quantile(Times, 0.5);
  Report.Figures["reversions"] = static_cast<int>(Run.Reversions);
  Report.Figures["doubled_accepts"] =
      Made > Run.AcceptedChanges ? static_cast<int>(Made - Run.AcceptedChanges)
                                 : 0;
  Report.Runs.push_back(Scene.plot("config"));
  co_await Scene.deployment().stop();
  if (Run.AcceptedChanges < Changes)
    co_return failed("only " + std::to_string(Run.AcceptedChanges) + " of " +
                     std::to_string(Changes) + " changes were accepted");
  co_return std::move(Report);
}

} // namespace amaranthspur::bench
