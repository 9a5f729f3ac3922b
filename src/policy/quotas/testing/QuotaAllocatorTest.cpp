#include "policy/quotas/QuotaAllocator.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <optional>

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
  double Tokens = 0;
  double Returned = 0;

  QuotaLease ask(QuotaAllocator &From, const AccessPlan &Plan, double Demand,
                 int Ms, unsigned Waiting = 0) {
    From.confirm(at(Ms));
    const std::vector<QuotaLease> Leases =
        From.lease({this->Id,
                    ++this->Sequence,
                    {{W, Demand, {}, this->Tokens, this->Returned, Waiting}}},
                   Plan, at(Ms));
    if (Leases.size() != 1)
      return {};
    this->Tokens += Leases[0].Tokens;
    this->Returned = std::max(0.0, this->Tokens - Leases[0].Amount.Burst);
    this->Tokens -= this->Returned;
    return Leases[0];
  }

  /// Runs up to \p Operations; returns how many had a token.
  double run(double Operations) {
    const double Done = std::min(Operations, std::floor(this->Tokens));
    this->Tokens -= Done;
    return Done;
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
    std::vector<double> After;   ///< Then for 4 s.
    std::vector<double> AtLeast; ///< Operations per second in the last 2 s.
  };
  const Row Rows[] = {
      {"one entry VM", {10}, {10}, {9}},
      {"demand below the share", {10, 20, 0}, {10, 20, 0}, {9, 19, 0}},
      {"demand above the share", {500, 500}, {500, 500}, {45, 45}},
      {"a small demand beside a large one", {10, 500}, {10, 500}, {9, 80}},
      {"demand moves", {80, 0, 0}, {0, 80, 0}, {0, 79, 0}},
      {"a sudden rise", {10, 10, 10}, {10, 70, 10}, {9, 68, 9}},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    std::vector<Holder> Holders;
    Holders.reserve(R.Before.size());
    for (std::size_t I = 0; I < R.Before.size(); ++I)
      Holders.push_back({vm(static_cast<int>(I)), 0, 0});
    std::vector<double> Ran(Holders.size());
    double All = 0;
    constexpr int StepMs = 100;
    for (int Ms = 0; Ms < 7000; Ms += StepMs)
      for (std::size_t I = 0; I < Holders.size(); ++I) {
        const double Demand = Ms < 3000 ? R.Before[I] : R.After[I];
        Holders[I].ask(Allocator, Plan, Demand, Ms + static_cast<int>(I));
        const double Done = Holders[I].run(Demand * StepMs / 1000);
        All += Done;
        Ran[I] += Ms >= 5000 ? Done : 0;
        REQUIRE(Allocator.committed(W, at(Ms)) <= 40.0001);
        REQUIRE(All <= 40 + 100 * (Ms + StepMs) / 1000.0);
      }
    for (std::size_t I = 0; I < Holders.size(); ++I) {
      CAPTURE(I);
      CHECK(Ran[I] / 2 >= R.AtLeast[I]);
    }
  }
}

// Guards against a share that is divided into bursts of less than one
// operation, of which nobody can use any, and against tokens that entry VMs
// keep while an operation of another one waits.
TEST_CASE("a small share is given to operations that wait") {
  const AccessPlan Plan = planWith(1, 2);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  std::vector<Holder> Holders;
  Holders.reserve(6);
  for (int I = 0; I < 6; ++I)
    Holders.push_back({vm(I), 0, 0});
  for (int Ms = 0; Ms <= 3600; Ms += 400)
    for (Holder &H : Holders)
      CHECK(H.ask(Allocator, Plan, 0.3, Ms).Tokens == 0);
  for (const std::size_t I : {std::size_t{3}, std::size_t{5}}) {
    CAPTURE(I);
    const QuotaLease First = Holders[I].ask(Allocator, Plan, 0.5, 4000, 1);
    CHECK(First.Amount.Burst >= 1);
    CHECK(First.Tokens >= 1);
  }
  const QuotaLease Late = Holders[1].ask(Allocator, Plan, 0.5, 4001, 1);
  CHECK(Late.Tokens < 1);
}

