#include "policy/quotas/QuotaLeaseHolder.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace amaranthspur;

namespace {

const WorkspaceName W("w");
const WorkspaceQuota Quota{100, 50};

TimePoint at(int Ms) { return TimePoint(milliseconds(10000 + Ms)); }

QuotaLeaseHolder makeHolder(QuotaTolerance Tolerance = {}) {
  return QuotaLeaseHolder({EntryVmId("vm-1"), 1}, Tolerance);
}

/// Gives \p Holder a lease with tokens, asked at \p SentMs.
void lease(QuotaLeaseHolder &Holder, QuotaAmount Amount, double Tokens,
           int SentMs, int AppliedMs) {
  Holder.makeRequest(at(SentMs));
  Holder.applyLeases({{W, Amount, Tokens, std::chrono::seconds(3)}}, at(SentMs),
                     at(AppliedMs));
}

unsigned admitAll(QuotaLeaseHolder &Holder, const WorkspaceQuota &Limit,
                  TimePoint Now) {
  unsigned Admitted = 0;
  while (Admitted < 10000 &&
         Holder.admit(W, Limit, true, Now).Verdict == QuotaVerdict::Admitted)
    ++Admitted;
  return Admitted;
}

} // namespace

// Guards against operations without a lease, from one that has ended, or from
// more than the limit in force on this entry VM.
TEST_CASE("operations run from an unexpired lease within the limit") {
  struct Row {
    const char *Name;
    std::function<void(QuotaLeaseHolder &)> Prepare;
    WorkspaceQuota Limit;
    int AtMs;
    unsigned Admitted;
  };
  using H = QuotaLeaseHolder;
  const Row Rows[] = {
      {"no lease", [](H &) {}, Quota, 1000, 0},
      {"a lease",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 5);
       },
       Quota, 5, 7},
      {"tokens above the burst",
       [](H &L) {
         lease(L, {0, 9}, 70, 0, 5);
       },
       Quota, 5, 9},
      {"just before its end",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 500);
       },
       Quota, 2999, 7},
      {"ends by the time of the request",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 500);
       },
       Quota, 3000, 0},
      {"a reply after the end",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 3100);
       },
       Quota, 3100, 0},
      {"a reply to a request that was given up",
       [](H &L) {
         L.makeRequest(at(0));
         L.abandonRequest(at(500));
         L.applyLeases({{W, {0, 9}, 7, std::chrono::seconds(3)}}, at(0),
                       at(600));
       },
       Quota, 700, 0},
      {"a limit lowered after the lease",
       [](H &L) {
         lease(L, {0, 40}, 40, 0, 5);
       },
       {1, 3},
       5,
       3},
      {"renewed with the tokens kept",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 5);
         lease(L, {0, 9}, 0, 400, 405);
       },
       Quota, 3100, 7},
      {"lowered at a renewal",
       [](H &L) {
         lease(L, {0, 9}, 7, 0, 5);
         lease(L, {0, 2}, 0, 400, 405);
       },
       Quota, 500, 2},
      {"no filling while a request is under way",
       [](H &L) {
         lease(L, {10, 9}, 1, 0, 0);
         L.makeRequest(at(0));
       },
       Quota, 900, 1},
      {"the time of a request counts afterwards",
       [](H &L) {
         lease(L, {10, 9}, 1, 0, 0);
         L.makeRequest(at(0));
         L.abandonRequest(at(500));
       },
       Quota, 500, 6},
      {"but not beyond the granted burst",
       [](H &L) {
         lease(L, {10, 9}, 5, 0, 0);
         lease(L, {10, 9}, 2, 0, 900);
       },
       Quota, 900, 9},
      {"nor beside tokens that were spent meanwhile",
       [](H &L) {
         lease(L, {10, 9}, 5, 0, 0);
         L.makeRequest(at(0));
         for (int I = 0; I < 5; ++I)
           L.admit(W, Quota, true, at(100));
         L.applyLeases({{W, {10, 9}, 2, std::chrono::seconds(3)}}, at(0),
                       at(900));
       },
       Quota, 900, 4},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaLeaseHolder Holder = makeHolder();
    Holder.addSession(W, at(0));
    R.Prepare(Holder);
    CHECK(admitAll(Holder, R.Limit, at(R.AtMs)) == R.Admitted);
  }
}

