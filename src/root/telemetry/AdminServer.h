// The HTTP server for operators and monitoring: /metrics, /status, /ready, and
// queries.
#ifndef AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H
#define AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H

#include "root/Supervisor.h"
#include "root/telemetry/Metrics.h"
#include "wire/Connection.h"

#include <QJsonObject>
#include <QJsonValue>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

class QHttpServer;

namespace amaranthspur {

/// Serves
/// - `GET /metrics`: the metrics, in Prometheus's text format;
/// - `GET /status`: one JSON object with a member for each provider;
/// - `GET /<name>?<key>=<value>&...`: a JSON object, for each query that was
///   added;
/// - `GET /ready`: 200 if the process accepts work, otherwise 503.
///
/// Requests are answered on the event loop, so providers must not block.
class AdminServer final : public Child {
public:
  /// \param Listen addresses to listen on.
  /// \param Source the metrics to serve; must outlive the server.
  AdminServer(std::vector<Address> Listen, const Metrics &Source);
  ~AdminServer() override;

  /// Adds a member of `/status`.
  /// \param Name name of the member. If there already is a provider with that
  /// name, it is replaced.
  /// \param Provider called for each request.
  void addStatus(std::string Name, std::function<QJsonValue()> Provider);

  /// Removes a member of `/status`.
  void removeStatus(const std::string &Name);

  /// The parameters of a query, by key.
  using QueryParameters = std::map<std::string, std::string>;

  /// Adds a query. Call it before start().
  /// \param Name its path, without the first `/`.
  /// \param Provider called for each request.
  void addQuery(std::string Name,
                std::function<QJsonObject(const QueryParameters &)> Provider);

  /// Sets the predicate that `/ready` reports. Before the first call, `/ready`
  /// answers 503.
  void setReady(std::function<bool()> IsReady);

  std::string_view name() const override { return "admin"; }
  QCoro::Task<Result<Success>> start() override;
  /// Stops listening. Requests are answered immediately, so there is no running
  /// work to wait for and \p Deadline is not used.
  QCoro::Task<> stop(TimePoint Deadline) override;

private:
  void addRoutes();

  std::vector<Address> Listen;
  const Metrics &Source;
  std::map<std::string, std::function<QJsonValue()>> Providers;
  std::map<std::string, std::function<QJsonObject(const QueryParameters &)>>
      Queries;
  std::function<bool()> IsReady = [] { return false; };
  std::unique_ptr<QHttpServer> Server;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_TELEMETRY_ADMINSERVER_H