// Guards against an allocator that gives out what a former one has leased, and
// against one that waits although nothing can be leased any more.
TEST_CASE("an allocator that follows another one waits for its leases") {
  struct Row {
    const char *Name;
    bool Follows;
    std::optional<int> FormerEndedMs;
    int AtMs;
    bool Grants;
  };
  const int Late =
      static_cast<int>(QuotaAllocator::TakeoverTime.count() / 1000);
  const int LeaseMs = static_cast<int>(
      (QuotaAllocator::LeaseLength + 2 * QuotaAllocator::ExpiryMargin).count() /
      1000);
  const Row Rows[] = {
      {"the first allocator", false, std::nullopt, 0, true},
      {"at the start", true, std::nullopt, 100, false},
      {"just before the end", true, std::nullopt, Late - 1, false},
      {"after all former leases", true, std::nullopt, Late + 1000, true},
      {"the former has ended, its leases have not", true, 0, LeaseMs - 1,
       false},
      {"the former and its leases have ended", true, 0, LeaseMs + 1000, true},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(R.Follows, at(0));
    if (R.FormerEndedMs)
      Allocator.observeFormerEnded(at(*R.FormerEndedMs));
    Holder H{vm(1), 0, 0};
    CHECK((H.ask(Allocator, Plan, 50, R.AtMs, 1).Tokens >= 1) == R.Grants);
  }
}

// Guards against tokens that are given out again while their holder may use
// them, and against tokens that never return.
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
      {"not heard of until the end", false, 1, End + 1, true},
      {"given up", true, 1, 500, true},
      {"restarted", true, 2, 500, false},
  };
  const AccessPlan Plan = planWith(1000, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    Holder First{vm(1), 0, 0};
    First.ask(Allocator, Plan, 1000, 0);
    REQUIRE(First.Tokens > 20);
    if (R.Reports)
      Allocator.lease({vm(1, R.Run), 7, {}}, Plan, at(400));
    Holder Second{vm(2), 0, 0};
    Second.ask(Allocator, Plan, 1000, R.AtMs);
    Second.ask(Allocator, Plan, 1000, R.AtMs + 50);
    CHECK((Second.Tokens > 20) == R.Returned);
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
    CHECK(Allocator.committed(W, at(400)) <= 40.0001);
  }
}

// Guards against a lowered limit that is not in force for new leases, and that
// leaves an entry VM without any.
TEST_CASE("a lowered limit lowers what is leased") {
  const AccessPlan Before = planWith(100, 40);
  const AccessPlan After = planWith(20, 8);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  std::vector<Holder> Holders;
  Holders.reserve(4);
  for (int I = 0; I < 4; ++I)
    Holders.push_back({vm(I), 0, 0});
  double Ran = 0;
  for (int Ms = 0; Ms < 6000; Ms += 100)
    for (Holder &H : Holders) {
      H.ask(Allocator, Ms < 2000 ? Before : After, 50, Ms);
      Ran += H.run(5) * (Ms >= 3000 ? 1 : 0);
    }
  CHECK(Ran <= 20 * 3 + 8 + 1);
  CHECK(Ran >= 20 * 3 - 8);
}

// Guards against a relay that was suspended or cut off, or whose row was lost,
// and leases what the one that has replaced it leases as well.
TEST_CASE("nothing is leased without a recent confirmation") {
  const int Valid =
      static_cast<int>(QuotaAllocator::ConfirmationTime.count() / 1000);
  struct Row {
    const char *Name;
    int ConfirmedMs;
    int AtMs;
    std::size_t Leases;
    bool Withdrawn = false;      ///< After the confirmation.
    bool ConfirmedAgain = false; ///< At AtMs.
  };
  const Row Rows[] = {
      {"after the start", 0, Valid, 1},
      {"too long after the start", 0, Valid + 1, 0},
      {"confirmed", 2000, 2000 + Valid, 1},
      {"confirmed too long ago", 2000, 2001 + Valid, 0},
      {"an older confirmation", -5000, Valid, 1},
      {"withdrawn", 2000, 2000, 0, true},
      {"withdrawn and confirmed again", 2000, 2000, 1, true, true},
  };
  const AccessPlan Plan = planWith(100, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    Allocator.confirm(at(R.ConfirmedMs));
    if (R.Withdrawn)
      Allocator.withdraw();
    if (R.ConfirmedAgain)
      Allocator.confirm(at(R.AtMs));
    CHECK(Allocator.lease({vm(1), 1, {{W, 1, {}, 0, 0}}}, Plan, at(R.AtMs))
              .size() == R.Leases);
  }
}