// Guards against a first operation that is refused although the relay has
// something to give, and against a request for each refused operation.
TEST_CASE("the relay is asked once before operations are refused") {
  QuotaLeaseHolder Holder = makeHolder();
  CHECK(Holder.admit(W, Quota, true, at(0)).Verdict ==
        QuotaVerdict::LeaseWanted);
  lease(Holder, {}, 0, 1, 3);
  const QuotaDecision After = Holder.admit(W, Quota, false, at(3));
  CHECK(After.Verdict == QuotaVerdict::Refused);
  CHECK(After.RetryAfter >= QuotaLeaseHolder::MinRetry);
  CHECK(Holder.admit(W, Quota, true, at(600)).Verdict ==
        QuotaVerdict::LeaseWanted);
}

// Guards against state for each workspace that ever had a session here.
TEST_CASE("workspaces without sessions and demand are forgotten") {
  struct Row {
    const char *Name;
    bool HasSession;
    bool HasDemand;
    int AtMs;
    std::size_t Reports;
  };
  const Row Rows[] = {
      {"a session", true, false, 60000, 1},
      {"recent demand", false, true, 9000, 1},
      {"former demand", false, true, 10001, 0},
      {"nothing", false, false, 0, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaLeaseHolder Holder = makeHolder();
    Holder.addSession(W, at(0));
    if (!R.HasSession)
      Holder.removeSession(W, at(0));
    if (R.HasDemand)
      Holder.admit(W, Quota, true, at(0));
    CHECK(Holder.makeRequest(at(R.AtMs)).Reports.size() == R.Reports);
    CHECK(Holder.uses(at(5000)).size() == R.Reports);
  }
}

// Guards against a reserve that grows when entry VMs are not seen for a while,
// and against a reserve without a tolerance.
TEST_CASE("an entry VM without a lease uses its part of the tolerance") {
  struct Row {
    const char *Name;
    QuotaTolerance Tolerance;
    std::vector<std::size_t> EntryVms;
    unsigned Admitted; ///< Within 5 s, all at the end.
  };
  const Duration Window = std::chrono::seconds(5);
  // The tolerated extra is 0.1 x 550 + 25 = 80, of which a quarter is reserved.
  const Row Rows[] = {
      {"no tolerance", {Window, 0, 0}, {2}, 0},
      {"one entry VM", {Window, 0.1, 25}, {1}, 10},
      {"two entry VMs", {Window, 0.1, 25}, {2}, 5},
      {"the largest number counts", {Window, 0.1, 25}, {5, 1}, 2},
      {"less than one operation", {Window, 0.1, 25}, {21}, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    QuotaLeaseHolder Holder = makeHolder(R.Tolerance);
    for (const std::size_t Count : R.EntryVms)
      Holder.setEntryVms(Count);
    CHECK(admitAll(Holder, Quota, at(0)) == 0);
    CHECK(admitAll(Holder, Quota, at(5000)) == R.Admitted);
  }
}

// Guards against workspaces without any capacity in deployments that use no
// relay, and against the whole quota on each entry VM there.
TEST_CASE("without a relay an entry VM has an equal part") {
  QuotaLeaseHolder Holder = makeHolder();
  Holder.useEqualParts();
  Holder.setEntryVms(5);
  CHECK(admitAll(Holder, Quota, at(0)) == 0);
  CHECK(admitAll(Holder, Quota, at(60000)) == 10);
  CHECK(Holder.admit(W, Quota, true, at(60000)).Verdict ==
        QuotaVerdict::Refused);
}
