#include "root/sessions/RouteQueries.h"

#include "core/BootClock.h"
#include "root/sessions/StatementRunner.h"

#include <QJsonArray>

namespace amaranthspur {
namespace {

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

QJsonValue ms(const std::optional<Duration> &D) {
  return D ? QJsonValue(static_cast<qint64>(*D / milliseconds(1)))
           : QJsonValue();
}

QJsonObject toJson(const DatabaseRoute &R) {
  QJsonObject Out{{"service", text(R.Service.str())},
                  {"consistency", text(nameOf(R.Consistency))},
                  {"timeout_ms", ms(R.StatementTimeout)},
                  {"objective_ms", ms(R.LatencyObjective)},
                  {"urgency", static_cast<qint64>(R.Urgency)}};
  if (R.Consistency != ReadConsistency::Primary)
    Out["max_staleness_ms"] = ms(R.MaxStaleness);
  return Out;
}

QJsonObject toJson(const ExplainedCandidate &C) {
  const SelectionCandidate &E = C.Considered.Evidence;
  QJsonObject Out{{"server", text(E.Id.str())},
                  {"role", C.Role ? text(nameOf(*C.Role)) : "unknown"},
                  {"tier", text(nameOf(C.Considered.Tier))},
                  {"weight", C.Weight},
                  {"cost_ms", ms(E.Cost)},
                  {"latency_ms", ms(E.Latency)},
                  {"slots", static_cast<qint64>(E.Slots)},
                  {"in_flight", static_cast<qint64>(E.InFlight)},
                  {"avoided", C.IsAvoided},
                  {"answer_age_ms", ms(C.AnswerAge)}};
  if (E.Busy) {
    Out["busy"] = static_cast<qint64>(*E.Busy);
    Out["busy_age_ms"] = ms(E.BusyAge);
  }
  if (E.RefusalAge)
    Out["refusal_age_ms"] = ms(E.RefusalAge);
  if (C.Position) {
    Out["position"] = text(positionText(C.Position));
    Out["position_age_ms"] = ms(C.PositionAge);
  }
  return Out;
}

QJsonObject toJson(const QuotaState &Q) {
  return {{"rate_per_s", Q.Use.Limit.RatePerSecond},
          {"burst", Q.Use.Limit.Burst},
          {"leased", Q.Use.Tokens},
          {"spent", static_cast<qint64>(Q.Use.Spent)},
          {"refused", static_cast<qint64>(Q.Use.Refused)},
          {"next", text(nameOf(Q.Next))}};
}

QJsonObject toJson(const RouteExplanation &E, Access Mode) {
  QJsonObject Out{{"refusal", text(nameOf(E.Refusal))},
                  {"mode", text(nameOf(Mode))}};
  if (E.Route)
    Out["route"] = toJson(*E.Route);
  if (!E.Of.empty())
    Out["workspace"] = text(E.Of.str());
  if (E.Quota)
    Out["quota"] = toJson(*E.Quota);
  Out["place"] = text(nameOf(E.Place));
  QJsonObject Constraint{{"at_primary", E.NeedsPrimary}};
  if (E.Constraint.Floor)
    Constraint["floor"] = text(positionText(E.Constraint.Floor));
  if (E.FloorAge)
    Constraint["floor_age_ms"] = ms(E.FloorAge);
  Out["constraint"] = Constraint;
  if (E.Primary)
    Out["primary"] =
        QJsonObject{{"server", text(E.Primary->Id.str())},
                    {"term", static_cast<qint64>(E.Primary->TermNumber)}};
  QJsonArray Candidates;
  for (const ExplainedCandidate &C : E.Candidates)
    Candidates.append(toJson(C));
  Out["candidates"] = Candidates;
  return Out;
}

} // namespace

std::optional<LogPosition>
ExplainedGroup::floorFor(const DatabaseRoute &Route) {
  return this->Of->freshness().floorAsOf(floorTime(Route, bootNow()));
}

std::optional<Duration> ExplainedGroup::floorAge() const {
  const std::optional<TimePoint> Newest = this->Of->freshness().newestUsable();
  if (!Newest)
    return std::nullopt;
  return bootNow() - *Newest;
}

GroupEvidenceView *RouteQueries::group(const ServiceName &Service) {
  std::shared_ptr<Group> Found = this->Dependencies.FindGroup(Service);
  if (!Found)
    return nullptr;
  return &this->Asked.emplace(std::move(Found));
}

QJsonObject
RouteQueries::answer(const std::map<std::string, std::string> &Parameters) {
  const auto Value = [&Parameters](const std::string &Name) {
    const auto Found = Parameters.find(Name);
    return Found == Parameters.end() ? std::string() : Found->second;
  };
  const std::string Mode = Value("mode");
  const std::optional<Access> Asked =
      Mode.empty() ? Access::Read : parseName<Access>(Mode);
  if (!Asked)
    return {{"error", text("mode: allowed are " + allNames<Access>())}};
  const RouteQuestion Question{Value("database"),
                               WorkspaceName(Value("workspace")), *Asked};
  const std::shared_ptr<const AccessPlan> Plan = this->Dependencies.Plan();
  const RouteExplainer Explainer(*Plan, *this);
  QJsonObject Out = toJson(Explainer.explain(Question, steadyNow()), *Asked);
  this->Asked.reset();
  return Out;
}

} // namespace amaranthspur