// Guards against tokens that a reply adds beyond what the holder needs, so that
// others find none.
TEST_CASE("a reply adds what is missing and takes what is not needed") {
  const AccessPlan Plan = planWith(100, 40);
  struct Row {
    const char *Name;
    double Demand;
    double Tokens;
    unsigned Waiting;
    double AtLeast;
    double AtMost;
    double Kept; ///< Tokens that it has afterwards.
  };
  const Row Rows[] = {
      {"demand, no token", 5, 0, 0, 2.5, 2.5, 2.5},
      {"demand, some tokens", 5, 1, 0, 1.5, 1.5, 2.5},
      {"demand, more tokens than it needs", 5, 20, 0, 0, 0, 2.5},
      {"no demand, no token", 0, 0, 0, 0, 0, 0},
      {"no demand, some tokens", 0, 20, 0, 0, 0, 0},
      {"an operation waits", 5, 0, 1, 3.5, 3.5, 3.5},
      {"more operations wait than its part allows", 5, 0, 50, 4.75, 4.75, 4.75},
      {"a small demand, enough for all", 1, 0, 0, 1.5, 1.5, 1.5},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(false, at(0));
    const std::vector<QuotaLease> Leases = Allocator.lease(
        {vm(1), 1, {{W, R.Demand, {}, R.Tokens, 0, R.Waiting}}}, Plan, at(0));
    REQUIRE(Leases.size() == 1);
    CHECK(Leases[0].Tokens >= R.AtLeast - 0.0001);
    CHECK(Leases[0].Tokens <= R.AtMost + 0.0001);
    CHECK(Leases[0].Amount.Burst == Approx(R.Kept));
  }
}

// Guards against a planned change of the relay after which entry VMs have no
// tokens: the next allocator grants none until the leases have ended.
TEST_CASE("an allocator that is about to end leases for a longer time") {
  const AccessPlan Plan = planWith(100, 100);
  QuotaAllocator Allocator(1, {});
  Allocator.start(false, at(0));
  Holder H{vm(0), 0, 0};
  H.ask(Allocator, Plan, 30, 0);
  CHECK(H.Tokens == Approx(15));
  Allocator.spreadAll();
  H.ask(Allocator, Plan, 30, 100);
  CHECK(H.Tokens == Approx(30));
  CHECK(Allocator.committed(W, at(100)) <= 100.0001);
}

// Guards against refusals just after the first start of a deployment, and
// against a second full burst for a workspace that was not reported for a
// while.
TEST_CASE("only the first allocator starts with a full burst") {
  struct Row {
    const char *Name;
    bool Follows;
    double Former; ///< Demand of an entry VM that used its tokens before.
    double AtLeast;
    double AtMost; ///< Tokens of all entry VMs together.
  };
  const Row Rows[] = {
      {"first", false, 0, 39, 40.01},
      {"first, but the workspace returns", false, 40, 30, 40.01},
      {"follows another one", true, 0, 0, 0},
  };
  const AccessPlan Plan = planWith(0.001, 40);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(1, {});
    Allocator.start(R.Follows, at(0));
    double Tokens = 0;
    if (R.Former > 0) {
      for (const QuotaLease &L : Allocator.lease(
               {vm(1), 1, {{W, R.Former, {}, 0, 0, 20}}}, Plan, at(0)))
        Tokens += L.Tokens;
      Allocator.lease({vm(1), 2, {}}, Plan, at(600));
    }
    for (int I = 2; I < 60; ++I) {
      Allocator.confirm(at(1200 + I));
      for (const QuotaLease &L : Allocator.lease(
               {vm(I), 1, {{W, 1, {}, 0, 0, 1}}}, Plan, at(1200 + I)))
        Tokens += L.Tokens;
    }
    CHECK(Tokens >= R.AtLeast);
    CHECK(Tokens <= R.AtMost);
  }
}
