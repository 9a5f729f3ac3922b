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

/// Bucket bounds in seconds. They range from the target overhead of the proxy,
/// 0.5 ms, to the longest statement deadlines that operators have asked for.
const prometheus::Histogram::BucketBoundaries BucketBounds = {
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

/// Truncates a label value and replaces control characters and bytes outside
/// ASCII with '?', since they could make the text format invalid UTF-8.
std::string sanitiseLabelValue(std::string_view Value) {
  std::string Sanitised(Value.substr(0, Metrics::MaxLabelBytes));
  for (char &C : Sanitised) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte < 0x20 || Byte >= 0x7f)
      C = '?';
  }
  return Sanitised;
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

/// A counter or gauge with at most one label, and its series by label value.
template <typename M> class LabelledMetric {
public:
  LabelledMetric(prometheus::Family<M> &Series, std::string_view Label)
      : Series(Series), Label(Label) {}

  M &find(std::string_view LabelValue) {
    if (this->Label.empty())
      return this->findExact({});
    const std::string Value = sanitiseLabelValue(LabelValue);
    if (this->ByValue.contains(Value) ||
        this->ByValue.size() < Metrics::MaxLabelValues)
      return this->findExact(Value);
    return this->findExact(std::string(OtherLabelValue));
  }

  void remove(std::string_view LabelValue) {
    const auto Found = this->ByValue.find(sanitiseLabelValue(LabelValue));
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
                                                 .Register(this->Collectables),
                                             Info.Label));
    for (const GaugeInfo &Info : detail::Gauges)
      this->Gauges.emplace(Info.Which, LabelledMetric<prometheus::Gauge>(
                                           prometheus::BuildGauge()
                                               .Name(std::string(Info.Name))
                                               .Help(std::string(Info.Help))
                                               .Register(this->Collectables),
                                           Info.Label));
    for (const auto &[Which, Name] : EnumNames<Timing>::Entries)
      this->Timings.emplace(Which,
                            Histogram{prometheus::BuildHistogram()
                                          .Name(std::string(Name))
                                          .Help(std::string(helpOf(Which)))
                                          .Register(this->Collectables),
                                      {}});
  }

  TimingSeries &series(Timing Which, const TimingLabels &Labels) {
    Histogram &H = this->Timings.at(Which);
    if (const auto Found = H.Series.find(Labels); Found != H.Series.end())
      return *Found->second;
    if (H.Series.size() < MaxHistogramSeries)
      return this->makeSeries(H, Labels);
    // All three labels become "other", since the values of any of them may have
    // been chosen by a caller.
    const std::string Other(OtherLabelValue);
    const TimingLabels OtherLabels{ServiceName(Other), CallerName(Other),
                                   ClassName(Other)};
    if (const auto Found = H.Series.find(OtherLabels); Found != H.Series.end())
      return *Found->second;
    return this->makeSeries(H, OtherLabels);
  }

  struct Histogram {
    prometheus::Family<prometheus::Histogram> &HistogramFamily;
    std::map<TimingLabels, std::unique_ptr<TimingSeries>> Series;
  };

  prometheus::Registry Collectables;
  std::map<Counter, LabelledMetric<prometheus::Counter>> Counters;
  std::map<Gauge, LabelledMetric<prometheus::Gauge>> Gauges;
  std::map<Timing, Histogram> Timings;

private:
  TimingSeries &makeSeries(Histogram &H, const TimingLabels &Labels) {
    auto &Target = H.HistogramFamily.Add(
        {{"service", sanitiseLabelValue(Labels.Service.str())},
         {"caller", sanitiseLabelValue(Labels.Caller.str())},
         {"class", sanitiseLabelValue(Labels.WorkClass.str())}},
        BucketBounds);
    auto &Entry = H.Series[Labels];
    Entry = std::make_unique<HistogramSeries>(Target);
    return *Entry;
  }
};

Metrics::Metrics() : Impl(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

void Metrics::add(Counter Which, std::string_view LabelValue,
                  std::uint64_t Amount) {
  this->Impl->Counters.at(Which)
      .find(LabelValue)
      .Increment(static_cast<double>(Amount));
}

void Metrics::set(Gauge Which, double Value, std::string_view LabelValue) {
  this->Impl->Gauges.at(Which).find(LabelValue).Set(Value);
}

void Metrics::remove(Gauge Which, std::string_view LabelValue) {
  this->Impl->Gauges.at(Which).remove(LabelValue);
}

TimingSeries &Metrics::series(Timing Which, const TimingLabels &Labels) {
  return this->Impl->series(Which, Labels);
}

std::string Metrics::serialise() const {
  return prometheus::TextSerializer().Serialize(
      this->Impl->Collectables.Collect());
}

} // namespace amaranthspur
