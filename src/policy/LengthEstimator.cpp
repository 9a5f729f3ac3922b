#include "policy/LengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace amaranthspur {
namespace {

/// Weight of a new sample once MaxSampleCount samples have been recorded. The
/// first samples have a larger weight.
constexpr double MinGain = 1.0 / 8;
constexpr unsigned MaxSampleCount = 8;
/// A shape counts as long if at least this share of its statements is long. A
/// shape that is known to be short reaches the threshold after six overruns in
/// a row, so that one pause of the server does not turn all short work into
/// long work.
constexpr double LongShareThreshold = 0.5;
constexpr Duration TrialInterval = std::chrono::seconds(1);

std::uint64_t keyOf(const ClassName &Class, std::uint64_t Shape) {
  // A hash collision only makes two shapes share one estimate.
  return std::hash<ClassName>{}(Class)*0x9e3779b97f4a7c15ULL ^ Shape;
}

double sampleGain(unsigned Samples) {
  return std::max(MinGain, 1.0 / (Samples + 1));
}

} // namespace

LengthEstimator::LengthEstimator(const ServiceConfig &Service) {
  this->configure(Service);
}

void LengthEstimator::configure(const ServiceConfig &Service) {
  this->Priors.clear();
  for (const ClassConfig &Class : Service.Classes)
    this->Priors[Class.Name] = Class.ExpectedLength;
  this->DefaultPrior = Service.Classes.empty()
                           ? ClassConfig().ExpectedLength
                           : Service.Classes.front().ExpectedLength;
}

Duration LengthEstimator::prior(const ClassName &Class) const {
  const auto Found = this->Priors.find(Class);
  return Found == this->Priors.end() ? this->DefaultPrior : Found->second;
}

LengthEstimate LengthEstimator::estimate(const ClassName &Class,
                                         std::uint64_t ShapeHash) const {
  const Duration Prior = this->prior(Class);
  LengthEstimate Estimate;
  Estimate.Mean = Prior;
  Estimate.Length =
      Prior < LongWorkThreshold ? WorkLength::Short : WorkLength::Long;
  const auto Found = this->Shapes.find(keyOf(Class, ShapeHash));
  if (Found == this->Shapes.end())
    return Estimate;
  const Shape &Known = *Found->second;
  if (Known.LongSamples > 0)
    Estimate.Length = Known.LongShare < LongShareThreshold ? WorkLength::Short
                                                           : WorkLength::Long;
  if (Known.Samples > 0) {
    Estimate.Mean = Duration(std::llround(Known.Mean));
    Estimate.Spread = Duration(std::llround(Known.Spread));
  } else if (Known.LongSamples > 0) {
    Estimate.Mean = std::max(Prior, LongWorkThreshold);
  }
  return Estimate;
}

LengthEstimator::Shape &LengthEstimator::touch(const ClassName &Class,
                                               std::uint64_t ShapeHash) {
  const std::uint64_t Key = keyOf(Class, ShapeHash);
  const auto Found = this->Shapes.find(Key);
  if (Found != this->Shapes.end()) {
    this->Recent.splice(this->Recent.begin(), this->Recent, Found->second);
    return this->Recent.front();
  }
  if (this->Shapes.size() >= MaxShapes) {
    this->Shapes.erase(this->Recent.back().Key);
    this->Recent.pop_back();
  }
  this->Recent.emplace_front().Key = Key;
  this->Shapes[Key] = this->Recent.begin();
  return this->Recent.front();
}

void LengthEstimator::finished(const ClassName &Class, std::uint64_t ShapeHash,
                               Duration Length, bool Overran) {
  Shape &Known = this->touch(Class, ShapeHash);
  const auto Sample = static_cast<double>(Length.count());
  const double Gain = sampleGain(Known.Samples);
  const double Error = Sample - Known.Mean;
  if (Known.Samples > 0)
    Known.Spread += Gain * (std::abs(Error) - Known.Spread);
  Known.Mean += Gain * Error;
  Known.Samples = std::min(Known.Samples + 1, MaxSampleCount);
  if (Overran)
    return;
  const double IsLong = Length < LongWorkThreshold ? 0 : 1;
  Known.LongShare += sampleGain(Known.LongSamples) * (IsLong - Known.LongShare);
  Known.LongSamples = std::min(Known.LongSamples + 1, MaxSampleCount);
}

void LengthEstimator::overran(const ClassName &Class, std::uint64_t ShapeHash) {
  Shape &Known = this->touch(Class, ShapeHash);
  Known.LongShare += sampleGain(Known.LongSamples) * (1 - Known.LongShare);
  Known.LongSamples = std::min(Known.LongSamples + 1, MaxSampleCount);
}

bool LengthEstimator::grantTrial(const ClassName &Class,
                                 std::uint64_t ShapeHash, TimePoint Now) {
  Shape &Known = this->touch(Class, ShapeHash);
  if (Known.LastTrial != TimePoint{} && Now - Known.LastTrial < TrialInterval)
    return false;
  Known.LastTrial = Now;
  return true;
}

} // namespace amaranthspur
