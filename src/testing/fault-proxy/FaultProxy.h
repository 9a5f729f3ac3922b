// The listeners of the fault-proxy: links and the control port.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H

#include "testing/fault-proxy/LinkConnection.h"

#include <QTcpServer>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace amaranthspur::fault {

/// One link: where it listens and where it leads.
struct LinkSettings {
  std::string Name;
  Address Listen;
  Address Upstream;
};

/// Settings from the command line.
struct ProxySettings {
  Address Control;
  std::vector<LinkSettings> Links;
  bool AsSource = false;
};

/// Parses the command line; see docs/design.md, section 10.3.
Result<ProxySettings> parseProxySettings(int Argc, const char *const *Argv);

/// Forwards TCP connections and applies the rules that tests set.
class FaultProxy {
public:
  explicit FaultProxy(ProxySettings Config);

  /// Starts listening; an error if an address is taken.
  Result<Success> start();

  /// Ends all connections; returns when their tasks have ended.
  QCoro::Task<> stop(TimePoint Deadline);

private:
  using StatsKey = std::pair<std::string, std::string>;

  Result<Success> listen(QTcpServer &Listener, const Address &At,
                         std::function<void(QTcpSocket *)> OnConnection);
  QCoro::Task<> serveLink(const LinkSettings &Link, QTcpSocket *Client);
  QCoro::Task<> serveControl(QTcpSocket *Client);
  QByteArray answer(const QByteArray &Line);
  QByteArray stats() const;

  ProxySettings Config;
  LinkRules Rules;
  Alarm Times;
  Random Chance{1};
  std::vector<std::unique_ptr<QTcpServer>> Listeners;
  std::set<LinkConnection *> Connections;
  std::set<QTcpSocket *> ControlClients;
  std::map<StatsKey, LinkStats> Stats; ///< By client's network and link.
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H
