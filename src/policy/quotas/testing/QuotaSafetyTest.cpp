// A model of entry VMs, relays and a network that loses and delays messages. It
// checks the bound of a quota in sliding windows, and that demand below the
// limit is served.
#include "core/Random.h"
#include "policy/quotas/QuotaAllocator.h"
#include "policy/quotas/QuotaLeaseHolder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace amaranthspur;

namespace {

const WorkspaceName W("w");
constexpr int TickMs = 10;
/// Wait for a lease: a quarter of an objective of 400 ms.
constexpr int WaitMs = 100;

/// A clock that differs from the true time.
struct SkewedClock {
  double Rate = 1;
  std::int64_t OffsetUs = 0;

  TimePoint at(int TrueMs) const {
    return TimePoint(Duration(
        this->OffsetUs + static_cast<std::int64_t>(TrueMs * 1000.0 * Rate)));
  }
};

SkewedClock randomClock(Random &Rng) {
  return {0.99 + 0.02 * Rng.unit(),
          static_cast<std::int64_t>(1000000000 + Rng.below(1000000000))};
}

struct ModelRelay {
  ModelRelay(std::size_t DataCentres, QuotaTolerance Tolerance, Random &Rng)
      : Allocator(DataCentres, Tolerance), Clock(randomClock(Rng)) {}

  QuotaAllocator Allocator;
  SkewedClock Clock;
  int EndMs = 1 << 30; ///< Grants nothing from here on.
};

/// A message under way, or nothing.
struct Exchange {
  QuotaRequest Asked;
  std::vector<QuotaLease> Granted;
  std::size_t To = 0;
  int SentMs = 0;
  int RequestMs = 0; ///< Arrival of the request.
  int ReplyMs = 0;   ///< Arrival of the reply.
  bool Handled = false;
};

struct ModelVm {
  EntryVmId Name;
  std::uint64_t Start = 0;
  std::unique_ptr<QuotaLeaseHolder> Holder;
  SkewedClock Clock;
  std::size_t Follows = 0; ///< Index of a relay.
  int NextAskMs = 0;
  int LastAskMs = -1000;
  std::optional<Exchange> Pending;
  double Rate = 0;         ///< Attempts per second.
  std::deque<int> Waiting; ///< Ends of the waits for a lease.
};

struct Faults {
  unsigned LossPerMille = 0;
  unsigned DelayPerMille = 0; ///< Messages that are delayed by up to 4 s.
  unsigned RestartsPer100s = 0;
  unsigned TakeoversPer100s = 0;
};

struct ModelResult {
  double WorstExcess = -1e9; ///< Operations in a window above the allowed ones.
  /// Largest part of a data centre's burst that entry VMs held at once.
  double WorstHeld = 0;
  unsigned Attempts = 0;
  unsigned Refused = 0;
};

/// One run of the model.
class Model {
public:
  Model(std::uint64_t Seed, AccessPlan Plan, QuotaTolerance Tolerance,
        Faults Given, std::size_t DataCentres, std::size_t VmsEach)
      : Rng(Seed), Plan(std::move(Plan)), Tolerance(Tolerance), Given(Given),
        DataCentres(DataCentres) {
    for (std::size_t D = 0; D < DataCentres; ++D) {
      this->Relays.emplace_back();
      this->addRelay(D, 0, false);
      this->Vms.emplace_back();
      for (std::size_t I = 0; I < VmsEach; ++I) {
        ModelVm Vm;
        Vm.Name = EntryVmId(std::to_string(D) + "-" + std::to_string(I));
        this->restart(Vm);
        this->Vms[D].push_back(std::move(Vm));
      }
    }
  }

  /// Runs for \p Length; \p demand sets the rates of attempts.
  template <typename F>
  ModelResult run(int LengthMs, double Allowed, F Demand) {
    ModelResult Out;
    std::deque<int> Window;
    for (int Now = 0; Now < LengthMs; Now += TickMs) {
      Demand(this->Vms, Now);
      for (std::size_t D = 0; D < this->DataCentres; ++D)
        this->step(D, Now, Window, Out);
      while (!Window.empty() && Window.front() <= Now - 5000)
        Window.pop_front();
      Out.WorstExcess = std::max(Out.WorstExcess,
                                 static_cast<double>(Window.size()) - Allowed);
    }
    return Out;
  }

