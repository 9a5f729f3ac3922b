// The kinds of phases of which a soak consists.
#ifndef AMARANTHSPUR_BENCH_SOAK_PHASES_H
#define AMARANTHSPUR_BENCH_SOAK_PHASES_H

#include "core/Names.h"

#include <array>

namespace amaranthspur::bench::soak {

/// What a phase of a run consists of. Rules that hold only for processes
/// without disruption need phases of planned work alone.
enum class FaultProfile {
  Planned,   ///< Stops, reloads, configurations and releases.
  Takeovers, ///< Faults that begin at the calls of a takeover.
  All,       ///< All faults but those of the next two.
  /// Primaries crash and return or are cut off while servers join, and writes
  /// to the store are late.
  LateWrites,
  LateOrders, ///< The same with late orders instead of late writes.
  /// Keys are withdrawn and added while entry VMs are cut off from the store or
  /// restarted.
  Keys,
  /// Quotas change, and workspaces send seven times their usual rate.
  Quotas,
  /// The store comes back from older copies of itself, around takeovers and
  /// changes of the configuration.
  StoreReturns,
};

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::FaultProfile> {
  using Kind = bench::soak::FaultProfile;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Planned, "planned"},
           {Kind::Takeovers, "takeovers"},
           {Kind::All, "all"},
           {Kind::LateWrites, "late-writes"},
           {Kind::LateOrders, "late-orders"},
           {Kind::Keys, "keys"},
           {Kind::Quotas, "quotas"},
           {Kind::StoreReturns, "store-returns"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SOAK_PHASES_H
