#include "bench/DeploymentSpec.h"

#include <QJsonArray>

namespace amaranthspur::bench {
namespace {

DeploymentSpec makeEngravers() {
  DeploymentSpec Spec;
  const Region Gauteng("gauteng");
  Spec.DataCentres = {{DataCentre("joburg-a"), Gauteng},
                      {DataCentre("pretoria-b"), Gauteng},
                      {DataCentre("paarl-a"), Region("westcape")}};
  Spec.WithinRegion = milliseconds(1);
  Spec.BetweenRegions = milliseconds(8);
  Spec.ToClients = milliseconds(1);
  Spec.ConnectionLimit = 30;
  Spec.Services = {"orders"};
  Spec.Classes = {{"order", 5000, 5, 0},
                  {"proof", 2000, 5, 1000},
                  {"check", 60000, 500, 5000}};
  Spec.Callers = {
      {"bench", 1, "order"}, {"portal", 1, "proof"}, {"heraldry", 1, "check"}};
  return Spec;
}

DeploymentSpec makeAssociation() {
  DeploymentSpec Spec;
  const Region Sur("sur");
  Spec.DataCentres = {{DataCentre("montevideo"), Sur},
                      {DataCentre("canelones"), Sur},
                      {DataCentre("paysandu"), Region("litoral")}};
  Spec.WithinRegion = Duration(1500);
  Spec.BetweenRegions = milliseconds(8);
  Spec.ToClients = milliseconds(3);
  Spec.ConnectionLimit = 50;
  Spec.Services = {"ledger"};
  Spec.Classes = {{"assignment", 2000, 5, 1000},
                  {"exchange", 3000, 8, 5000},
                  {"settlement", 30000, 200, 0}};
  Spec.Callers = {{"handset", 1, "assignment"},
                  {"stall", 1, "assignment"},
                  {"accounting", 1, "settlement"}};
  return Spec;
}

QJsonObject
serviceAnswer(const DeploymentSpec &Spec, const std::string &Name,
              const std::vector<ServerQuestionnaireEntry> &Servers) {
  QJsonArray ServerList;
  for (const ServerQuestionnaireEntry &Server : Servers)
    if (Server.Service == Name)
      ServerList.append(QJsonObject{
          {"id", QString::fromStdString(Server.Id)},
          {"host", QString::fromStdString(Server.Host)},
          {"port", Server.Port},
          {"data_centre", QString::fromStdString(Server.Location.str())},
          {"slots", static_cast<int>(Spec.Slots)},
          {"connection_limit", static_cast<int>(Spec.ConnectionLimit)}});
  QJsonArray ClassList;
  for (const ClassSpec &Class : Spec.Classes)
    ClassList.append(QJsonObject{
        {"name", QString::fromStdString(Class.Name)},
        {"deadline_ms", static_cast<int>(Class.DeadlineMs)},
        {"expected_length_ms", static_cast<int>(Class.ExpectedLengthMs)},
        {"max_staleness_ms", static_cast<int>(Class.MaxStalenessMs)},
        {"unrepeatable_writes", true}});
  QJsonArray CallerList;
  for (const CallerSpec &Caller : Spec.Callers)
    CallerList.append(QJsonObject{
        {"name", QString::fromStdString(Caller.Name)},
        {"weight", static_cast<int>(Caller.Weight)},
        {"default_class", QString::fromStdString(Caller.DefaultClass)}});
  return QJsonObject{{"name", QString::fromStdString(Name)},
                     {"backend_servers", ServerList},
                     {"classes", ClassList},
                     {"callers", CallerList}};
}

QJsonArray regionAnswers(const DeploymentSpec &Spec) {
  std::vector<std::pair<Region, QJsonArray>> Regions;
  for (const DataCentreSpec &Place : Spec.DataCentres) {
    if (Regions.empty() || Regions.back().first != Place.HomeRegion)
      Regions.emplace_back(Place.HomeRegion, QJsonArray());
    Regions.back().second.append(QString::fromStdString(Place.Name.str()));
  }
  QJsonArray List;
  for (const auto &[Name, Places] : Regions)
    List.append(QJsonObject{{"name", QString::fromStdString(Name.str())},
                            {"data_centres", Places}});
  return List;
}

} // namespace

DeploymentSpec makeDeployment(DeploymentKind Kind) {
  DeploymentSpec Spec =
      Kind == DeploymentKind::Engravers ? makeEngravers() : makeAssociation();
  Spec.EntryVms = {3, 2, 2};
  return Spec;
}

Duration latencyBetween(const DeploymentSpec &Spec, std::size_t From,
                        std::size_t To) {
  if (From == To)
    return Duration::zero();
  return Spec.DataCentres[From].HomeRegion == Spec.DataCentres[To].HomeRegion
             ? Spec.WithinRegion
             : Spec.BetweenRegions;
}

QJsonObject
questionnaire(const DeploymentSpec &Spec,
              const std::vector<ServerQuestionnaireEntry> &Servers) {
  QJsonArray Services;
  for (const std::string &Name : Spec.Services)
    Services.append(serviceAnswer(Spec, Name, Servers));
  return QJsonObject{
      {"regions", regionAnswers(Spec)},
      {"latency",
       QJsonObject{
           {"within_region_ms", toMilliseconds(Spec.WithinRegion)},
           {"between_regions_ms", toMilliseconds(Spec.BetweenRegions)}}},
      {"services", Services}};
}

} // namespace amaranthspur::bench
