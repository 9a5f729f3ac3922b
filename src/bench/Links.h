// The latencies and faults of a deployment's links.
//
// One fault-proxy for each data centre carries the links into it. The rules are
// those of its control port (design, section 10.3); a rule without a fault is a
// latency, so that a fault is taken back by setting the latency again.
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

/// Whose connections to which links a rule covers: prefixes of the client's
/// address and of the link's name.
struct LinkScope {
  std::string From;
  std::string To;

  auto operator<=>(const LinkScope &) const = default;
};

/// State of the links of a scope; the fields are those of fault-proxy's `set`.
struct LinkRule {
  Duration Delay{}; ///< Each way.
  bool Cut = false;
  bool Silent = false;
  bool DropForward = false;
  bool DropBackward = false;
  unsigned BandwidthKbit = 0; ///< 0: unlimited.

  bool operator==(const LinkRule &) const = default;
};

/// Returns the address prefix of data centre \p Place, for LinkScope::From.
std::string addressPrefix(std::size_t Place);
/// Returns the prefix of the links into \p Place, for LinkScope::To.
std::string linkPrefix(const DeploymentSpec &Spec, std::size_t Place);
/// Returns the prefix of the links from callers into \p Place.
std::string callerLinkPrefix(const DeploymentSpec &Spec, std::size_t Place);

/// Returns the rules of \p Spec without faults.
std::vector<std::pair<LinkScope, LinkRule>>
latencyRules(const DeploymentSpec &Spec);

/// Returns the rules that cut data centre \p Place off from all others. Callers
/// inside it still reach its entry VMs.
std::vector<std::pair<LinkScope, LinkRule>>
isolationRules(const DeploymentSpec &Spec, std::size_t Place);

/// Returns the rules that cut the links into server \p Server of data centre
/// \p Place from all other data centres. Entry VMs beside it still reach it.
std::vector<std::pair<LinkScope, LinkRule>>
serverIsolationRules(const DeploymentSpec &Spec, std::size_t Place,
                     const std::string &Server);

/// Returns the rule of \p Rules that fault-proxy applies to a connection from
/// \p Client over the link \p Link: the longest `to`, then the longest `from`.
LinkRule effectiveRule(const std::vector<std::pair<LinkScope, LinkRule>> &Rules,
                       const std::string &Client, const std::string &Link);

/// One entry of fault-proxy's `stats`: what clients of one address prefix have
/// sent and received over one link.
struct LinkTraffic {
  std::string From; ///< Address prefix with its last dot.
  std::string Link;
  std::uint64_t Bytes = 0; ///< Both ways.
};

/// Reads an answer of fault-proxy to `stats`.
std::vector<LinkTraffic> readTraffic(const QJsonObject &Stats);

/// Returns whether \p Traffic crosses between regions of \p Spec.
bool crossesRegions(const DeploymentSpec &Spec, const LinkTraffic &Traffic);

/// Sends rules to the fault-proxies of a deployment.
class Links {
public:
  explicit Links(const DeploymentSpec &Spec) : Spec(Spec) {}

  /// Adds the control port of one fault-proxy.
  void addControl(const Address &Control) { this->Controls.push_back(Control); }

  /// Sets the rule of \p Scope until heal().
  QCoro::Task<> set(LinkScope Scope, LinkRule Rule);
  /// Cuts data centre \p Place off.
  QCoro::Task<> isolate(std::size_t Place);
  /// Takes back the fault of \p Scope.
  QCoro::Task<> restore(LinkScope Scope);
  /// Takes back every fault.
  QCoro::Task<> heal();
  /// Returns the bytes that have crossed between regions, both ways.
  QCoro::Task<std::uint64_t> crossRegionBytes();
  /// Returns the bytes that clients with the address prefix \p Prefix, or links
  /// to entry VM \p Entry, have carried so far, both ways.
  QCoro::Task<std::uint64_t> nodeBytes(std::string Prefix, std::string Entry);

private:
  QCoro::Task<> send(LinkScope Scope, LinkRule Rule);
  QCoro::Task<std::vector<LinkTraffic>> traffic();

  const DeploymentSpec &Spec;
  std::vector<Address> Controls;
  std::vector<LinkScope> Faulted;
};

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_LINKS_H
