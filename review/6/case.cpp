// Case 6: after the store has come back from a copy, an order carries a lower
// epoch number than an earlier one for the same service.
#include "../harness/Site.h"

using namespace review;

namespace {

constexpr double MostAwaitMs = 15000;
/// Age of the copy when the store goes away, and how long it is away.
constexpr double CopyAgeMs = 8000;
constexpr double AwayMs = 1000;
/// How long the crashed primary is down.
constexpr double DownMs = 7000;

/// The primary of the first service drains, and another server takes over.
bool releasePrimary(Site &S) {
  Group &G = *S.Groups.front();
  G.add(Zones.front().first, false); // The new server starts first.
  G.report();
  sleepMs(300);
  const std::string Old = G.drainPrimary();
  const std::string New = G.awaitSuccessor(Old, MostAwaitMs);
  S.Events.note("release: " + Old + " was followed by " + New);
  return !New.empty();
}

int run(Site &S) {
  if (!S.start(3, 6))
    return CouldNotRun;
  S.startCallers();
  sleepMs(4000);
  const double CopiedAt = nowMs();
  S.Platform.copy();
  sleepMs(5500);
  if (!releasePrimary(S))
    return CouldNotRun;
  sleepMs(CopiedAt + CopyAgeMs - nowMs());
  if (S.Trouble)
    S.drill(AwayMs, {});
  else
    sleepMs(AwayMs);
  sleepMs(1000);
  // The new primary crashes, and is back after 7 s.
  Group &G = *S.Groups.front();
  const std::string Crashed = G.crashPrimary();
  if (G.awaitSuccessor(Crashed, MostAwaitMs).empty())
    return CouldNotRun;
  sleepMs(DownMs);
  G.restart(Crashed);
  sleepMs(1000);
  std::map<std::string, std::uint64_t> Highest;
  bool Lower = false;
  unsigned Orders = 0;
  for (const Order &O : S.Platform.orders()) {
    std::uint64_t &Seen = Highest[O.Service];
    if (O.Fence < Seen) {
      Lower = true;
      S.Events.note("ONE is broken: " + O.Holder + " ordered for " +
                    O.Service + " with epoch number " +
                    std::to_string(O.Fence) + " after " +
                    std::to_string(Seen));
    }
    Seen = std::max(Seen, O.Fence);
    ++Orders;
  }
  S.Events.note(std::to_string(S.Served) + " statements served, " +
                std::to_string(S.Refused) + " not");
  if (Orders < 2 || S.Served == 0)
    return CouldNotRun;
  return Lower ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, run);
}
