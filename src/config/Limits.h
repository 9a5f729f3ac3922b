// Limits on the operators' answers. They bound the memory and the time that an
// entry VM needs to process a configuration. They exceed the 4,800 backend
// servers that are expected within two years.
#ifndef AMARANTHSPUR_CONFIG_LIMITS_H
#define AMARANTHSPUR_CONFIG_LIMITS_H

#include <cstddef>
#include <cstdint>

namespace amaranthspur::config {

inline constexpr std::size_t MaxContentBytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t MaxNameLength = 63;
inline constexpr std::size_t MaxRegions = 16;
inline constexpr std::size_t MaxDataCentres = 64;
inline constexpr std::size_t MaxServices = 4000;
inline constexpr std::size_t MaxServersPerService = 9;
inline constexpr std::size_t MaxClassesPerService = 32;
inline constexpr std::size_t MaxCallersPerService = 1000;
inline constexpr std::size_t MaxDrainedEntryVms = 4000;
inline constexpr std::uint32_t MaxSlots = 1000;
inline constexpr std::uint32_t MaxConnectionLimit = 10'000;
inline constexpr std::uint32_t MaxWeight = 1000;
inline constexpr std::uint32_t MaxDeadlineMs = 600'000;
inline constexpr std::uint32_t MaxStalenessMs = 86'400'000;
inline constexpr double MaxLatencyMs = 10'000;
/// Maximum number of mistakes that a check collects.
inline constexpr std::size_t MaxMistakes = 200;

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_LIMITS_H
