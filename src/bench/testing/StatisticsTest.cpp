#include "bench/Statistics.h"
#include "bench/Links.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::bench;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(Ms)); }

std::vector<TimePoint> timesOf(const std::vector<int> &Ms) {
  std::vector<TimePoint> Times;
  Times.reserve(Ms.size());
  for (const int Each : Ms)
    Times.push_back(at(Each));
  return Times;
}

} // namespace

// Guards against percentiles that are off by one rank.
TEST_CASE("quantiles use the nearest rank") {
  struct Row {
    std::vector<double> Values;
    double Share;
    double Expected;
  };
  const Row Rows[] = {
      {{}, 0.5, 0},           {{7}, 0.99, 7},          {{3, 1, 2}, 0.5, 2},
      {{4, 1, 3, 2}, 0.5, 2}, {{4, 1, 3, 2}, 0.99, 4}, {{4, 1, 3, 2}, 0, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Share, R.Values.size());
    CHECK(quantile(R.Values, R.Share) == R.Expected);
  }
}

// Guards against a gap that is truncated at an edge of the window, and against
// reporting no gap when no write succeeds after the fault.
TEST_CASE("the longest gap overlaps the window") {
  struct Row {
    const char *Name;
    std::vector<int> Times;
    int From;
    int Until;
    int Usual;
    int Expected;
  };
  const Row Rows[] = {
      {"steady writes", {0, 10, 20, 30, 40}, 15, 35, 10, 0},
      {"a gap inside", {0, 10, 500, 510}, 15, 520, 10, 480},
      {"a gap that begins before the fault", {0, 10, 500}, 200, 500, 10, 480},
      {"a gap that ends after the window", {0, 10, 900}, 15, 100, 10, 880},
      {"no write after the fault", {0, 10}, 15, 1010, 10, 990},
      {"no write at all", {}, 15, 1015, 10, 990},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(longestGap(timesOf(R.Times), at(R.From), at(R.Until),
                     milliseconds(R.Usual)) == milliseconds(R.Expected));
  }
}

// Guards against a median interval that includes intervals from the time of the
// fault, which would make the gap look shorter.
TEST_CASE("the usual interval is the median within the window") {
  CHECK(medianInterval(timesOf({0, 10, 20, 30, 900}), at(0), at(40)) ==
        milliseconds(10));
  CHECK(medianInterval(timesOf({0, 900}), at(0), at(40)) == Duration::zero());
}

// Guards against a fairness ratio that ignores a caller without any operations.
TEST_CASE("fairness counts every caller") {
  History Run;
  const auto Add = [&Run](const char *Caller, int Count) {
    for (int I = 0; I < Count; ++I) {
      Operation Op;
      Op.Caller = CallerName(Caller);
      Run.Operations.push_back(Op);
    }
  };
  Add("a", 30);
  Add("b", 20);
  const auto Any = [](const Operation &) { return true; };
  const std::vector<CallerName> Two{CallerName("a"), CallerName("b")};
  CHECK(fairnessRatio(Run, Two, Any) == 1.5);
  const std::vector<CallerName> Three{CallerName("a"), CallerName("b"),
                                      CallerName("c")};
  CHECK(fairnessRatio(Run, Three, Any) == 0);
}

// Guards against a fault that cuts the wrong links and against a missing
// latency. All measurements over links with latencies depend on these rules.
TEST_CASE("link rules follow the deployment") {
  const DeploymentSpec Spec = makeDeployment(DeploymentKind::Engravers);
  auto Healthy = latencyRules(Spec);
  auto Isolated = Healthy;
  for (const auto &Rule : isolationRules(Spec, 0))
    Isolated.push_back(Rule);
  struct Row {
    const char *Name;
    const char *Client;
    const char *Link;
    int DelayUs;
    unsigned Kbit;
    bool CutIfIsolated;
  };
  const Row Rows[] = {
      {"within a data centre", "127.0.1.101", "joburg-a.orders-1", 0, 0, false},
      {"within a region", "127.0.2.101", "joburg-a.orders-1", 1000, 0, true},
      {"between regions", "127.0.3.101", "joburg-a.orders-1", 8000, 30000,
       true},
      {"out of the isolated data centre", "127.0.1.101", "paarl-a.peers.x",
       8000, 30000, true},
      {"between the other data centres", "127.0.2.101", "paarl-a.peers.x", 8000,
       30000, false},
      {"a caller inside", "127.0.1.201", "joburg-a.callers.x", 1000, 0, false},
      {"a caller from outside", "127.0.2.201", "joburg-a.callers.x", 1000, 0,
       true},
      {"the bench itself", "127.0.0.1", "joburg-a.orders-1", 0, 0, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const LinkRule Before = effectiveRule(Healthy, R.Client, R.Link);
    CHECK(Before.Delay == Duration(R.DelayUs));
    CHECK(Before.BandwidthKbit == R.Kbit);
    CHECK_FALSE(Before.Cut);
    CHECK(effectiveRule(Isolated, R.Client, R.Link).Cut == R.CutIfIsolated);
  }
}