  Random Rng;
  int CountFromMs = 0;

private:
  bool happens(unsigned Per100s) {
    return this->Rng.below(100000 / TickMs) < Per100s;
  }

  void addRelay(std::size_t D, int Now, bool Follows) {
    auto New = std::make_unique<ModelRelay>(this->DataCentres, this->Tolerance,
                                            this->Rng);
    New->Allocator.start(Follows, New->Clock.at(Now));
    this->Relays[D].push_back(std::move(New));
  }

  void restart(ModelVm &Vm) {
    ++Vm.Start;
    Vm.Holder = std::make_unique<QuotaLeaseHolder>(
        QuotaHolderId{Vm.Name, Vm.Start}, this->Tolerance);
    Vm.Holder->setEntryVms(this->DataCentres * 4);
    Vm.Clock = randomClock(this->Rng);
    Vm.Pending.reset();
    Vm.Waiting.clear();
    Vm.Holder->addSession(W, Vm.Clock.at(0));
  }

  void step(std::size_t D, int Now, std::deque<int> &Window, ModelResult &Out) {
    std::vector<std::unique_ptr<ModelRelay>> &Of = this->Relays[D];
    if (this->happens(this->Given.TakeoversPer100s)) {
      // The former relay may go on for as long as it has authority.
      for (const auto &R : Of)
        R->EndMs = std::min(
            R->EndMs,
            Now + static_cast<int>(this->Rng.below(static_cast<unsigned>(
                      QuotaAllocator::AuthorityTime.count() / 1000))));
      this->addRelay(D, Now, true);
    }
    for (ModelVm &Vm : this->Vms[D]) {
      if (this->happens(this->Given.RestartsPer100s))
        this->restart(Vm);
      if (Vm.Follows + 1 < Of.size() && this->Rng.below(50) == 0)
        Vm.Follows = Of.size() - 1;
      this->exchange(Vm, Of, Now);
      this->attempt(Vm, Now, Window, Out);
    }
    this->checkHeld(D, Now, Out);
  }

  void checkHeld(std::size_t D, int Now, ModelResult &Out) {
    double Sum = 0;
    for (ModelVm &Vm : this->Vms[D]) {
      Vm.Holder->endExpired(Vm.Clock.at(Now));
      for (const QuotaUse &Use : Vm.Holder->uses(Vm.Clock.at(Now)))
        Sum += Use.Tokens;
    }
    const QuotaAmount Share = dataCentreShare(
        *this->Plan.Workspaces.at(W).Quota, this->Tolerance, this->DataCentres);
    if (Share.Burst > 0)
      Out.WorstHeld = std::max(Out.WorstHeld, Sum / Share.Burst);
  }

  int delay() {
    if (this->Rng.below(1000) < this->Given.DelayPerMille)
      return static_cast<int>(this->Rng.below(4000));
    return 1 + static_cast<int>(this->Rng.below(9));
  }

