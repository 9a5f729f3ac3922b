#include "policy/quotas/QuotaAllocator.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace amaranthspur;

namespace {

const WorkspaceName W("w");

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

AccessPlan planWith(double Rate, double Burst) {
  AccessPlan Plan;
  Plan.HasWorkspaces = true;
  Plan.Workspaces[W].Quota = WorkspaceQuota{Rate, Burst};
  Plan.Workspaces[WorkspaceName("free")];
  return Plan;
}

QuotaHolderId vm(int Number, std::uint64_t Start = 1) {
  return {EntryVmId("vm-" + std::to_string(Number)), Start};
}

/// An entry VM that applies each lease at once.
struct Holder {
  QuotaHolderId Id;
  std::uint64_t Sequence = 0;
  QuotaAmount Held;

  QuotaLease ask(QuotaAllocator &From, const AccessPlan &Plan, double Demand,
                 int Ms) {
    From.confirm(at(Ms));
    const std::vector<QuotaLease> Leases = From.lease(
        {this->Id, ++this->Sequence, {{W, Demand, this->Held, 0, 0}}}, Plan,
        at(Ms));
    if (Leases.size() != 1)
      return {};
    this->Held = Leases[0].Amount;
    return Leases[0];
  }
};

} // namespace

// Guards against a part that exceeds the demand, or that leaves capacity unused
// while someone demands it.
TEST_CASE("max-min fairness") {
  struct Row {
    const char *Name;
    double Total;
    std::vector<double> Demands;
    std::vector<double> Parts;
  };
  const Row Rows[] = {
      {"enough for all", 10, {1, 2, 3}, {1, 2, 3}},
      {"equal parts", 9, {5, 5, 5}, {3, 3, 3}},
      {"small demands are met", 10, {1, 8, 8}, {1, 4.5, 4.5}},
      {"nothing to divide", 0, {1, 0}, {0, 0}},
      {"a demand of nothing", 4, {0, 9}, {0, 4}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    for (std::size_t I = 0; I < R.Demands.size(); ++I)
      CHECK(maxMinPart(R.Total, R.Demands, I) == Approx(R.Parts[I]));
  }
}

// Guards against leases whose sum exceeds the share, and against an entry VM
// with demand that finds everything leased to others.
TEST_CASE("leases follow demand and never exceed the share") {
  struct Row {
    const char *Name;
    std::vector<double> Before;  ///< Demand of each entry VM, 3 s long.
    std::vector<double> After;   ///< Then for 2 s.
    std::vector<double> AtLeast; ///< Leased rates in the end.
    double Free;                 ///< Rate that stays in the pool, at least.
  };
  const Row Rows[] = {
      {"one entry VM", {10}, {10}, {7}, 90},
      {"demand below the share", {10, 20, 0}, {10, 20, 0}, {7, 14, 0}, 70},
      {"demand above the share", {500, 500}, {500, 500}, {49, 49}, 0},
      {"a small demand beside a large one", {10, 500}, {10, 500}, {9.9, 89}, 0},
      {"demand moves", {80, 0, 0}, {0, 80, 0}, {0, 63, 0}, 30},
      {"a sudden rise", {10, 10, 10}, {10, 70, 10}, {9, 62, 9}, 0},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    std::vector<Holder> Holders;
    Holders.reserve(R.Before.size());
    for (std::size_t I = 0; I < R.Before.size(); ++I)
      Holders.push_back({vm(static_cast<int>(I)), 0, {}});
    for (int Ms = 0; Ms < 5000; Ms += 400)
      for (std::size_t I = 0; I < Holders.size(); ++I) {
        Holders[I].ask(Allocator, Plan, Ms < 3000 ? R.Before[I] : R.After[I],
                       Ms + static_cast<int>(I) * 50);
        const QuotaAmount Sum = Allocator.committed(W, at(Ms));
        REQUIRE(Sum.RatePerSecond <= 100.0001);
        REQUIRE(Sum.Burst <= 40.0001);
      }
    CHECK(Allocator.committed(W, at(5000)).RatePerSecond <= 100.0001 - R.Free);
    for (std::size_t I = 0; I < Holders.size(); ++I) {
      CAPTURE(I);
      CHECK(Holders[I].Held.RatePerSecond >= R.AtLeast[I]);
    }
  }
}

// Guards against a share that is divided into bursts of less than one
// operation, of which nobody can use any.
TEST_CASE("a small share is given to those with demand") {
  const AccessPlan Plan = planWith(1, 2);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  std::vector<Holder> Holders;
  Holders.reserve(6);
  for (int I = 0; I < 6; ++I)
    Holders.push_back({vm(I), 0, {}});
  for (int Ms = 0; Ms <= 3600; Ms += 400)
    for (Holder &H : Holders)
      H.ask(Allocator, Plan, 0, Ms);
  const QuotaLease First = Holders[3].ask(Allocator, Plan, 0.5, 4000);
  CHECK(First.Amount.Burst >= 1);
  CHECK(First.Tokens >= 1);
}

// Guards against an allocator that gives out what a former one has leased, and
// against one that does not renew it.
TEST_CASE("an allocator that follows another one renews what is held") {
  struct Row {
    const char *Name;
    bool Follows;
    QuotaAmount Held;
    int AtMs;
    bool Renewed; ///< The whole held amount is granted.
    bool More;    ///< More than the held amount is granted.
  };
  const int Late =
      static_cast<int>(QuotaAllocator::TakeoverTime.count() / 1000);
  const Row Rows[] = {
      {"the first allocator", false, {}, 0, true, true},
      {"nothing held", true, {}, 100, true, false},
      {"something held", true, {30, 10}, 100, true, false},
      {"just before the end", true, {30, 10}, Late - 1, true, false},
      {"after all former leases", true, {}, Late, true, true},
      {"more held than there is", true, {300, 100}, 100, false, false},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(R.Follows, at(0));
    Holder H{vm(1), 0, R.Held};
    const QuotaLease Granted = H.ask(Allocator, Plan, 50, R.AtMs);
    CHECK((Granted.Amount.RatePerSecond >= R.Held.RatePerSecond) == R.Renewed);
    CHECK((Granted.Amount.RatePerSecond > R.Held.RatePerSecond) == R.More);
    CHECK(Granted.Amount.RatePerSecond <= 100.0001);
    if (!R.More)
      CHECK(Granted.Tokens == 0);
  }
}

// Guards against capacity that is given out again while its holder may use it,
// and against capacity that never returns.
TEST_CASE("what is leased returns when the lease has ended or is given up") {
  struct Row {
    const char *Name;
    bool Reports;      ///< The first entry VM asks without the workspace.
    std::uint64_t Run; ///< Of the first entry VM when it does.
    int AtMs;
    bool Returned;
  };
  const int End =
      static_cast<int>(QuotaAllocator::CommitmentTime.count() / 1000);
  const Row Rows[] = {
      {"not heard of", false, 1, End - 100, false},
      {"not heard of until the end", false, 1, End, true},
      {"given up", true, 1, 500, true},
      {"restarted", true, 2, 500, false},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    Holder First{vm(1), 0, {}};
    First.ask(Allocator, Plan, 1000, 0);
    REQUIRE(First.Held.RatePerSecond > 90);
    if (R.Reports)
      Allocator.lease({vm(1, R.Run), 7, {}}, Plan, at(400));
    Holder Second{vm(2), 0, {}};
    Second.ask(Allocator, Plan, 1000, R.AtMs);
    CHECK((Second.Held.RatePerSecond > 90) == R.Returned);
  }
}

// Guards against numbers of a malformed message, a repeated request and
// unlimited workspaces that change what is leased.
TEST_CASE("requests out of order and implausible reports get nothing") {
  const double Nan = std::numeric_limits<double>::quiet_NaN();
  struct Row {
    const char *Name;
    QuotaRequest Asked;
    std::size_t Leases;
  };
  const Row Rows[] = {
      {"valid", {vm(1), 2, {{W, 1, {}, 0, 0}}}, 1},
      {"repeated", {vm(1), 1, {{W, 1, {}, 0, 0}}}, 0},
      {"another run", {vm(1, 2), 1, {{W, 1, {}, 0, 0}}}, 1},
      {"negative demand", {vm(1), 2, {{W, -1, {}, 0, 0}}}, 0},
      {"no number", {vm(1), 2, {{W, Nan, {}, 0, 0}}}, 0},
      {"a huge lease", {vm(1), 2, {{W, 1, {1e300, 1}, 0, 0}}}, 0},
      {"negative tokens", {vm(1), 2, {{W, 1, {}, -5, 0}}}, 0},
      {"negative returned tokens", {vm(1), 2, {{W, 1, {}, 0, -5}}}, 0},
      {"twice the same", {vm(1), 2, {{W, 1, {}, 0, 0}, {W, 1, {}, 0, 0}}}, 1},
      {"unlimited", {vm(1), 2, {{WorkspaceName("free"), 1, {}, 0, 0}}}, 0},
      {"unknown", {vm(1), 2, {{WorkspaceName("x"), 1, {}, 0, 0}}}, 0},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    REQUIRE(
        Allocator.lease({vm(1), 1, {{W, 1, {}, 0, 0}}}, Plan, at(0)).size() ==
        1);
    CHECK(Allocator.lease(R.Asked, Plan, at(400)).size() == R.Leases);
    CHECK(Allocator.committed(W, at(400)).RatePerSecond <= 100.0001);
  }
}

// Guards against a lowered limit that leaves a workspace without any lease
// until the former ones have ended, and against one that is not in force.
TEST_CASE("a lowered limit lowers each lease at its renewal") {
  const AccessPlan Before = planWith(100, 40);
  const AccessPlan After = planWith(20, 8);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  std::vector<Holder> Holders;
  Holders.reserve(4);
  for (int I = 0; I < 4; ++I)
    Holders.push_back({vm(I), 0, {}});
  for (int Ms = 0; Ms < 2000; Ms += 400)
    for (Holder &H : Holders)
      H.ask(Allocator, Before, 50, Ms);
  double Sum = 0;
  for (Holder &H : Holders) {
    H.ask(Allocator, After, 50, 2000);
    CHECK(H.Held.RatePerSecond > 3);
    Sum += H.Held.RatePerSecond;
  }
  CHECK(Sum <= 20.0001);
}

// Guards against a relay that was suspended or cut off and leases what the one
// that has replaced it leases as well.
TEST_CASE("nothing is leased without a recent confirmation") {
  const int Valid =
      static_cast<int>(QuotaAllocator::ConfirmationTime.count() / 1000);
  struct Row {
    const char *Name;
    int ConfirmedMs;
    int AtMs;
    std::size_t Leases;
  };
  const Row Rows[] = {
      {"after the start", 0, Valid, 1},
      {"too long after the start", 0, Valid + 1, 0},
      {"confirmed", 2000, 2000 + Valid, 1},
      {"confirmed too long ago", 2000, 2001 + Valid, 0},
      {"an older confirmation", -5000, Valid, 1},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    Allocator.confirm(at(R.ConfirmedMs));
    CHECK(Allocator.lease({vm(1), 1, {{W, 1, {}, 0, 0}}}, Plan, at(R.AtMs))
              .size() == R.Leases);
  }
}

// Guards against tokens that a reply adds to those that the holder reports, and
// that together exceed its lease.
TEST_CASE("granted tokens fit beside the reported ones") {
  const AccessPlan Plan = planWith(100, 40);
  struct Row {
    const char *Name;
    double Demand;
    double Tokens;
  };
  const Row Rows[] = {
      {"demand, no token", 5, 0},
      {"demand, some tokens", 5, 3},
      {"demand, more tokens than it needs", 5, 20},
      {"no demand, no token", 0, 0},
      {"no demand, nearly all of its burst", 0, 15},
  };
  for (const auto &[Name, Demand, Tokens] : Rows) {
    CAPTURE(Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    Allocator.lease({vm(1), 1, {{W, 5, {}, 0, 0}}}, Plan, at(0));
    Allocator.confirm(at(2000));
    const std::vector<QuotaLease> Leases = Allocator.lease(
        {vm(1), 2, {{W, Demand, {3, 20}, Tokens, 0}}}, Plan, at(2000));
    REQUIRE(Leases.size() == 1);
    CHECK(Leases[0].Tokens >= 0);
    const bool Fits =
        Leases[0].Tokens == 0 ||
        Tokens + Leases[0].Tokens <= Leases[0].Amount.Burst + 0.0001;
    CHECK(Fits);
  }
}

// Guards against a planned change of the relay after which entry VMs have only
// a part of what their workspaces may use: the next allocator can only renew
// what is held.
TEST_CASE("an allocator that is about to end leases everything") {
  const AccessPlan Plan = planWith(100, 40);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  std::vector<Holder> Holders = {
      {vm(0), 0, {}}, {vm(1), 0, {}}, {vm(2), 0, {}}};
  const std::vector<double> Demands = {10, 30, 0};
  const auto AskAll = [&](int Ms) {
    for (std::size_t I = 0; I < Holders.size(); ++I)
      Holders[I].ask(Allocator, Plan, Demands[I], Ms);
  };
  for (int Ms = 0; Ms < 2000; Ms += 400)
    AskAll(Ms);
  CHECK(Allocator.committed(W, at(2000)).RatePerSecond < 50);
  Allocator.spreadAll();
  AskAll(2000);
  CHECK(Holders[0].Held.RatePerSecond > 24);
  CHECK(Holders[1].Held.RatePerSecond > 74);
  CHECK(Holders[0].Held.Burst + Holders[1].Held.Burst > 25);
  const QuotaAmount Sum = Allocator.committed(W, at(2000));
  CHECK(Sum.RatePerSecond <= 100.0001);
  CHECK(Sum.Burst <= 40.0001);

  // The next allocator renews it.
  QuotaAllocator Next(1, {});
  Next.start(true, at(2400));
  for (std::size_t I = 0; I < Holders.size(); ++I)
    Holders[I].ask(Next, Plan, Demands[I], 2400);
  CHECK(Holders[1].Held.RatePerSecond > 74);
}

// Guards against refusals just after the first start of a deployment, and
// against a second full burst for a workspace that was not reported for a
// while.
TEST_CASE("only the first allocator starts with a full burst") {
  struct Row {
    const char *Name;
    bool Follows;
    bool Returns; ///< The workspace was reported and given up before.
    bool HasTokens;
  };
  const Row Rows[] = {
      {"first", false, false, true},
      {"first, but the workspace returns", false, true, false},
      {"follows another one", true, false, false},
  };
  const AccessPlan Plan = planWith(0.001, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(R.Follows, at(0));
    if (R.Returns) {
      Allocator.lease({vm(1), 1, {{W, 5, {}, 0, 0}}}, Plan, at(0));
      Allocator.lease({vm(1), 2, {}}, Plan, at(600));
    }
    Allocator.confirm(at(1200));
    const std::vector<QuotaLease> Leases =
        Allocator.lease({vm(2), 1, {{W, 5, {}, 0, 0}}}, Plan, at(1200));
    REQUIRE(Leases.size() == 1);
    CHECK((Leases[0].Tokens >= 1) == R.HasTokens);
  }
}
