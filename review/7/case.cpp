// Case 7: a manifest that is acknowledged after the store has come back from a
// copy never comes into force.
#include "../harness/Site.h"

using namespace review;

namespace {

/// config-apply-ms and max-skew-ms of the site, and a margin.
constexpr double LatestMs = 3000 + 12000 + 5000;

int run(Site &S) {
  if (!S.start(3, 6))
    return CouldNotRun;
  S.startCallers();
  sleepMs(4000);
  S.Platform.copy();
  sleepMs(5000);
  S.configure({"db-first"});
  sleepMs(1000);
  if (S.Trouble)
    S.drill(1000, {"db-first"});
  else
    sleepMs(1000);
  sleepMs(1500);
  S.configure({"db-first", "db-second"});
  const double AcknowledgedAt = nowMs();
  bool Wrong = false;
  unsigned Accepted = 0;
  for (const double Wait : {5000.0, 10000.0, LatestMs, LatestMs + 10000}) {
    sleepMs(AcknowledgedAt + Wait - nowMs());
    for (const EntryVm &Vm : S.Vms) {
      for (const char *Database : {"db-first", "db-second"}) {
        Caller C;
        const std::string Refusal = C.open(Vm, Database);
        Accepted += Refusal.empty() ? 1 : 0;
        S.Events.note(Vm.Name + ": CONNECT " + Database + " " +
                      std::to_string(static_cast<int>(Wait)) +
                      " ms after the acknowledgement -> " +
                      (Refusal.empty() ? "READY" : Refusal));
        Wrong = Wrong || (Wait >= LatestMs && Refusal.find("NODB") !=
                                                  std::string::npos);
      }
    }
  }
  S.Events.note(std::to_string(S.Served) + " statements served, " +
                std::to_string(S.Refused) + " not");
  if (Accepted == 0 || S.Served == 0)
    return CouldNotRun;
  return Wrong ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, run);
}