  void exchange(ModelVm &Vm, std::vector<std::unique_ptr<ModelRelay>> &Of,
                int Now) {
    if (!Vm.Pending && Now >= Vm.NextAskMs) {
      Exchange E;
      E.Asked = Vm.Holder->makeRequest(Vm.Clock.at(Now));
      E.To = Vm.Follows;
      E.SentMs = Now;
      E.RequestMs = Now + this->delay();
      Vm.Pending = std::move(E);
      Vm.NextAskMs = Now + 400;
      Vm.LastAskMs = Now;
    }
    if (!Vm.Pending)
      return;
    Exchange &E = *Vm.Pending;
    ModelRelay &R = *Of[E.To];
    if (!E.Handled && Now >= E.RequestMs) {
      E.Handled = true;
      const bool Lost = this->Rng.below(1000) < this->Given.LossPerMille;
      E.ReplyMs = 1 << 30;
      if (!Lost && Now < R.EndMs) {
        R.Allocator.confirm(R.Clock.at(Now));
        E.Granted = R.Allocator.lease(E.Asked, this->Plan, R.Clock.at(Now));
        const bool ReplyLost = this->Rng.below(1000) < this->Given.LossPerMille;
        if (!ReplyLost)
          E.ReplyMs = Now + this->delay();
      }
    }
    if (E.Handled && Now >= E.ReplyMs) {
      Vm.Holder->applyLeases(E.Granted, Vm.Clock.at(E.SentMs),
                             Vm.Clock.at(Now));
      Vm.Pending.reset();
      return;
    }
    // With delays, a request is kept for longer, so that late replies count.
    const bool IsGivenUp =
        Now - E.SentMs >= 500 &&
        (this->Given.DelayPerMille == 0 || this->Rng.below(100) < 3);
    if (!IsGivenUp)
      return;
    Vm.Holder->abandonRequest(Vm.Clock.at(Now));
    Vm.Pending.reset();
  }

  void attempt(ModelVm &Vm, int Now, std::deque<int> &Window,
               ModelResult &Out) {
    double Expected = Vm.Rate * TickMs / 1000;
    while (Expected > 0) {
      const bool Happens = this->Rng.unit() < Expected;
      Expected -= 1;
      if (!Happens)
        continue;
      Out.Attempts += Now >= this->CountFromMs ? 1 : 0;
      this->decide(Vm, Now, true, Now + WaitMs, Window, Out);
    }
    // Those that wait are decided again until the end of the wait.
    std::deque<int> Waiting = std::move(Vm.Waiting);
    Vm.Waiting.clear();
    for (const int End : Waiting)
      this->decide(Vm, Now, false, End, Window, Out);
  }

  void decide(ModelVm &Vm, int Now, bool IsFirst, int EndMs,
              std::deque<int> &Window, ModelResult &Out) {
    const QuotaDecision D = Vm.Holder->admit(
        W, *this->Plan.Workspaces.at(W).Quota, IsFirst, Vm.Clock.at(Now));
    if (D.Verdict == QuotaVerdict::Admitted) {
      Window.push_back(Now);
    } else if (D.Verdict == QuotaVerdict::LeaseWanted && Now < EndMs) {
      Vm.Waiting.push_back(EndMs);
      Vm.NextAskMs = std::min(Vm.NextAskMs, std::max(Now, Vm.LastAskMs + 40));
    } else {
      Out.Refused += Now >= this->CountFromMs ? 1 : 0;
    }
  }

  AccessPlan Plan;
  QuotaTolerance Tolerance;
  Faults Given;
  std::size_t DataCentres;
  std::vector<std::vector<std::unique_ptr<ModelRelay>>> Relays;
  std::vector<std::vector<ModelVm>> Vms;
};

AccessPlan planWith(WorkspaceQuota Quota) {
  AccessPlan Plan;
  Plan.HasWorkspaces = true;
  Plan.Workspaces[W].Quota = Quota;
  return Plan;
}

} // namespace

// Guards against operations above the limit after any order of losses, delays,
// expiries, restarts and replacements of the relay, with clocks that differ by
// up to 1 %. Without a tolerance only the difference of the clocks may show.
TEST_CASE("no window has more operations than the quota allows") {
  struct Row {
    const char *Name;
    WorkspaceQuota Quota;
    QuotaTolerance Tolerance;
    Faults Given;
  };
  const Duration Window = std::chrono::seconds(5);
  const QuotaTolerance None{Window, 0, 0};
  const QuotaTolerance Usual{Window, 0.1, 20};
  const Faults All{50, 30, 10, 4};
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
      Model M(Seed, planWith(R.Quota), R.Tolerance, R.Given, 2, 4);
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
    Model M(7, planWith(R.Quota), Usual, {}, 1, R.VmsEach);
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
