#include "root/telemetry/Metrics.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::size_t countLines(const std::string &Text, const std::string &Start) {
  std::size_t Count = 0;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text.compare(At, Start.size(), Start) == 0)
      ++Count;
    At = std::min(Text.find('\n', At), Text.size());
  }
  return Count;
}

} // namespace

// Guards against a counter that is missing from the table or is counted under
// another counter's name.
TEST_CASE("every counter is serialised under its name") {
  for (const CounterInfo &Info : detail::Counters) {
    CAPTURE(Info.Name);
    Metrics M;
    M.add(Info.Which, "x", 3);
    const std::string Name(Info.Name);
    const std::string Line =
        Info.Label.empty()
            ? Name + " 3\n"
            : Name + "{" + std::string(Info.Label) + "=\"x\"} 3\n";
    CHECK(contains(M.serialise(), Line));
    CHECK(parseName<Counter>(Info.Name) == Info.Which);
  }
}

// Guards against a gauge that is missing from the table, and against the series
// of a server that remains although the server is no longer owned.
TEST_CASE("every gauge is serialised and its series can be removed") {
  for (const GaugeInfo &Info : detail::Gauges) {
    CAPTURE(Info.Name);
    Metrics M;
    M.set(Info.Which, 2.5, "x");
    const std::string Name(Info.Name);
    const std::string Line =
        Info.Label.empty()
            ? Name + " 2.5\n"
            : Name + "{" + std::string(Info.Label) + "=\"x\"} 2.5\n";
    CHECK(contains(M.serialise(), Line));
    M.remove(Info.Which, Info.Label.empty() ? "" : "x");
    CHECK_FALSE(contains(M.serialise(), Line));
  }
}

// Guards against observations that are added to another caller's series.
TEST_CASE("timings are kept per service, caller and class") {
  for (const auto &[Which, Name] : EnumNames<Timing>::Entries) {
    CAPTURE(Name);
    Metrics M;
    const TimingLabels A{ServiceName("proofs"), CallerName("bench-1"),
                         ClassName("short")};
    TimingLabels B = A;
    B.Caller = CallerName("bench-2");
    M.observe(Which, A, milliseconds(3));
    M.observe(Which, A, milliseconds(30));
    M.observe(Which, B, milliseconds(3));
    const std::string Text = M.serialise();
    const std::string Count = std::string(Name) + "_count";
    CHECK(countLines(Text, Count) == 2);
    CHECK(contains(Text, Count + "{caller=\"bench-1\",class=\"short\","
                                 "service=\"proofs\"} 2\n"));
    CHECK(contains(Text, std::string(Name) +
                             "_bucket{caller=\"bench-1\",class=\"short\","
                             "service=\"proofs\",le=\"0.005\"} 1\n"));
  }
}

// Guards against names from untrusted clients that exhaust the memory of an
// entry VM.
TEST_CASE("the number of series is bounded") {
  Metrics M;
  constexpr std::size_t ClientNames = 2 * Metrics::MaxHistogramSeries;
  for (std::size_t I = 0; I < ClientNames; ++I) {
    const std::string Name = "stranger-" + std::to_string(I);
    M.add(Counter::CallersRejected, Name);
    M.observe(Timing::StatementLatency,
              {ServiceName("proofs"), CallerName(Name), ClassName("short")},
              milliseconds(1));
  }
  const std::string Text = M.serialise();
  CHECK(countLines(Text, "amaranthspur_callers_rejected_total{") ==
        Metrics::MaxLabelValues + 1);
  CHECK(countLines(Text, "amaranthspur_statement_seconds_count{") ==
        Metrics::MaxHistogramSeries + 1);
  CHECK(contains(
      Text, "amaranthspur_callers_rejected_total{reason=\"other\"} " +
                std::to_string(ClientNames - Metrics::MaxLabelValues) + "\n"));
}

// Guards against a label value that is too long or that makes the text format
// invalid.
TEST_CASE("label values are truncated and sanitised") {
  Metrics M;
  M.add(Counter::Refusals, std::string(1000, 'x'));
  M.add(Counter::Refusals, "a\nb\xff");
  const std::string Text = M.serialise();
  CHECK(contains(Text, "{reason=\"" + std::string(Metrics::MaxLabelBytes, 'x') +
                           "\"} 1\n"));
  CHECK(contains(Text, "{reason=\"a?b?\"} 1\n"));
}
