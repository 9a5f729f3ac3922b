// The version of a row, or of the whole of the platform's store.
//
// Numbers increase with each change until the store comes back from an older
// copy of itself; it then gives numbers out again, in the next era. So numbers
// of different eras have no order, and a version is the pair. A platform that
// tells no era has era 0 throughout.
#ifndef AMARANTHSPUR_CORE_STOREVERSION_H
#define AMARANTHSPUR_CORE_STOREVERSION_H

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthspur {

/// A version, ordered by era and then by number.
class StoreVersion {
public:
  /// The version of a row that does not exist.
  constexpr StoreVersion() = default;
  /// \param Number within its era.
  /// \param Era number of times that the store has come back, as it tells it.
  constexpr explicit StoreVersion(std::uint64_t Number, std::uint64_t Era = 0)
      : Era(Era), Number(Number) {}

  constexpr std::uint64_t era() const { return this->Era; }
  constexpr std::uint64_t number() const { return this->Number; }
  /// Returns whether this is the version of a row that exists.
  constexpr bool exists() const { return this->Number != 0; }

  /// Returns the version as text: `era.number`, or the number without an era.
  std::string str() const {
    const std::string Digits = std::to_string(this->Number);
    return this->Era == 0 ? Digits : std::to_string(this->Era) + "." + Digits;
  }

  auto operator<=>(const StoreVersion &) const = default;

private:
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_STOREVERSION_H
