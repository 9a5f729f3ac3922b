#include "root/directory/PlatformDirectory.h"

#include "platform/Documents.h"
#include "root/telemetry/Log.h"

#include <algorithm>
#include <set>

namespace amaranthspur {

QCoro::Task<Result<Success>> PlatformDirectory::start() {
  this->Stopping = false;
  this->follow(WatchedTable::Operator);
  this->follow(WatchedTable::Servers);
  this->dropLapsed();
  const Result<Success> Started = Success();
  co_return Started;
}

QCoro::Task<> PlatformDirectory::stop(TimePoint Deadline) {
  this->Stopping = true;
  this->LapseWake.wake();
  // A long poll may outlast the limit; it then ends with the process.
  co_await this->Tasks.empty(std::min(Deadline, steadyNow() + this->StopLimit));
}

QCoro::Task<> PlatformDirectory::follow(WatchedTable Table) {
  const TaskGroup::Guard Guard(this->Tasks);
  std::optional<std::uint64_t> Version;
  Duration Pause = FirstPause;
  while (!this->Stopping) {
    const bool Whole = !Version;
    Result<WatchedRows> R = Error{};
    if (Whole)
      R = co_await this->Store.readTable(Table, steadyNow() + ReadLimit);
    else
      R = co_await this->Store.awaitChanges(Table, *Version, PollWait);
    if (this->Stopping)
      break;
    if (!succeeded(R)) {
      this->noteStore(Table, Error{errorOf(R)});
      // A poll over another silent connection would take its whole wait to
      // fail; a read tells soon, and brings what was missed.
      Version.reset();
      co_await sleepFor(Pause);
      Pause = std::min(Pause * 2, LongestPause);
      continue;
    }
    this->noteStore(Table, std::nullopt);
    Pause = FirstPause;
    if (valueOf(R).HistoryLost) {
      Version.reset();
      continue;
    }
    Version = valueOf(R).Version;
    this->apply(Table, valueOf(R), Whole);
    if (!valueOf(R).Rows.empty())
      co_await sleepFor(BatchPause);
  }
}

void PlatformDirectory::noteStore(WatchedTable Table,
                                  const std::optional<Error> &Failure) {
  bool &IsLost = this->Lost[Table];
  if (IsLost == Failure.has_value())
    return;
  IsLost = Failure.has_value();
  if (Failure)
    log(LogLevel::Warning, LogEvent::PlatformUnreachable,
        {{"table", nameOf(Table)}, {"why", Failure->Message}});
  else
    log(LogLevel::Info, LogEvent::PlatformReachable,
        {{"table", nameOf(Table)}});
}

void PlatformDirectory::apply(WatchedTable Table, const WatchedRows &Rows,
                              bool Whole) {
  std::set<ServerId> Present;
  for (const WatchedRow &Row : Rows.Rows) {
    if (Table == WatchedTable::Servers) {
      this->applyServer(Row);
      Present.insert(ServerId(Row.Key));
    } else if (Row.Key == PlanKey && !Row.Removed) {
      this->applyPlan(Row);
    }
  }
  if (Whole && Table == WatchedTable::Servers)
    for (const auto &[Id, Server] : this->Servers)
      if (Present.count(Id) == 0 && this->LapsedSince.count(Id) == 0)
        this->LapsedSince.emplace(Id, steadyNow());
  this->LapseWake.wake();
  if (!Rows.Rows.empty() || Whole)
    this->Changed();
}

void PlatformDirectory::applyPlan(const WatchedRow &Row) {
  Result<AccessPlan> Decoded = decodePlan(Row.Value);
  if (!succeeded(Decoded)) {
    log(LogLevel::Error, LogEvent::PlanRejected,
        {{"row_version", Row.Version}, {"why", errorOf(Decoded)}});
    return;
  }
  if (valueOf(Decoded).Revision <= this->Plan->Revision)
    return;
  this->Plan = std::make_shared<AccessPlan>(valueOf(std::move(Decoded)));
  log(LogLevel::Info, LogEvent::PlanAccepted,
      {{"revision", this->Plan->Revision},
       {"databases", this->Plan->Databases.size()},
       {"services", this->Plan->Services.size()},
       {"row_version", Row.Version}});
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
      this->LapsedSince.emplace(Id, steadyNow());
    return;
  }
  Result<RegisteredServer> Decoded = decodeServer(Row);
  if (!succeeded(Decoded)) {
    log(LogLevel::Warning, LogEvent::RegistrationRejected,
        {{"row_version", Row.Version}, {"why", errorOf(Decoded)}});
    if (Known != this->Servers.end())
      this->removeServer(Id);
    return;
  }
  this->LapsedSince.erase(Id);
  const RegisteredServer &Server = valueOf(Decoded);
  const bool News = Known == this->Servers.end() ||
                    Known->second.Draining != Server.Draining ||
                    Known->second.BornMs != Server.BornMs ||
                    Known->second.Role != Server.Role;
  if (News)
    log(LogLevel::Info, LogEvent::ServersChanged,
        {{"server", Id.str()},
         {"service", Server.Service.str()},
         {"address", Server.At.str()},
         {"state", Server.Draining ? "draining" : "ready"},
         {"role", nameOf(*Server.Role)},
         {"row_version", Row.Version}});
  this->Servers.insert_or_assign(Id, Server);
}

void PlatformDirectory::removeServer(const ServerId &Id) {
  this->Servers.erase(Id);
  this->LapsedSince.erase(Id);
  log(LogLevel::Info, LogEvent::ServersChanged,
      {{"server", Id.str()}, {"state", "gone"}});
}

QCoro::Task<> PlatformDirectory::dropLapsed() {
  const TaskGroup::Guard Guard(this->Tasks);
  while (!this->Stopping) {
    if (this->LapsedSince.empty()) {
      co_await this->LapseWake.wait();
      continue;
    }
    co_await this->LapseWake.wait(steadyNow() + RemovalGrace / 5);
    std::vector<ServerId> Over;
    for (const auto &[Id, Since] : this->LapsedSince)
      if (steadyNow() - Since >= RemovalGrace)
        Over.push_back(Id);
    for (const ServerId &Id : Over)
      this->removeServer(Id);
    if (!Over.empty())
      this->Changed();
  }
}

} // namespace amaranthspur
