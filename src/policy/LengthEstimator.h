// Estimates how long statements hold a slot, learned per statement shape.
#ifndef AMARANTHSPUR_POLICY_LENGTHESTIMATOR_H
#define AMARANTHSPUR_POLICY_LENGTHESTIMATOR_H

#include "core/Clock.h"
#include "core/Names.h"
#include "policy/Configuration.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

namespace amaranthspur {

/// Work that holds a slot for longer than this is long work.
inline constexpr Duration LongWorkThreshold = milliseconds(50);

/// Classifies work by the time for which it is expected to hold its slot.
enum class WorkLength { Short, Long };

template <> struct EnumNames<WorkLength> {
  static constexpr auto Entries =
      std::to_array<std::pair<WorkLength, std::string_view>>(
          {{WorkLength::Short, "short"}, {WorkLength::Long, "long"}});
};

/// The expected slot time of one statement.
struct LengthEstimate {
  Duration Mean{};
  Duration Spread{}; ///< Mean absolute deviation; zero until two samples
                     ///< have been recorded.
  WorkLength Length = WorkLength::Short;
};

/// Learns the slot times of statement shapes as exponentially weighted
/// averages. Holds at most MaxShapes shapes and evicts the least recently used
/// one. Every operation takes constant time, apart from the look-up of the
/// class, which is logarithmic in the number of classes.
class LengthEstimator {
public:
  explicit LengthEstimator(const ServiceConfig &Service);

  /// Replaces the expected lengths of the classes; learned lengths are kept.
  void configure(const ServiceConfig &Service);

  /// Returns the estimate for \p Shape, or the expected length of the class if
  /// nothing has been learned about the shape. Shape 0 stands for all
  /// statements of the class whose shape is unknown.
  LengthEstimate estimate(const ClassName &Class, std::uint64_t Shape) const;

  /// Records the time for which a statement held its slot.
  /// \param Overran whether overran() was called for the statement while it
  /// ran.
  void finished(const ClassName &Class, std::uint64_t Shape, Duration Length,
                bool Overran);

  /// Records that a running statement has exceeded LongWorkThreshold. Recording
  /// it before the statement ends prevents further statements of a new shape
  /// from occupying all slots.
  void overran(const ClassName &Class, std::uint64_t Shape);

  /// Returns whether a statement whose estimate alone exceeds its deadline is
  /// admitted as a trial. One trial per second is granted to each shape:
  /// without trials, a shape that was slow once would be refused for ever.
  bool grantTrial(const ClassName &Class, std::uint64_t Shape, TimePoint Now);

  static constexpr std::size_t MaxShapes = 4096;

private:
  struct Shape {
    std::uint64_t Key = 0;
    unsigned Samples = 0;     ///< Finished statements, at most MaxSampleCount.
    unsigned LongSamples = 0; ///< Statements classified as short or long,
                              ///< at most MaxSampleCount.
    double Mean = 0;          ///< Of the slot time, in microseconds.
    double Spread = 0;        ///< Mean absolute deviation, in microseconds.
    double LongShare = 0;     ///< Share of the statements that were long.
    TimePoint LastTrial{};
  };

  Duration prior(const ClassName &Class) const;
  Shape &touch(const ClassName &Class, std::uint64_t ShapeHash);

  std::map<ClassName, Duration> Priors;
  Duration DefaultPrior{};
  std::list<Shape> Recent; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Shape>::iterator> Shapes;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_LENGTHESTIMATOR_H
