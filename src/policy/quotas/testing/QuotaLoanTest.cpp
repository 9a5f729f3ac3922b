// Checks the loans between data centres: the bound of a quota over all of them
// on a model, the target of a workspace in one data centre, and the rules of
// the lender and the borrower.
#include "policy/quotas/testing/QuotaModel.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::testing;

namespace {

const WorkspaceName W = ModelWorkspace;
const DataCentre Near("near");

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

int inMs(Duration D) { return static_cast<int>(D.count() / 1000); }

QuotaHolderId vm(int Number, std::uint64_t Start = 1) {
  return {EntryVmId("vm-" + std::to_string(Number)), Start};
}

QuotaRequest report(std::uint64_t Sequence, double Demand, double Tokens = 0,
                    unsigned Waiting = 0, int Number = 1) {
  return {vm(Number), Sequence, {{W, Demand, {}, Tokens, 0, Waiting}}};
}

double tokensOf(const std::vector<QuotaLoan> &Loans) {
  return Loans.empty() ? 0 : Loans[0].Tokens;
}

/// A deployment of three data centres under faults.
struct LoanRow {
  const char *Name;
  WorkspaceQuota Quota;
  QuotaTolerance Tolerance;
  ModelFaults Given;
  std::size_t VmsEach = 5;
};

constexpr Duration Window = std::chrono::seconds(5);
constexpr QuotaTolerance None{Window, 0, 0};
constexpr QuotaTolerance Usual{Window, 0.1, 20};
constexpr ModelFaults All{50, 30, 10, 4, 4, 10, 300};

/// Checks that no window has more operations than all data centres together may
/// have.
void checkWindows(const std::vector<LoanRow> &Rows) {
  for (const LoanRow &R : Rows) {
    double Borrowed = 0;
    for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
      CAPTURE(R.Name, Seed);
      const double Allowed =
          R.Tolerance == None
              ? R.Quota.RatePerSecond * 5 * 1.0101 + R.Quota.Burst
              : R.Quota.RatePerSecond * 5 + R.Quota.Burst +
                    toleratedExtra(R.Quota, R.Tolerance);
      QuotaModel M(
          Seed, {modelPlan(R.Quota), R.Tolerance, R.Given, 3, R.VmsEach, true});
      const ModelResult Out =
          M.run(60000, Allowed, [&M, &R, Seed](auto &Vms, int Now) {
            // Demand in one data centre, which borrows; then quiet, in which
            // the lenders fill; then a flood everywhere.
            const int Phase = Now % 9000;
            const bool Changes =
                Seed % 2 == 0 ? Now % 500 == 0
                              : Phase == 0 || Phase == 3000 || Phase == 5000;
            if (!Changes)
              return;
            const double Rate = R.Quota.RatePerSecond + R.Quota.Burst;
            const std::size_t One = M.Rng.below(3);
            const bool IsQuiet = R.VmsEach > 5;
            for (std::size_t D = 0; D < Vms.size(); ++D)
              for (ModelVm &Vm : Vms[D])
                if (IsQuiet && Phase < 5000)
                  Vm.Rate = 0;
                else if (Phase < 3000)
                  Vm.Rate = D == One ? Rate / 4 * M.Rng.unit() : 0;
                else if (Phase < 5000)
                  Vm.Rate = M.Rng.below(4) == 0 ? 1 : 0;
                else
                  Vm.Rate = M.Rng.below(3) == 0 ? 0 : Rate * M.Rng.unit();
          });
      CHECK(Out.WorstExcess <= 0);
      CHECK(Out.WorstHeld <= 1.000001);
      Borrowed += Out.Borrowed;
    }
    // Without loans the runs would show nothing.
    CAPTURE(R.Name);
    CHECK(Borrowed > R.Quota.RatePerSecond);
  }
}

} // namespace

// Guards against operations above the limit of all data centres together, after
// any order of loans, lost and late replies, partitions between the data
// centres, and restarts of lenders, borrowers and entry VMs. Without a
// tolerance only the difference of the clocks may show.
//
// The rows are divided among five tests, since with sanitizers all together
// take longer than the time limit of a test.
TEST_CASE("loans never add operations to a window under one kind of fault") {
  checkWindows({
      {"calm", {100, 90}, None, {}},
      {"lost messages", {100, 90}, None, {100}},
      {"delayed messages", {100, 90}, None, {0, 100}},
      {"restarts of entry VMs", {100, 90}, None, {0, 0, 30}},
      {"lenders and borrowers replaced", {100, 90}, None, {0, 0, 0, 7}},
      {"lenders and borrowers restarted", {100, 90}, None, {0, 0, 0, 0, 10}},
      {"partitions", {100, 90}, None, {0, 0, 0, 0, 0, 30}},
  });
}

