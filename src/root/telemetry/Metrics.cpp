#include "root/telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace amaranthspur {
namespace {

constexpr std::string_view OtherLabelValue = "other";

/// Bucket bounds in seconds: from the overhead that is aimed at (0.5 ms) to the
/// longest deadlines of the questionnaires.
const prometheus::Histogram::BucketBoundaries Buckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1,    0.2,   0.5,   1.0,   2.0,  5.0,  10.0};

std::string_view helpOf(Timing Which) {
  switch (Which) {
  case Timing::StatementLatency:
    return "Time from a statement's arrival to the end of its answer.";
  case Timing::QueueWait:
    return "Time that a statement waited for a slot.";
  case Timing::ConfirmationWait:
    break;
  }
  return "Time that a write's answer waited for a majority.";
}

/// Cuts a label value; bytes outside ASCII and control characters, which could
/// break the text format's UTF-8, become '?'.
std::string cleanLabelValue(std::string_view Value) {
  std::string Clean(Value.substr(0, Metrics::MaxLabelBytes));
  for (char &C : Clean) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte < 0x20 || Byte >= 0x7f)
      C = '?';
  }
  return Clean;
}

class HistogramSeries final : public TimingSeries {
public:
  explicit HistogramSeries(prometheus::Histogram &Target) : Target(Target) {}
  void observe(Duration Time) override {
    this->Target.Observe(std::chrono::duration<double>(Time).count());
  }

private:
  prometheus::Histogram &Target;
};

/// The series of one metric with at most one label.
template <typename M> class LabelledMetric {
public:
  LabelledMetric(prometheus::Family<M> &Series, std::string_view Label)
      : Series(Series), Label(Label) {}

  M &find(std::string_view LabelValue) {
    if (this->Label.empty())
      return this->findExact({});
    const std::string Value = cleanLabelValue(LabelValue);
    if (this->ByValue.contains(Value) ||
        this->ByValue.size() < Metrics::MaxLabelValues)
      return this->findExact(Value);
    return this->findExact(std::string(OtherLabelValue));
  }

  void remove(std::string_view LabelValue) {
    const auto Found = this->ByValue.find(cleanLabelValue(LabelValue));
    if (Found == this->ByValue.end())
      return;
    this->Series.Remove(Found->second);
    this->ByValue.erase(Found);
  }

private:
  M &findExact(const std::string &Value) {
    M *&Entry = this->ByValue[Value];
    if (Entry == nullptr)
      Entry = &this->Series.Add(this->Label.empty()
                                    ? prometheus::Labels{}
                                    : prometheus::Labels{{Label, Value}});
    return *Entry;
  }

  prometheus::Family<M> &Series;
  std::string Label;
  std::map<std::string, M *> ByValue;
};

} // namespace

class Metrics::Registry {
public:
  Registry() {
    for (const CounterInfo &Info : detail::Counters)
      this->Counters.emplace(Info.Which, LabelledMetric<prometheus::Counter>(
                                             prometheus::BuildCounter()
                                                 .Name(std::string(Info.Name))
                                                 .Help(std::string(Info.Help))
                                                 .Register(this->Library),
                                             Info.Label));
    for (const GaugeInfo &Info : detail::Gauges)
      this->Gauges.emplace(Info.Which, LabelledMetric<prometheus::Gauge>(
                                           prometheus::BuildGauge()
                                               .Name(std::string(Info.Name))
                                               .Help(std::string(Info.Help))
                                               .Register(this->Library),
                                           Info.Label));
    for (const auto &[Which, Name] : EnumNames<Timing>::Entries)
      this->Timings.emplace(Which,
                            Histogram{prometheus::BuildHistogram()
                                          .Name(std::string(Name))
                                          .Help(std::string(helpOf(Which)))
                                          .Register(this->Library),
                                      {}});
  }

  TimingSeries &series(Timing Which, const TimingLabels &Labels) {
    Histogram &H = this->Timings.at(Which);
    if (const auto Found = H.Series.find(Labels); Found != H.Series.end())
      return *Found->second;
    if (H.Series.size() < MaxHistogramSeries)
      return this->makeSeries(H, Labels);
    // "other" replaces all three labels: any of them may be what a caller
    // chose.
    const std::string Other(OtherLabelValue);
    const TimingLabels Rest{ServiceName(Other), CallerName(Other),
                            ClassName(Other)};
    if (const auto Found = H.Series.find(Rest); Found != H.Series.end())
      return *Found->second;
    return this->makeSeries(H, Rest);
  }

  struct Histogram {
    prometheus::Family<prometheus::Histogram> &Library;
    std::map<TimingLabels, std::unique_ptr<TimingSeries>> Series;
  };

  prometheus::Registry Library;
  std::map<Counter, LabelledMetric<prometheus::Counter>> Counters;
  std::map<Gauge, LabelledMetric<prometheus::Gauge>> Gauges;
  std::map<Timing, Histogram> Timings;

private:
  TimingSeries &makeSeries(Histogram &H, const TimingLabels &Labels) {
    auto &Target =
        H.Library.Add({{"service", cleanLabelValue(Labels.Service.str())},
                       {"caller", cleanLabelValue(Labels.Caller.str())},
                       {"class", cleanLabelValue(Labels.WorkClass.str())}},
                      Buckets);
    auto &Entry = H.Series[Labels];
    Entry = std::make_unique<HistogramSeries>(Target);
    return *Entry;
  }
};

Metrics::Metrics() : Library(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

void Metrics::add(Counter Which, std::string_view LabelValue,
                  std::uint64_t By) {
  this->Library->Counters.at(Which)
      .find(LabelValue)
      .Increment(static_cast<double>(By));
}

void Metrics::set(Gauge Which, double Value, std::string_view LabelValue) {
  this->Library->Gauges.at(Which).find(LabelValue).Set(Value);
}

void Metrics::remove(Gauge Which, std::string_view LabelValue) {
  this->Library->Gauges.at(Which).remove(LabelValue);
}

TimingSeries &Metrics::series(Timing Which, const TimingLabels &Labels) {
  return this->Library->series(Which, Labels);
}

std::string Metrics::serialise() const {
  return prometheus::TextSerializer().Serialize(
      this->Library->Library.Collect());
}

} // namespace amaranthspur
