#include "platform/Documents.h"

#include "wire/ByteStream.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <cmath>

namespace amaranthspur {
namespace {

/// Names of the read consistencies in the operator's document.
constexpr auto ConsistencyWords =
    std::to_array<std::pair<ReadConsistency, std::string_view>>({
        {ReadConsistency::Primary, "primary"},
        {ReadConsistency::BoundedStaleness, "bounded_stale"},
        {ReadConsistency::ReadYourWrites, "read_your_writes"},
    });

/// Where a limit is missing in the document. The sites give 1,000 ms to most
/// statements and end idle transactions after 3,000 ms.
constexpr qint64 DefaultTimeoutMs = 1000;
constexpr qint64 DefaultTransactionIdleMs = 3000;

std::optional<ReadConsistency> consistency(const QString &Word) {
  for (const auto &[Value, Name] : ConsistencyWords)
    if (Word == QLatin1String(Name.data(), static_cast<qsizetype>(Name.size())))
      return Value;
  return std::nullopt;
}

Duration milliseconds64(const QJsonValue &Value, qint64 Default) {
  return milliseconds(std::max<qint64>(0, Value.toInteger(Default)));
}

bool isWhole(const QJsonValue &Value) {
  return Value.isDouble() && Value.toDouble() == std::floor(Value.toDouble());
}

std::string text(const QJsonValue &Value) {
  return Value.toString().toStdString();
}

Result<DatabaseRoute> decodeRoute(const QJsonObject &O) {
  const std::optional<ReadConsistency> Consistency =
      consistency(O["route-type"].toString());
  if (!Consistency || !O["service"].isString())
    return Error{"route \"" + text(O["name"]) + "\" of the configuration " +
                 "has no known type or no service"};
  DatabaseRoute Route;
  Route.Service = ServiceName(text(O["service"]));
  Route.Consistency = *Consistency;
  Route.MaxStaleness = milliseconds64(O["max-staleness-ms"], 0);
  Route.StatementTimeout = milliseconds64(O["timeout-ms"], DefaultTimeoutMs);
  Route.LatencyObjective =
      milliseconds64(O["latency-goal-ms"], DefaultTimeoutMs);
  // The platform's "priority" is highest at 0.
  Route.Urgency =
      static_cast<unsigned>(std::max<qint64>(0, O["priority"].toInteger(0)));
  Route.MaxAttempts = static_cast<unsigned>(
      std::max<qint64>(1, O["max-attempts"].toInteger(1)));
  return Route;
}

ServiceLimits decodeLimits(const QJsonObject &O) {
  ServiceLimits Limits;
  Limits.MaxConnections =
      static_cast<std::size_t>(std::max<qint64>(0, O["max-conns"].toInteger()));
  Limits.SyncReplicas = static_cast<unsigned>(
      std::max<qint64>(0, O["sync-replicas"].toInteger()));
  return Limits;
}

} // namespace

Result<AccessPlan> decodePlan(const std::string &Document) {
  const QJsonDocument Parsed =
      QJsonDocument::fromJson(QByteArray::fromStdString(Document));
  const QJsonObject O = Parsed.object();
  if (!O["version"].isDouble() || !O["routes"].isArray() ||
      !O["services"].isArray())
    return Error{"the configuration lacks version, routes or services"};
  AccessPlan Plan;
  Plan.Revision = static_cast<std::uint64_t>(O["version"].toInteger());
  const QJsonArray Routes = O["routes"].toArray();
  for (const auto &Entry : Routes) {
    const QJsonObject Route = Entry.toObject();
    Result<DatabaseRoute> Decoded = decodeRoute(Route);
    if (!succeeded(Decoded))
      return Error{errorOf(Decoded)};
    Plan.Databases.emplace(text(Route["host"]), valueOf(std::move(Decoded)));
  }
  const QJsonArray Services = O["services"].toArray();
  for (const auto &Entry : Services) {
    const QJsonObject Service = Entry.toObject();
    Plan.Services.emplace(ServiceName(text(Service["name"])),
                          decodeLimits(Service));
  }
  Plan.TransactionIdle = milliseconds64(O["limits"].toObject()["tx-idle-ms"],
                                        DefaultTransactionIdleMs);
  return Plan;
}

Result<RegisteredServer> decodeServer(const WatchedRow &Row) {
  const QJsonDocument Parsed =
      QJsonDocument::fromJson(QByteArray::fromStdString(Row.Value));
  const QJsonObject O = Parsed.object();
  const auto Bad = [&Row](const char *What) {
    return Error{"registration \"" + Row.Key + "\" has " + What};
  };
  if (Row.Key.empty() || !O["service"].isString() || !O["address"].isString() ||
      !O["zone"].isString())
    return Bad("no service, address or zone");
  const QString State = O["state"].toString();
  if (State != "ready" && State != "draining")
    return Bad("no known state");
  Result<Address> At = parseAddress(text(O["address"]));
  if (!succeeded(At))
    return Bad("no usable address");
  if (!O["version"].isString() || !O["slots"].isDouble() ||
      !O["sequence"].isDouble() || !O["cold-ms"].isDouble())
    return Bad("fields missing or of another type");
  if (O.contains("born") && !isWhole(O["born"]))
    return Bad("a start time that is not a whole number");
  RegisteredServer Server;
  Server.Id = ServerId(Row.Key);
  Server.Service = ServiceName(text(O["service"]));
  Server.At = valueOf(std::move(At));
  Server.Location = DataCentre(text(O["zone"]));
  Server.Draining = State == "draining";
  Server.BornMs = O["born"].toInteger();
  Server.Version = Row.Version;
  Server.Role = parseName<ServerRole>(text(O["db-role"]));
  if (!Server.Role)
    return Bad("no known role");
  return Server;
}

} // namespace amaranthspur