TEST_CASE("loans never add operations to a window with false reports") {
  checkWindows({
      {"false reports", {100, 90}, None, {0, 0, 0, 0, 0, 0, 700}},
      {"false reports, few tokens", {6, 9}, None, {0, 0, 0, 0, 0, 0, 900}},
  });
}

TEST_CASE("loans never add operations to a window with many holders") {
  checkWindows({
      // Holders keep tokens that they do not use, more than the burst of a data
      // centre. Without these rows, a loan that is counted too short and a
      // renewal beyond the bound are not found.
      {"false reports, many VMs", {6, 9}, None, {0, 0, 0, 0, 0, 0, 1000}, 10},
      {"the same with takeovers", {6, 9}, None, {0, 0, 0, 10, 0, 0, 1000}, 10},
  });
}

TEST_CASE("loans never add operations to a window with twenty holders each") {
  checkWindows({
      {"with partitions", {30, 30}, None, {0, 0, 0, 0, 0, 30, 1000}, 20},
      {"with restarts", {30, 30}, None, {0, 0, 0, 0, 10, 0, 1000}, 20},
  });
}

TEST_CASE("loans never add operations to a window under all faults") {
  checkWindows({
      {"everything", {100, 90}, None, All},
      {"everything, a large burst", {20, 600}, None, All},
      {"everything, few tokens", {6, 9}, None, All},
      {"everything, with the tolerance", {100, 40}, Usual, All},
  });
}

// Guards against a workspace that has only the share of one data centre: its
// whole rate is to be there 500 ms after its demand has begun, and to last.
TEST_CASE("demand in one data centre gets the whole rate") {
  struct Row {
    const char *Name;
    WorkspaceQuota Quota;
    std::size_t Users; ///< Entry VMs with demand.
    unsigned RefusedPerMille;
  };
  // The demand is 0.9 of the rate, so that chance does not exceed the limit.
  const Row Rows[] = {
      {"a large quota", {600, 600}, 8, 20},
      {"one entry VM", {160, 160}, 1, 20},
      {"usual", {160, 160}, 8, 20},
      {"a burst of half a second", {160, 80}, 8, 20},
  };
  const QuotaTolerance Usual{std::chrono::seconds(5), 0.1, 20};
  constexpr int BeginMs = 3000;
  const std::pair<int, int> Times[] = {{500, 2000}, {2000, 20000}};
  for (const Row &R : Rows)
    for (const auto &[FromMs, UntilMs] : Times) {
      CAPTURE(R.Name, FromMs);
      ModelResult Sum;
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        QuotaModel M(Seed, {modelPlan(R.Quota), Usual, {}, 6, 8, true});
        M.CountFromMs = BeginMs + FromMs;
        M.CountUntilMs = BeginMs + UntilMs;
        const ModelResult Out =
            M.run(BeginMs + UntilMs, 0, [&R](auto &Vms, int Now) {
              for (std::size_t I = 0; I < R.Users; ++I)
                Vms[0][I].Rate = Now < BeginMs
                                     ? 0
                                     : 0.9 * R.Quota.RatePerSecond /
                                           static_cast<double>(R.Users);
            });
        Sum.Attempts += Out.Attempts;
        Sum.Refused += Out.Refused;
      }
      CAPTURE(Sum.Attempts, Sum.Refused);
      CHECK(Sum.Refused * 1000 <= Sum.Attempts * R.RefusedPerMille);
    }
}

// Guards against a lender that gives what its own holders need, more than its
// part, or anything while another allocator may lend as well.
TEST_CASE("what a lender grants") {
  struct Row {
    const char *Name;
    double Demand; ///< Of its own holder.
    double Wished;
    std::uint64_t Sequence;
    int AtMs; ///< After a confirmation at 0.
    double Granted;
  };
  const int Latest = inMs(QuotaAllocator::LendingTime);
  const Row Rows[] = {
      {"idle", 0, 10, 1, 0, 10},
      {"more than its part", 0, 1000, 1, 0, 35},
      {"own demand", 40, 1000, 1, 0, 10},
      {"own demand above its share", 500, 10, 1, 0, 0},
      {"a request out of order", 0, 10, 0, 0, 0},
      {"a negative wish", 0, -10, 1, 0, 0},
      {"recently confirmed", 0, 10, 1, Latest, 10},
      {"not recently confirmed", 0, 10, 1, Latest + 1, 0},
  };
  const AccessPlan Plan = modelPlan({100, 100});
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Lender(2, {});
    Lender.start(false, at(0));
    if (R.Demand > 0)
      Lender.lease(report(1, R.Demand), Plan, at(0));
    const double Granted = tokensOf(
        Lender.lend({vm(9), R.Sequence, {{W, R.Wished}}}, Plan, at(R.AtMs)));
    CHECK(Granted == Approx(R.Granted));
  }
}

