// The listeners of the fault-proxy: one for each link, and the control port.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H

#include "testing/fault-proxy/LinkConnection.h"

#include <QTcpServer>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace amaranthspur::fault {

/// One link: the address it listens on and the address it forwards to.
struct LinkSettings {
  std::string Name;
  Address Listen;
  Address Upstream;
};

/// The settings from the command line.
struct ProxySettings {
  Address Control;
  std::vector<LinkSettings> Links;
  /// Whether upstream connections are bound to the client's address.
  bool AsSource = false;
};

/// Parses the command line; see docs/design.md, section 10.3.
Result<ProxySettings> parseProxySettings(int Argc, const char *const *Argv);

/// Forwards TCP connections and applies the fault rules that tests set.
class FaultProxy {
public:
  explicit FaultProxy(ProxySettings Config);

  /// Starts listening; returns an error if an address cannot be bound.
  Result<Success> start();

  /// Closes all connections; returns when their tasks have ended or at
  /// \p Deadline.
  QCoro::Task<> stop(TimePoint Deadline);

private:
  /// The client's network and the name of the link.
  using StatsKey = std::pair<std::string, std::string>;

  Result<Success> listen(QTcpServer &Listener, const Address &At,
                         std::function<void(QTcpSocket *)> OnConnection);
  QCoro::Task<> serveLink(const LinkSettings &Link, QTcpSocket *Client);
  QCoro::Task<> serveControl(QTcpSocket *Client);
  /// Runs one command of the control port and returns the answer line.
  QByteArray answer(const QByteArray &Line);
  QByteArray stats() const;

  ProxySettings Config;
  LinkRules Rules;
  WakeupTimer Timer;
  Random Generator{1};
  std::vector<std::unique_ptr<QTcpServer>> Listeners;
  std::set<LinkConnection *> Connections;
  std::set<QTcpSocket *> ControlClients;
  std::map<StatsKey, LinkStats> Stats;
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_FAULTPROXY_H
