#include "root/directory/PlatformDirectory.h"

#include "platform/Documents.h"
#include "root/telemetry/Log.h"

#include <algorithm>
#include <set>

namespace amaranthspur {
namespace {

/// Returns the Unix time of the wall clock.
milliseconds wallClockNow() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

std::string knownAfterStart(const RegisteredServer &Server,
                            const RegisteredServer *Known, milliseconds Now) {
  if (Server.StartedAtMs == 0 ||
      (Known && Known->StartedAtMs == Server.StartedAtMs))
    return "-";
  return std::to_string(Now.count() - Server.StartedAtMs);
}

QCoro::Task<Result<Success>> PlatformDirectory::start() {
  this->Stopping = false;
  this->follow(WatchedTable::Operator);
  this->follow(WatchedTable::Servers);
  this->removeExpiredServers();
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> PlatformDirectory::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->MissingSignal.wake();
  // A long poll may take longer than the limit. It then ends with the process.
  co_await this->Tasks.waitUntilEmpty(
      std::min(Deadline, steadyNow() + this->StopLimit));
}

QCoro::Task<> PlatformDirectory::follow(WatchedTable Table) {
  const TaskGroup::Guard Guard(this->Tasks);
  std::optional<StoreVersion> Version;
  Duration RetryDelay = InitialRetryDelay;
  Duration LossDelay = InitialRetryDelay;
  while (!this->Stopping) {
    const bool FullRead = !Version;
    Result<WatchedRows> R = Error{};
    if (FullRead)
      R = co_await this->Store.readTable(Table, steadyNow() + TableReadTimeout);
    else
      R = co_await this->Store.awaitChanges(Table, *Version, PollTimeout);
    if (this->Stopping)
      break;
    if (!succeeded(R)) {
      this->recordStoreState(Table, Error{errorOf(R)});
      // Another long poll on a connection without answers would fail only after
      // its whole wait. A table read fails sooner, and it returns the changes
      // that were missed.
      Version.reset();
      co_await sleepFor(RetryDelay);
      RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
      continue;
    }
    this->recordStoreState(Table, std::nullopt);
    RetryDelay = InitialRetryDelay;
    if (valueOf(R).HistoryLost) {
      // A whole read does not show that the changes can be followed again, so
      // this delay grows until they can.
      Version.reset();
      co_await sleepFor(LossDelay);
      LossDelay = std::min(LossDelay * 2, MaxRetryDelay);
      continue;
    }
    if (!FullRead)
      LossDelay = InitialRetryDelay;
    Version = valueOf(R).Version;
    this->apply(Table, valueOf(R), FullRead);
    if (!valueOf(R).Rows.empty())
      co_await sleepFor(BatchDelay);
  }
}

void PlatformDirectory::recordStoreState(WatchedTable Table,
                                         const std::optional<Error> &Failure) {
  bool &IsUnreachable = this->Unreachable[Table];
  if (IsUnreachable == Failure.has_value())
    return;
  IsUnreachable = Failure.has_value();
  if (Failure)
    log(LogLevel::Warning, LogEvent::PlatformUnreachable,
        {{"table", nameOf(Table)}, {"why", Failure->Message}});
  else
    log(LogLevel::Info, LogEvent::PlatformReachable,
        {{"table", nameOf(Table)}});
}

void PlatformDirectory::apply(WatchedTable Table, const WatchedRows &Rows,
                              bool FullRead) {
  std::set<ServerId> Present;
  for (const WatchedRow &Row : Rows.Rows) {
    if (Table == WatchedTable::Servers) {
      this->applyServer(Row);
      Present.insert(ServerId(Row.Key));
    } else if (Row.Key == PlanKey && !Row.Removed) {
      this->applyPlan(Row);
    }
  }
  if (FullRead && Table == WatchedTable::Servers)
    for (const auto &[Id, Server] : this->Servers)
      if (Present.count(Id) == 0 && this->MissingSince.count(Id) == 0)
        this->MissingSince.emplace(Id, steadyNow());
  this->MissingSignal.wake();
  if (!Rows.Rows.empty() || FullRead)
    this->Changed();
}

void PlatformDirectory::applyPlan(const WatchedRow &Row) {
  Result<AccessPlan> Decoded = decodePlan(Row.Value);
  if (!succeeded(Decoded)) {
    log(LogLevel::Error, LogEvent::PlanRejected,
        {{"row_version", Row.Version.str()}, {"why", errorOf(Decoded)}});
    return;
  }
  if (valueOf(Decoded).Revision <= this->Plan->Revision)
    return;
  this->Plan = std::make_shared<AccessPlan>(valueOf(std::move(Decoded)));
  log(LogLevel::Info, LogEvent::PlanAccepted,
      {{"revision", this->Plan->Revision},
       {"databases", this->Plan->Databases.size()},
       {"services", this->Plan->Services.size()},
       {"row_version", Row.Version.str()}});
}

void PlatformDirectory::applyServer(const WatchedRow &Row) {
  const ServerId Id(Row.Key);
  const auto Known = this->Servers.find(Id);
  if (Row.Removed) {
    if (Known == this->Servers.end())
      return;
    if (Known->second.Draining)
      this->removeServer(Id);
    else
      this->MissingSince.emplace(Id, steadyNow());
    return;
  }
  Result<RegisteredServer> Decoded = decodeServer(Row);
  if (!succeeded(Decoded)) {
    log(LogLevel::Warning, LogEvent::RegistrationRejected,
        {{"row_version", Row.Version.str()}, {"why", errorOf(Decoded)}});
    if (Known != this->Servers.end())
      this->removeServer(Id);
    return;
  }
  const RegisteredServer &Server = valueOf(Decoded);
  if (Known != this->Servers.end() && Server.isOlderThan(Known->second)) {
    // The row is the copy's. The server writes it again if it is alive, and it
    // expires if it is not.
    log(LogLevel::Info, LogEvent::RegistrationOutdated,
        {{"server", Id.str()},
         {"row_version", Row.Version.str()},
         {"known_version", Known->second.Version.str()}});
    return;
  }
  this->MissingSince.erase(Id);
  const bool IsChange = Known == this->Servers.end() ||
                        Known->second.Draining != Server.Draining ||
                        Known->second.StartedAtMs != Server.StartedAtMs ||
                        Known->second.Role != Server.Role;
  if (IsChange) {
    const RegisteredServer *Before =
        Known == this->Servers.end() ? nullptr : &Known->second;
    log(LogLevel::Info, LogEvent::ServersChanged,
        {{"server", Id.str()},
         {"service", Server.Service.str()},
         {"address", Server.At.str()},
         {"state", Server.Draining ? "draining" : "ready"},
         {"role", nameOf(*Server.Role)},
         {"started_at_ms", Server.StartedAtMs},
         {"known_ms_after_start",
          knownAfterStart(Server, Before, wallClockNow())},
         {"row_version", Row.Version.str()}});
  }
  this->Servers.insert_or_assign(Id, Server);
}

void PlatformDirectory::removeServer(const ServerId &Id) {
  this->Servers.erase(Id);
  this->MissingSince.erase(Id);
  log(LogLevel::Info, LogEvent::ServersChanged,
      {{"server", Id.str()}, {"state", "gone"}});
}

QCoro::Task<> PlatformDirectory::removeExpiredServers() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    if (this->MissingSince.empty()) {
      co_await this->MissingSignal.wait();
      continue;
    }
    co_await this->MissingSignal.wait(steadyNow() + RemovalDelay / 5);
    std::vector<ServerId> Expired;
    for (const auto &[Id, Since] : this->MissingSince)
      if (steadyNow() - Since >= RemovalDelay)
        Expired.push_back(Id);
    for (const ServerId &Id : Expired)
      this->removeServer(Id);
    if (!Expired.empty())
      this->Changed();
  }
}

} // namespace amaranthspur