// Guards against a lender that gives out again what its borrower may still
// use, and against one that keeps what was given back.
TEST_CASE("a loan counts until it has ended or was returned") {
  struct Row {
    const char *Name;
    int AtMs;
    std::uint64_t Start; ///< Of the borrower that asks again.
    std::optional<double> Held;
    double Granted; ///< Of a further wish; 35 can be lent together.
  };
  const int End = inMs(QuotaAllocator::LoanCommitmentTime);
  const Row Rows[] = {
      {"just before its end", End - 1, 1, std::nullopt, 5},
      // The pool could hold 20 while the loan counted.
      {"at its end", End, 1, std::nullopt, 20},
      {"all still held", 1000, 1, 30, 5},
      {"a part was returned", 1000, 1, 10, 20},
      {"more than was lent", 1000, 1, 50, 5},
      {"a restarted borrower", 1000, 2, 0, 5},
  };
  const AccessPlan Plan = modelPlan({100, 100});
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Lender(2, {});
    Lender.start(false, at(0));
    REQUIRE(tokensOf(Lender.lend({vm(9), 1, {{W, 30}}}, Plan, at(0))) ==
            Approx(30));
    Lender.confirm(at(R.AtMs));
    const double Granted = tokensOf(Lender.lend(
        {vm(9, R.Start), 2, {{W, 1000, R.Held}}}, Plan, at(R.AtMs)));
    CHECK(Granted == Approx(R.Granted));
  }
}

// Guards against loans that are applied twice or too late, and against borrowed
// tokens that are renewed after their end.
TEST_CASE("what a borrower leases of a loan") {
  struct Row {
    const char *Name;
    int AppliedMs;
    bool Abandoned;
    int RenewedMs;
    double Applied;
    bool Renewed; ///< 65 tokens, with a burst of 50 and a loan of 30.
  };
  const int End = inMs(QuotaAllocator::LoanLength);
  const Row Rows[] = {
      {"renewed before its end", 10, false, End - 1, 30, true},
      {"renewed at its end", 10, false, End, 30, false},
      {"applied at its end", End, false, End, 0, false},
      {"given up before", 10, true, 500, 0, false},
  };
  const AccessPlan Plan = modelPlan({100, 100});
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Borrower(2, {});
    Borrower.start(false, at(0));
    Borrower.lease(report(1, 1000, 0, 1000), Plan, at(0));
    const auto Asked = Borrower.makeLoanRequest(Near, vm(0), at(0));
    REQUIRE(Asked.has_value());
    CHECK(Asked->Sequence == 1);
    CHECK(Asked->Wishes[0].Tokens > 30);
    CHECK_FALSE(Borrower.makeLoanRequest(Near, vm(0), at(0)).has_value());
    if (R.Abandoned)
      Borrower.abandonLoanRequest(Near);
    const std::vector<QuotaLoan> Loans{{W, 30, QuotaAllocator::LoanLength}};
    CHECK(tokensOf(Borrower.applyLoans(Near, Loans, at(0), at(R.AppliedMs))) ==
          Approx(R.Applied));
    CHECK(Borrower.applyLoans(Near, Loans, at(0), at(R.AppliedMs)).empty());
    // Two holders that both want to keep what they have.
    Borrower.lease(report(1, 1000, 40, 1000, 2), Plan, at(R.RenewedMs));
    const auto Leases =
        Borrower.lease(report(2, 1000, 25, 1000), Plan, at(R.RenewedMs));
    REQUIRE(Leases.size() == 1);
    const double Kept = Leases[0].Amount.Burst;
    if (R.Renewed)
      CHECK(Kept >= 25);
    else
      CHECK(Kept <= 10.0001);
  }
}

// Guards against messages of a deployment that needs no loans.
TEST_CASE("nothing is borrowed where nothing is lacking or known") {
  struct Row {
    const char *Name;
    std::size_t DataCentres;
    bool Follows;
    double Demand;
    bool Asks;
  };
  const Row Rows[] = {
      {"lacking", 2, false, 1000, true},
      {"enough", 2, false, 20, false},
      {"one data centre", 1, false, 1000, false},
      {"former leases may exist", 2, true, 1000, false},
  };
  const AccessPlan Plan = modelPlan({100, 100});
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaAllocator Allocator(R.DataCentres, {});
    Allocator.start(R.Follows, at(0));
    Allocator.lease(report(1, R.Demand), Plan, at(0));
    CHECK(Allocator.makeLoanRequest(Near, vm(0), at(0)).has_value() == R.Asks);
  }
}
