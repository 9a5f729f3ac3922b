// Checks the bound of a quota in sliding windows on a model, and that demand
// below the limit is served.
#include "policy/quotas/testing/QuotaModel.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::testing;

// Guards against operations above the limit after any order of losses, delays,
// expiries, restarts and replacements of the relay, with clocks that differ by
// up to 1 %. Without a tolerance only the difference of the clocks may show.
TEST_CASE("no window has more operations than the quota allows") {
  struct Row {
    const char *Name;
    WorkspaceQuota Quota;
    QuotaTolerance Tolerance;
    ModelFaults Given;
  };
  const Duration Window = std::chrono::seconds(5);
  const QuotaTolerance None{Window, 0, 0};
  const QuotaTolerance Usual{Window, 0.1, 20};
  const ModelFaults All{50, 30, 10, 4};
  const Row Rows[] = {
      {"calm", {100, 40}, None, {}},
      {"lost messages", {100, 40}, None, {100, 0, 0, 0}},
      {"delayed messages", {100, 40}, None, {0, 100, 0, 0}},
      {"restarts", {100, 40}, None, {0, 0, 30, 0}},
      {"takeovers", {100, 40}, None, {0, 0, 0, 7}},
      {"everything", {100, 40}, None, All},
      {"everything, a large burst", {20, 400}, None, All},
      {"everything, with the tolerance", {100, 40}, Usual, All},
      {"everything, a small quota", {1.5, 4}, Usual, All},
      {"everything, no burst", {30, 0}, Usual, All},
  };
  for (const Row &R : Rows) {
    for (std::uint64_t Seed = 1; Seed <= 25; ++Seed) {
      CAPTURE(R.Name, Seed);
      const double Limit = R.Quota.RatePerSecond * 5 + R.Quota.Burst;
      const bool IsExact = R.Tolerance == None;
      const double Allowed =
          IsExact ? R.Quota.RatePerSecond * 5 * 1.0101 + R.Quota.Burst
                  : Limit + toleratedExtra(R.Quota, R.Tolerance);
      QuotaModel M(Seed, {modelPlan(R.Quota), R.Tolerance, R.Given, 2, 4});
      const ModelResult Out =
          M.run(60000, Allowed, [&M, &R, Seed](auto &Vms, int Now) {
            // Quiet times, in which everything fills, and floods. In half of
            // the runs, the floods move between the entry VMs.
            const int Phase = Now % 9000;
            const bool IsQuiet = Phase < 4000;
            const bool Changes =
                Seed % 2 == 0 ? Now % 500 == 0 : Phase == 0 || Phase == 4000;
            if (!Changes)
              return;
            const double Most =
                (R.Quota.RatePerSecond + R.Quota.Burst + 10) * 2;
            for (auto &Of : Vms)
              for (ModelVm &Vm : Of)
                if (IsQuiet)
                  Vm.Rate = M.Rng.below(4) == 0 ? 1 : 0;
                else
                  Vm.Rate = M.Rng.below(3) == 0 ? 0 : Most * M.Rng.unit();
          });
      CHECK(Out.WorstExcess <= 0);
      CHECK(Out.WorstHeld <= 1.000001);
      CHECK(Out.Attempts > 1000);
    }
  }
}

// Guards against capacity that is lost in leases which nobody uses: demand
// below the limit, steady or moving, would then be refused.
TEST_CASE("demand below the limit is served within a data centre") {
  struct Row {
    const char *Name;
    WorkspaceQuota Quota;
    double Total; ///< Demand per second of all entry VMs.
    std::size_t VmsEach;
    std::size_t Users; ///< Entry VMs with demand, from the first.
    int MovesMs;       ///< Time between moves of the demand; 0: it stays.
    unsigned RefusedPerMille;
  };
  const Row Rows[] = {
      {"steady", {160, 160}, 100, 10, 10, 0, 5},
      {"one entry VM", {160, 160}, 100, 10, 1, 0, 5},
      {"a small quota", {3.2, 8}, 2, 10, 10, 0, 50},
      {"a small quota, one entry VM", {3.2, 8}, 2, 10, 1, 0, 20},
      {"moves every 2 s", {160, 160}, 100, 10, 3, 2000, 100},
  };
  const QuotaTolerance Usual{std::chrono::seconds(5), 0.1, 20};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaModel M(7, {modelPlan(R.Quota), Usual, {}, 1, R.VmsEach});
    M.CountFromMs = 5000;
    const ModelResult Out = M.run(60000, 0, [&R](auto &Vms, int Now) {
      const std::size_t First =
          R.MovesMs == 0 ? 0 : static_cast<std::size_t>(Now / R.MovesMs);
      for (ModelVm &Vm : Vms[0])
        Vm.Rate = 0;
      for (std::size_t I = 0; I < R.Users; ++I)
        Vms[0][(First * R.Users + I) % R.VmsEach].Rate =
            R.Total / static_cast<double>(R.Users);
    });
    CAPTURE(Out.Attempts, Out.Refused);
    CHECK(Out.Refused * 1000 <= Out.Attempts * R.RefusedPerMille);
  }
}
