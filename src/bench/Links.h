// The latencies and the injected faults of the links of a deployment.
//
// Each data centre has one fault-proxy, which forwards all links into it. The
// rules are those of the control port of fault-proxy (docs/design.md, section
// 10.3). A rule without a fault sets only a latency, so a fault is removed by
// setting the latency again.
#ifndef AMARANTHSPUR_BENCH_LINKS_H
#define AMARANTHSPUR_BENCH_LINKS_H

#include "bench/DeploymentSpec.h"
#include "wire/Connection.h"

#include <QCoroTask>
#include <QJsonObject>

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace amaranthspur::bench {

/// The connections to which a rule applies, as prefixes of the client's address
/// and of the link's name.
struct LinkScope {
  std::string From;
  std::string To;

  auto operator<=>(const LinkScope &) const = default;
};

/// The latency and faults of the links of a scope. The fields are those of the
/// `set` command of fault-proxy.
struct LinkRule {
  Duration Delay{}; ///< In each direction.
  bool Cut = false;
  bool Silent = false;
  bool DropForward = false;
  bool DropBackward = false;
  unsigned BandwidthKbit = 0; ///< 0: unlimited.

  bool operator==(const LinkRule &) const = default;
};

/// Returns the address prefix of data centre \p DataCentreIndex, for
/// LinkScope::From.
std::string addressPrefix(std::size_t DataCentreIndex);
/// Returns the prefix of the links into \p DataCentreIndex, for LinkScope::To.
std::string linkPrefix(const DeploymentSpec &Spec, std::size_t DataCentreIndex);
/// Returns the prefix of the links from callers into \p DataCentreIndex.
std::string callerLinkPrefix(const DeploymentSpec &Spec,
                             std::size_t DataCentreIndex);

/// Returns the rules that give the links of \p Spec their latencies, without
/// faults.
std::vector<std::pair<LinkScope, LinkRule>>
latencyRules(const DeploymentSpec &Spec);

/// Returns the rules that isolate data centre \p DataCentreIndex from all
/// others. Callers inside it can still connect to its entry VMs.
std::vector<std::pair<LinkScope, LinkRule>>
isolationRules(const DeploymentSpec &Spec, std::size_t DataCentreIndex);

/// Returns the rules that cut the links into server \p Server of data centre
/// \p DataCentreIndex from all other data centres. Entry VMs in the same data
/// centre can still connect to it.
std::vector<std::pair<LinkScope, LinkRule>>
serverIsolationRules(const DeploymentSpec &Spec, std::size_t DataCentreIndex,
                     const std::string &Server);

/// Returns the rule of \p Rules that fault-proxy applies to a connection from
/// \p Client over the link \p Link: among the matching rules the one with the
/// longest `to`, then the longest `from`.
LinkRule effectiveRule(const std::vector<std::pair<LinkScope, LinkRule>> &Rules,
                       const std::string &Client, const std::string &Link);

/// One entry of the answer of fault-proxy to `stats`: the traffic between the
/// clients of one address prefix and one link.
struct LinkTraffic {
  std::string From; ///< Address prefix, including the last dot.
  std::string Link;
  std::uint64_t Bytes = 0; ///< Sum of both directions.
};

/// Parses the answer of fault-proxy to `stats`.
std::vector<LinkTraffic> readTraffic(const QJsonObject &Stats);

/// Returns whether \p Traffic crosses regions of \p Spec.
bool crossesRegions(const DeploymentSpec &Spec, const LinkTraffic &Traffic);

/// Sends rules to the fault-proxies of a deployment.
class Links {
public:
  explicit Links(const DeploymentSpec &Spec) : Spec(Spec) {}

  /// Adds the address of the control port of one fault-proxy.
  void addControl(const Address &Control) { this->Controls.push_back(Control); }

  /// Sets the rule of \p Scope; it stays in force until removeFault() or
  /// removeAllFaults().
  QCoro::Task<> set(LinkScope Scope, LinkRule Rule);
  /// Isolates data centre \p DataCentreIndex from all others; see
  /// isolationRules().
  QCoro::Task<> isolate(std::size_t DataCentreIndex);
  /// Removes the fault of \p Scope.
  QCoro::Task<> removeFault(LinkScope Scope);
  /// Removes all faults.
  QCoro::Task<> removeAllFaults();
  /// Returns the number of bytes that have crossed regions, in both
  /// directions.
  QCoro::Task<std::uint64_t> crossRegionBytes();
  /// Returns the number of bytes, in both directions, that clients with the
  /// address prefix \p Prefix or links to entry VM \p Entry have transferred.
  QCoro::Task<std::uint64_t> nodeBytes(std::string Prefix, std::string Entry);

private:
  QCoro::Task<> send(LinkScope Scope, LinkRule Rule);
  QCoro::Task<std::vector<LinkTraffic>> traffic();

  const DeploymentSpec &Spec;
  std::vector<Address> Controls;
  std::vector<LinkScope> FaultedScopes;
};

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_LINKS_H
