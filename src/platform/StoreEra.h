// Reads the era of the store from the header of its answers.
//
// The header `Store-Era` is a decimal number that rises by one each time the
// store comes back from an older copy of itself. Not every platform sends it.
// An answer whose header is missing or cannot be read counts as one of the last
// known era: taking it for another era would make known rows look lost.
#ifndef AMARANTHSPUR_PLATFORM_STOREERA_H
#define AMARANTHSPUR_PLATFORM_STOREERA_H

#include "core/Names.h"
#include "core/StoreVersion.h"
#include "platform/HttpClient.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthspur {

/// What is wrong with the era of an answer.
enum class EraFault {
  Missing,   ///< The answer has none, although others had one.
  Malformed, ///< It is not a decimal number.
  TooLarge,  ///< It is above MaxEra.
  Lower,     ///< It is lower than in an earlier answer.
};

template <> struct EnumNames<EraFault> {
  static constexpr auto Entries =
      std::to_array<std::pair<EraFault, std::string_view>>(
          {{EraFault::Missing, "missing"},
           {EraFault::Malformed, "malformed"},
           {EraFault::TooLarge, "too-large"},
           {EraFault::Lower, "lower"}});
};

/// Largest era that is accepted. A fencing token of 64 bits holds it together
/// with a version number (fencingToken() in policy/ClaimRow.h).
inline constexpr std::uint64_t MaxEra = 9'000'000;

/// Learns what the store's answers tell about its era.
class StoreEraObserver {
public:
  virtual ~StoreEraObserver() = default;

  /// Called for each answer whose era is known.
  /// \param Newest the version of the store when it gave the answer; without a
  /// number if the answer does not tell it.
  virtual void observeVersion(StoreVersion Newest) = 0;

  /// Called for each answer whose era has a fault.
  /// \param Header the value of the header; empty if it is missing.
  virtual void observeFault(EraFault Fault, std::string_view Header) = 0;
};

/// The era of a store, as its answers tell it.
class StoreEraReader {
public:
  /// \param Observer may be null; otherwise it must outlive this object.
  explicit StoreEraReader(StoreEraObserver *Observer) : Observer(Observer) {}

  /// Returns the era of \p Answer.
  std::uint64_t read(const HttpResponse &Answer);

  /// Reports to the observer that an answer told \p Newest.
  void report(StoreVersion Newest) const;

  /// Returns the highest era that an answer has told; 0 before the first one.
  std::uint64_t latest() const { return this->Latest.value_or(0); }

private:
  void reportFault(EraFault Fault, const QByteArray &Header) const;

  StoreEraObserver *Observer;
  std::optional<std::uint64_t> Latest;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_STOREERA_H
