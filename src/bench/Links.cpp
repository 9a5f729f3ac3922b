#include "bench/Links.h"

#include "bench/Remote.h"

#include <QJsonArray>

#include <algorithm>

namespace amaranthspur::bench {
namespace {

constexpr Duration ControlTimeout = std::chrono::seconds(2);

QJsonObject setCommand(const LinkScope &Scope, const LinkRule &Rule) {
  return QJsonObject{{"command", "set"},
                     {"from", QString::fromStdString(Scope.From)},
                     {"to", QString::fromStdString(Scope.To)},
                     {"delay_us", static_cast<qint64>(Rule.Delay.count())},
                     {"jitter_us", 0},
                     {"cut", Rule.Cut},
                     {"silent", Rule.Silent},
                     {"drop_forward", Rule.DropForward},
                     {"drop_backward", Rule.DropBackward},
                     {"bandwidth_kbit", static_cast<int>(Rule.BandwidthKbit)}};
}

QJsonObject statsCommand() { return QJsonObject{{"command", "stats"}}; }

} // namespace

std::string addressPrefix(std::size_t DataCentreIndex) {
  return "127.0." + std::to_string(DataCentreIndex + 1) + ".";
}

std::string linkPrefix(const DeploymentSpec &Spec,
                       std::size_t DataCentreIndex) {
  return Spec.DataCentres[DataCentreIndex].Name.str() + ".";
}

std::string callerLinkPrefix(const DeploymentSpec &Spec,
                             std::size_t DataCentreIndex) {
  return linkPrefix(Spec, DataCentreIndex) + "callers.";
}

std::vector<std::pair<LinkScope, LinkRule>>
latencyRules(const DeploymentSpec &Spec) {
  std::vector<std::pair<LinkScope, LinkRule>> Rules;
  for (std::size_t To = 0; To < Spec.DataCentres.size(); ++To) {
    for (std::size_t From = 0; From < Spec.DataCentres.size(); ++From) {
      LinkRule Rule;
      Rule.Delay = latencyBetween(Spec, From, To);
      if (Spec.DataCentres[From].HomeRegion != Spec.DataCentres[To].HomeRegion)
        Rule.BandwidthKbit = Spec.RegionLinkKbit;
      Rules.push_back({{addressPrefix(From), linkPrefix(Spec, To)}, Rule});
    }
    LinkRule ToClients;
    ToClients.Delay = Spec.ToClients;
    Rules.push_back({{"", callerLinkPrefix(Spec, To)}, ToClients});
  }
  return Rules;
}

std::vector<std::pair<LinkScope, LinkRule>>
isolationRules(const DeploymentSpec &Spec, std::size_t DataCentreIndex) {
  std::vector<std::pair<LinkScope, LinkRule>> Rules;
  LinkRule Cut;
  Cut.Cut = true;
  for (std::size_t Other = 0; Other < Spec.DataCentres.size(); ++Other) {
    if (Other == DataCentreIndex)
      continue;
    Rules.push_back(
        {{addressPrefix(Other), linkPrefix(Spec, DataCentreIndex)}, Cut});
    Rules.push_back(
        {{addressPrefix(DataCentreIndex), linkPrefix(Spec, Other)}, Cut});
    Rules.push_back(
        {{addressPrefix(Other), callerLinkPrefix(Spec, DataCentreIndex)}, Cut});
    Rules.push_back(
        {{addressPrefix(DataCentreIndex), callerLinkPrefix(Spec, Other)}, Cut});
  }
  return Rules;
}

std::vector<std::pair<LinkScope, LinkRule>>
serverIsolationRules(const DeploymentSpec &Spec, std::size_t DataCentreIndex,
                     const std::string &Server) {
  std::vector<std::pair<LinkScope, LinkRule>> Rules;
  LinkRule Cut;
  Cut.Cut = true;
  for (std::size_t Other = 0; Other < Spec.DataCentres.size(); ++Other)
    if (Other != DataCentreIndex)
      Rules.push_back(
          {{addressPrefix(Other), linkPrefix(Spec, DataCentreIndex) + Server},
           Cut});
  return Rules;
}

LinkRule effectiveRule(const std::vector<std::pair<LinkScope, LinkRule>> &Rules,
                       const std::string &Client, const std::string &Link) {
  const std::pair<LinkScope, LinkRule> *Best = nullptr;
  const auto Rank = [](const LinkScope &Scope) {
    return std::pair(Scope.To.size(), Scope.From.size());
  };
  for (const auto &Entry : Rules)
    if (Client.starts_with(Entry.first.From) &&
        Link.starts_with(Entry.first.To) &&
        (!Best || Rank(Best->first) <= Rank(Entry.first)))
      Best = &Entry;
  return Best ? Best->second : LinkRule();
}

std::vector<LinkTraffic> readTraffic(const QJsonObject &Stats) {
  std::vector<LinkTraffic> List;
  const QJsonArray Entries = Stats["links"].toArray();
  for (const auto &Entry : Entries) {
    const QJsonObject Fields = Entry.toObject();
    LinkTraffic Traffic;
    Traffic.From = Fields["from"].toString().toStdString() + ".";
    Traffic.Link = Fields["link"].toString().toStdString();
    Traffic.Bytes = static_cast<std::uint64_t>(Fields["forward"].toInteger() +
                                               Fields["backward"].toInteger());
    List.push_back(std::move(Traffic));
  }
  return List;
}

bool crossesRegions(const DeploymentSpec &Spec, const LinkTraffic &Traffic) {
  for (std::size_t A = 0; A < Spec.DataCentres.size(); ++A)
    for (std::size_t B = 0; B < Spec.DataCentres.size(); ++B)
      if (Spec.DataCentres[A].HomeRegion != Spec.DataCentres[B].HomeRegion &&
          Traffic.From.starts_with(addressPrefix(A)) &&
          Traffic.Link.starts_with(linkPrefix(Spec, B)))
        return true;
  return false;
}

QCoro::Task<> Links::send(LinkScope Scope, LinkRule Rule) {
  for (const Address &Control : this->Controls)
    co_await sendJsonLine(Control, setCommand(Scope, Rule),
                          steadyNow() + ControlTimeout);
}

QCoro::Task<> Links::set(LinkScope Scope, LinkRule Rule) {
  if (std::ranges::find(this->FaultedScopes, Scope) ==
      this->FaultedScopes.end())
    this->FaultedScopes.push_back(Scope);
  co_await this->send(Scope, Rule);
}

QCoro::Task<> Links::isolate(std::size_t DataCentreIndex) {
  const auto Rules = isolationRules(this->Spec, DataCentreIndex);
  for (const auto &[Scope, Rule] : Rules)
    co_await this->set(Scope, Rule);
}

QCoro::Task<> Links::removeAllFaults() {
  const auto Rules = latencyRules(this->Spec);
  for (const auto &[Scope, Rule] : Rules)
    co_await this->send(Scope, Rule);
  std::vector<LinkScope> Scopes;
  Scopes.swap(this->FaultedScopes);
  for (const LinkScope &Scope : Scopes)
    co_await this->removeFault(Scope);
}

QCoro::Task<> Links::removeFault(LinkScope Scope) {
  // fault-proxy cannot remove a single rule, so the scope of the fault gets a
  // rule with the latency that would apply without the fault.
  const LinkRule Rule =
      effectiveRule(latencyRules(this->Spec), Scope.From, Scope.To);
  co_await this->send(Scope, Rule);
}

QCoro::Task<std::vector<LinkTraffic>> Links::traffic() {
  std::vector<LinkTraffic> All;
  for (const Address &Control : this->Controls) {
    const QJsonObject Command = statsCommand();
    const auto Stats =
        co_await sendJsonLine(Control, Command, steadyNow() + ControlTimeout);
    if (!succeeded(Stats))
      continue;
    for (LinkTraffic &Each : readTraffic(valueOf(Stats)))
      All.push_back(std::move(Each));
  }
  co_return All;
}

QCoro::Task<std::uint64_t> Links::crossRegionBytes() {
  std::uint64_t Sum = 0;
  const std::vector<LinkTraffic> All = co_await this->traffic();
  for (const LinkTraffic &Each : All)
    if (crossesRegions(this->Spec, Each))
      Sum += Each.Bytes;
  co_return Sum;
}

QCoro::Task<std::uint64_t> Links::nodeBytes(std::string Prefix,
                                            std::string Entry) {
  std::uint64_t Sum = 0;
  const std::vector<LinkTraffic> All = co_await this->traffic();
  for (const LinkTraffic &Each : All)
    if (Each.From.starts_with(Prefix) || Each.Link.ends_with("." + Entry))
      Sum += Each.Bytes;
  co_return Sum;
}

} // namespace amaranthspur::bench
