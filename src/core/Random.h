// Pseudo-random numbers. Code that makes decisions gets a Random as an
// argument, so that a test can choose the seed.
#ifndef AMARANTHSPUR_CORE_RANDOM_H
#define AMARANTHSPUR_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace amaranthspur {

/// A pseudo-random number generator with a seed. The same seed gives the same
/// sequence on every platform, because only mt19937_64 and operations with
/// exact results are used, instead of the distributions of the standard
/// library.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns an integer in [0, Bound). \pre Bound > 0.
  std::uint64_t below(std::uint64_t Bound) { return this->Engine() % Bound; }

  /// Returns a number in [0, 1).
  double unit() {
    return static_cast<double>(this->Engine() >> 11) * 0x1.0p-53;
  }

private:
  std::mt19937_64 Engine;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_RANDOM_H
