// The log lines of the steps of a takeover.
#include "root/groups/GroupMonitor.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {

std::string GroupMonitor::describe(const ServerReports &Seen) const {
  std::string Text;
  for (const auto &[Id, Report] : Seen) {
    const RegisteredServer *Known = this->registration(Id);
    Text += (Text.empty() ? "" : " ") + Id.str() + "@" +
            (Known ? Known->Version : StoreVersion()).str() + ":" +
            std::string(nameOf(Report.Role)) + "," +
            std::to_string(Report.TermNumber) + "," +
            positionText(Report.Received) + "," +
            std::to_string(Report.AdoptedTerm);
  }
  return Text;
}

std::string
GroupMonitor::describeFound(const std::vector<TakeoverServer> &Listed,
                            const TakeoverProcedure &Procedure) const {
  std::string Text;
  for (const TakeoverServer &S : Listed)
    Text += (Text.empty() ? "" : " ") + S.Id.str() + "@" +
            this->Found.at(S.Id).Version.str() +
            (Procedure.isNew(S) ? ":new" : "");
  return Text;
}

void GroupMonitor::logStep(const TakeoverAction &Action, const HeldClaim &Held,
                           Term T, const std::string &Outcome) {
  std::string Asked;
  for (const ServerId &Id : Action.Servers)
    Asked += (Asked.empty() ? "" : " ") + Id.str();
  const bool IsOrder = Action.Step == TakeoverStep::Order;
  const bool HasEnds = IsOrder || Action.Step == TakeoverStep::Confirm;
  std::string RequiredBy(nameOf(Action.Required.Source));
  if (!Action.Required.Server.empty())
    RequiredBy += ":" + Action.Required.Server.str();
  log(LogLevel::Info,
      IsOrder ? LogEvent::PromotionOrdered : LogEvent::TakeoverStepDone,
      {{"service", this->Monitored->name().str()},
       {"step", nameOf(Action.Step)},
       {"target", Action.Target.empty() ? "-" : Action.Target.str()},
       {"term", T},
       {"fence", fencingToken(Held.Version)},
       {"since_claim_ms", (bootNow() - Held.Begun) / milliseconds(1)},
       {"asked", Asked.empty() ? "-" : Asked},
       {"required", HasEnds ? positionText(Action.Required.Position) : "-"},
       {"required_by", HasEnds ? RequiredBy : "-"},
       {"target_end", HasEnds ? positionText(Action.TargetEnd) : "-"},
       {"outcome", Outcome}});
}

} // namespace amaranthspur
