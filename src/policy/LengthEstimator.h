// How long statements hold a slot, learned per statement shape.
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

/// Work that holds a slot longer than this is long.
inline constexpr Duration ShortBound = milliseconds(50);

/// Whether work is expected to hold its slot briefly.
enum class WorkLength { Short, Long };

template <> struct EnumNames<WorkLength> {
  static constexpr auto Entries =
      std::to_array<std::pair<WorkLength, std::string_view>>(
          {{WorkLength::Short, "short"}, {WorkLength::Long, "long"}});
};

/// What is expected of one statement.
struct LengthEstimate {
  Duration Mean{};
  Duration Spread{}; ///< Mean absolute deviation; zero until learned.
  WorkLength Length = WorkLength::Short;
};

/// Learns slot times. Holds at most MaxShapes shapes and forgets the one that
/// was used longest ago. Every operation takes constant time but for the
/// logarithm of the number of classes.
class LengthEstimator {
public:
  explicit LengthEstimator(const ServiceConfig &Service);

  /// Takes in new priors; what was learned stays.
  void configure(const ServiceConfig &Service);

  /// Returns the estimate for \p Shape; the class's expected length if nothing
  /// has been learned. Shape 0 stands for all unknown shapes of the class.
  LengthEstimate estimate(const ClassName &Class, std::uint64_t Shape) const;

  /// Takes in the time that a statement held its slot.
  /// \param Overran whether overran() was called for it before.
  void finished(const ClassName &Class, std::uint64_t Shape, Duration Length,
                bool Overran);

  /// Takes in that a running statement passed ShortBound. Learning this before
  /// the statement ends keeps further ones of a new shape from taking all
  /// slots.
  void overran(const ClassName &Class, std::uint64_t Shape);

  /// Returns whether a statement whose estimate alone exceeds its deadline is
  /// to be tried all the same. Granted once per second and shape: without it a
  /// shape that was slow once would be refused for ever.
  bool grantTrial(const ClassName &Class, std::uint64_t Shape, TimePoint Now);

  static constexpr std::size_t MaxShapes = 4096;

private:
  struct Shape {
    std::uint64_t Key = 0;
    unsigned Samples = 0;     ///< Finished statements, counted to 1/MinGain.
    unsigned LongSamples = 0; ///< Judged short or long, counted likewise.
    double Mean = 0;          ///< Microseconds.
    double Spread = 0;        ///< Microseconds.
    double LongShare = 0;     ///< Share of statements that overran.
    TimePoint LastTrial{};
  };

  Duration prior(const ClassName &Class) const;
  Shape &touch(const ClassName &Class, std::uint64_t ShapeHash);

  std::map<ClassName, Duration> Priors;
  Duration DefaultPrior{};
  std::list<Shape> Recent; ///< Last used first.
  std::unordered_map<std::uint64_t, std::list<Shape>::iterator> Shapes;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_LENGTHESTIMATOR_H
