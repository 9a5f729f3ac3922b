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
/// Bound of the numbers of a quota, in operations per second.
constexpr double MaxQuota = 1e9;
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
  Route.Anonymous = O["anonymous"].toBool(false);
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

Result<Workspace> decodeWorkspace(const QJsonObject &O,
                                  const std::string &Name) {
  const auto Malformed = [&Name](const char *Problem) {
    return Error{"workspace \"" + Name + "\" of the configuration has " +
                 Problem};
  };
  Workspace Decoded;
  const QJsonValue Urgency = O["priority"];
  if (!Urgency.isUndefined() &&
      (!isInteger(Urgency) || !isWithin(Urgency, 0, MaxSlots)))
    return Malformed("an invalid priority");
  Decoded.Urgency = static_cast<unsigned>(Urgency.toInteger(0));
  const QJsonValue Rate = O["rate-per-s"];
  const QJsonValue Burst = O["burst"];
  if (Rate.isUndefined() && Burst.isUndefined())
    return Decoded;
  if (!isWithin(Rate, 0, MaxQuota) ||
      (!Burst.isUndefined() && !isWithin(Burst, 0, MaxQuota)))
    return Malformed("an invalid quota");
  Decoded.Quota = WorkspaceQuota{Rate.toDouble(), Burst.toDouble(0)};
  return Decoded;
}

/// Decodes one entry of the list of workspaces into \p Plan.
/// \returns the mistake, if there is one.
std::optional<Error> addWorkspace(const QJsonValue &Entry, AccessPlan &Plan) {
  const QJsonObject O = Entry.toObject();
  const std::string Name = stringValue(O["name"]);
  // A server is told the name as a word of a line.
  const bool IsWord =
      !Name.empty() && Name.find_first_of(" \t\r\n") == std::string::npos;
  if (!IsWord)
    return Error{"a workspace of the configuration has no valid name"};
  const auto Malformed = [&Name](const char *Problem) {
    return Error{"workspace \"" + Name + "\" of the configuration " + Problem};
  };
  Result<Workspace> Decoded = decodeWorkspace(O, Name);
  if (!succeeded(Decoded))
    return Error{errorOf(Decoded)};
  const WorkspaceName Holder(Name);
  if (!Plan.Workspaces.emplace(Holder, valueOf(std::move(Decoded))).second)
    return Malformed("is listed twice");
  if (!O["api-keys"].isArray())
    return Malformed("has no list of keys");
  const QJsonArray Keys = O["api-keys"].toArray();
  for (const auto &Key : Keys) {
    if (!Key.isString() || Key.toString().isEmpty())
      return Malformed("has an invalid key");
    const auto Known = Plan.KeyHolders.emplace(stringValue(Key), Holder).first;
    if (Known->second != Holder)
      return Malformed("has a key of another workspace");
  }
  return std::nullopt;
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
  Plan.HasWorkspaces = O.contains("tenants");
  if (Plan.HasWorkspaces && !O["tenants"].isArray())
    return Error{"the workspaces of the configuration are not a list"};
  const QJsonArray Workspaces = O["tenants"].toArray();
  for (const auto &Entry : Workspaces)
    if (std::optional<Error> Mistake = addWorkspace(Entry, Plan))
      return std::move(*Mistake);
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
  Server.Slots = static_cast<unsigned>(O["slots"].toInteger(1));
  Server.StartedAtMs = O["born"].toInteger();
  Server.Version = Row.Version;
  Server.Sequence = static_cast<std::uint64_t>(O["sequence"].toInteger());
  Server.Role = parseName<ServerRole>(stringValue(O["db-role"]));
  if (!Server.Role)
    return Malformed("an unknown role");
  return Server;
}

} // namespace amaranthspur
