#include "platform/Documents.h"

#include "wire/ByteStream.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <cmath>

namespace amaranthspur {
namespace {

/// Names of the read consistencies in the operator's configuration.
constexpr auto ConsistencyNames =
    std::to_array<std::pair<ReadConsistency, std::string_view>>({
        {ReadConsistency::Primary, "primary"},
        {ReadConsistency::BoundedStaleness, "bounded_stale"},
        {ReadConsistency::ReadYourWrites, "read_your_writes"},
    });

/// Bounds of the numbers in a registration. Up to MaxExactInteger (2^53) a JSON
/// number is exact.
constexpr double MaxSlots = 1e6;
constexpr double MaxExactInteger = 9007199254740992.0;

/// Defaults for limits that are missing in the configuration. Most sites
/// configure a statement timeout of 1,000 ms and end idle transactions after
/// 3,000 ms.
constexpr qint64 DefaultTimeoutMs = 1000;
constexpr qint64 DefaultTransactionIdleMs = 3000;

std::optional<ReadConsistency> parseConsistency(const QString &Text) {
  for (const auto &[Value, Name] : ConsistencyNames)
    if (Text == QLatin1String(Name.data(), static_cast<qsizetype>(Name.size())))
      return Value;
  return std::nullopt;
}

Duration millisecondsOr(const QJsonValue &Value, qint64 Default) {
  return milliseconds(std::max<qint64>(0, Value.toInteger(Default)));
}

bool isInteger(const QJsonValue &Value) {
  return Value.isDouble() && Value.toDouble() == std::floor(Value.toDouble());
}

/// Returns whether \p Value is a number from \p Lowest to \p Highest. Another
/// writer may have left any number.
bool isWithin(const QJsonValue &Value, double Lowest, double Highest) {
  return Value.isDouble() && Value.toDouble() >= Lowest &&
         Value.toDouble() <= Highest;
}

std::string stringValue(const QJsonValue &Value) {
  return Value.toString().toStdString();
}

Result<DatabaseRoute> decodeRoute(const QJsonObject &O) {
  const std::optional<ReadConsistency> Consistency =
      parseConsistency(O["route-type"].toString());
  if (!Consistency || !O["service"].isString())
    return Error{"route \"" + stringValue(O["name"]) +
                 "\" of the configuration " +
                 "has an unknown type or no service"};
  DatabaseRoute Route;
  Route.Service = ServiceName(stringValue(O["service"]));
  Route.Consistency = *Consistency;
  Route.MaxStaleness = millisecondsOr(O["max-staleness-ms"], 0);
  Route.StatementTimeout = millisecondsOr(O["timeout-ms"], DefaultTimeoutMs);
  Route.LatencyObjective =
      millisecondsOr(O["latency-goal-ms"], DefaultTimeoutMs);
  // In the field "priority", 0 is the highest priority.
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
    Plan.Databases.emplace(stringValue(Route["host"]),
                           valueOf(std::move(Decoded)));
  }
  const QJsonArray Services = O["services"].toArray();
  for (const auto &Entry : Services) {
    const QJsonObject Service = Entry.toObject();
    Plan.Services.emplace(ServiceName(stringValue(Service["name"])),
                          decodeLimits(Service));
  }
  Plan.TransactionIdle = millisecondsOr(O["limits"].toObject()["tx-idle-ms"],
                                        DefaultTransactionIdleMs);
  return Plan;
}

Result<RegisteredServer> decodeServer(const WatchedRow &Row) {
  const QJsonDocument Parsed =
      QJsonDocument::fromJson(QByteArray::fromStdString(Row.Value));
  const QJsonObject O = Parsed.object();
  const auto Malformed = [&Row](const char *Problem) {
    return Error{"registration \"" + Row.Key + "\" has " + Problem};
  };
  if (Row.Key.empty() || !O["service"].isString() || !O["address"].isString() ||
      !O["zone"].isString())
    return Malformed("no service, address or zone");
  const QString State = O["state"].toString();
  if (State != "ready" && State != "draining")
    return Malformed("an unknown state");
  Result<Address> At = parseAddress(stringValue(O["address"]));
  if (!succeeded(At))
    return Malformed("an invalid address");
  if (!O["version"].isString() || !isInteger(O["slots"]) ||
      !isWithin(O["slots"], 1, MaxSlots) ||
      !isWithin(O["sequence"], 0, MaxExactInteger) ||
      !isWithin(O["cold-ms"], 0, MaxExactInteger))
    return Malformed("missing fields, or fields of the wrong type or range");
  if (O.contains("born") &&
      (!isInteger(O["born"]) || !isWithin(O["born"], 0, MaxExactInteger)))
    return Malformed("a start time that is not a valid integer");
  RegisteredServer Server;
  Server.Id = ServerId(Row.Key);
  Server.Service = ServiceName(stringValue(O["service"]));
  Server.At = valueOf(std::move(At));
  Server.Location = DataCentre(stringValue(O["zone"]));
  Server.Draining = State == "draining";
  Server.StartedAtMs = O["born"].toInteger();
  Server.Version = Row.Version;
  Server.Role = parseName<ServerRole>(stringValue(O["db-role"]));
  if (!Server.Role)
    return Malformed("an unknown role");
  return Server;
}

} // namespace amaranthspur
