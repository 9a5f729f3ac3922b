#include "ctl/RouteReport.h"

#include <QJsonArray>

#include <array>

namespace amaranthspur::ctl {
namespace {

/// Returns the text of a name, a number or a truth value; `-` if it is absent.
std::string textOf(const QJsonValue &V) {
  if (V.isString())
    return V.toString().toStdString();
  if (V.isBool())
    return V.toBool() ? "yes" : "no";
  if (!V.isDouble())
    return "-";
  return QString::number(V.toDouble(), 'g', 6).toStdString();
}

/// A member of an object and what it is called in a line.
struct Member {
  const char *Key;
  const char *Label;
};

/// Returns the members of \p O that are present, as `label value` pairs.
template <std::size_t Count>
std::string line(const QJsonObject &O, const std::array<Member, Count> &Of) {
  std::string Out;
  for (const Member &M : Of) {
    if (!O.contains(M.Key))
      continue;
    Out += Out.empty() ? "" : ", ";
    Out += std::string(M.Label) + " " + textOf(O[M.Key]);
  }
  return Out;
}

constexpr auto RouteMembers =
    std::to_array<Member>({{"service", "service"},
                           {"consistency", "consistency"},
                           {"max_staleness_ms", "staleness bound (ms)"},
                           {"timeout_ms", "limit (ms)"},
                           {"objective_ms", "objective (ms)"},
                           {"urgency", "urgency"}});
constexpr auto QuotaMembers =
    std::to_array<Member>({{"rate_per_s", "rate per s"},
                           {"burst", "burst"},
                           {"leased", "leased here"},
                           {"spent", "spent"},
                           {"refused", "refused"},
                           {"next", "next operation"}});
constexpr auto ConstraintMembers =
    std::to_array<Member>({{"at_primary", "at the primary"},
                           {"floor", "floor"},
                           {"floor_age_ms", "age of its evidence (ms)"}});
constexpr auto CandidateMembers =
    std::to_array<Member>({{"role", "role"},
                           {"tier", "tier"},
                           {"weight", "weight"},
                           {"cost_ms", "cost (ms)"},
                           {"latency_ms", "latency (ms)"},
                           {"in_flight", "in flight"},
                           {"slots", "slots"},
                           {"busy", "busy slots"},
                           {"busy_age_ms", "their age (ms)"},
                           {"refusal_age_ms", "refusal age (ms)"},
                           {"position", "log"},
                           {"position_age_ms", "its age (ms)"},
                           {"answer_age_ms", "last answer (ms ago)"},
                           {"avoided", "avoided"}});
constexpr auto PrimaryMembers =
    std::to_array<Member>({{"server", "server"}, {"term", "term"}});

} // namespace

Report routeReport(const QJsonObject &Answer) {
  if (Answer.contains("error"))
    return failure(ExitStatus::Invalid, textOf(Answer["error"]));
  Report R;
  R.Json = Answer;
  const std::string Refusal = textOf(Answer["refusal"]);
  const std::string Of =
      Answer.contains("workspace") ? textOf(Answer["workspace"]) : "none";
  R.line(textOf(Answer["mode"]) + " of workspace " + Of + ": " +
         (Refusal == "none" ? "would be run" : "refused, " + Refusal));
  if (Refusal != "none")
    R.Status = ExitStatus::Refused;
  if (!Answer.contains("route"))
    return R;
  R.line("route: " + line(Answer["route"].toObject(), RouteMembers));
  if (Answer.contains("quota"))
    R.line("quota: " + line(Answer["quota"].toObject(), QuotaMembers));
  R.line("run at: " + textOf(Answer["place"]));
  R.line("constraint: " +
         line(Answer["constraint"].toObject(), ConstraintMembers));
  if (Answer.contains("primary"))
    R.line("primary: " + line(Answer["primary"].toObject(), PrimaryMembers));
  for (const auto &V : Answer["candidates"].toArray()) {
    const QJsonObject C = V.toObject();
    R.line("candidate " + textOf(C["server"]) + ": " +
           line(C, CandidateMembers));
  }
  return R;
}

} // namespace amaranthspur::ctl
