// The part of FaultPlan that makes the store come back from an older copy.
#include "bench/soak/Faults.h"

namespace amaranthspur::bench::soak {
namespace {

/// Age of the copy when the store goes away, and how long it is away.
constexpr unsigned LeastAgeMs = 1000;
constexpr unsigned MostAgeMs = 8000;
constexpr unsigned LeastAwayMs = 200;
constexpr unsigned MostAwayMs = 3000;
/// Most writes of others to the store since the copy.
constexpr std::uint64_t MostLostWrites = 200;
/// Longest time between the return and the last row that is written again.
constexpr unsigned MostRewriteMs = 1000;
/// The platform removes the row of a silent server after three heartbeats.
constexpr Duration Expiry = milliseconds(3600);

} // namespace

QCoro::Task<> FaultPlan::returnStore() {
  if (std::exchange(this->StoreReturning, true))
    co_return;
  const TaskGroup::Guard Counted(this->Target.Tasks);
  Store &Platform = this->Target.platform();
  Platform.copy();
  Platform.skipVersions(this->Generator.below(MostLostWrites));
  co_await sleepFor(this->draw(LeastAgeMs, MostAgeMs));
  const Duration Away = this->draw(LeastAwayMs, MostAwayMs);
  this->Target.Events.disrupt(FaultKind::StoreReturn, "store",
                              toMilliseconds(Away) + MostRewriteMs);
  Platform.goAway();
  co_await sleepFor(Away);
  Platform.comeBack(this->Generator.below(2) == 0);
  this->StoreReturning = false;
  if (!this->Stopped)
    co_await this->writeRowsAgain();
}

QCoro::Task<> FaultPlan::writeRowsAgain() {
  const TimePoint Begun = steadyNow();
  std::size_t Rows = 1;
  for (const auto &Group : this->Target.groups())
    Rows += Group->running().size();
  const std::size_t OperatorTurn = this->Generator.below(Rows);
  std::size_t Turn = 0;
  std::set<std::string> Alive;
  for (const auto &Group : this->Target.groups())
    for (DatabaseServer *S : Group->running()) {
      co_await sleepFor(milliseconds(
          this->Generator.below(MostRewriteMs / static_cast<unsigned>(Rows))));
      if (Turn++ == OperatorTurn)
        this->Target.configureAgain();
      if (S->running())
        S->report();
    }
  if (Turn <= OperatorTurn)
    this->Target.configureAgain();
  co_await sleepFor(Expiry - (steadyNow() - Begun));
  for (const auto &Group : this->Target.groups())
    for (const DatabaseServer *S : Group->running())
      Alive.insert(S->id());
  for (const std::string &Id : this->Target.platform().keys("servers"))
    if (!Alive.contains(Id))
      this->Target.platform().remove("servers", Id);
}

} // namespace amaranthspur::bench::soak
