// The HTTP server for operators and monitoring: /metrics, /status, /ready.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H
#define AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H

#include "root/Supervisor.h"
#include "root/telemetry/Metrics.h"
#include "wire/Connection.h"

#include <QJsonValue>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QHttpServer;

namespace amaranthspur {

/// Serves
/// - `GET /metrics`: the metrics in Prometheus's text format;
/// - `GET /status`: one JSON object with a member for each provider;
/// - `GET /ready`: 200 if the process takes work, otherwise 503.
/// Requests are answered on the event loop at once; providers must not block.
class AdminServer final : public Child {
public:
  /// \param Listen addresses of the listeners.
  /// \param Source metrics that are served; outlives the server.
  AdminServer(std::vector<Address> Listen, const Metrics &Source);
  ~AdminServer() override;

  /// Adds a member of `/status`.
  /// \param Name name of the member; a second provider of it replaces the
  /// first.
  /// \param Provider called at each request.
  void addStatus(std::string Name, std::function<QJsonValue()> Provider);

  /// Removes a member of `/status`.
  void removeStatus(const std::string &Name);

  /// Sets what decides `/ready`. Without it, `/ready` answers 503.
  void setReady(std::function<bool()> IsReady);

  std::string_view name() const override { return "admin"; }
  QCoro::Task<Result<Success>> start() override;
  /// Stops listening. It has no running work, so \p Deadline is not used.
  QCoro::Task<> stop(TimePoint Deadline) override;

private:
  void addRoutes();

  std::vector<Address> Listen;
  const Metrics &Source;
  std::map<std::string, std::function<QJsonValue()>> Providers;
  std::function<bool()> IsReady = [] { return false; };
  std::unique_ptr<QHttpServer> Server;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H
