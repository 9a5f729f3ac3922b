// How many connections one entry VM may open to a server.
//
// A server limits the connections of all entry VMs together, and no entry VM
// knows the others. Each therefore raises its own share step by step while it
// needs more and the server has room, and lowers it when the server refuses:
// additive increase, multiplicative decrease, which tends to equal shares of
// those who compete. A refusal is harmless, since nothing has run.
#ifndef AMARANTHSPUR_POLICY_CONNECTIONSHARE_H
#define AMARANTHSPUR_POLICY_CONNECTIONSHARE_H

#include "core/Clock.h"

#include <cstddef>
#include <optional>

namespace amaranthspur {

/// The share of one server's connections.
class ConnectionShare {
public:
  /// Share before anything is known.
  static constexpr std::size_t InitialShare = 3;
  /// Shortest time between two increases: some round trips between regions, in
  /// which a refusal would show.
  static constexpr Duration GrowthInterval = milliseconds(50);
  /// The same while more than half of the server's connections are open: it
  /// still counts those of an entry VM that lost its power for 3 s, and the
  /// restarted one needs room meanwhile.
  static constexpr Duration CrowdedGrowthInterval = milliseconds(200);
  /// No increase for this time after a refusal.
  static constexpr Duration RefusalPause = milliseconds(700);
  /// A count of the server's connections is trusted for this time.
  static constexpr Duration CountTrust = std::chrono::seconds(1);
  /// Connections left to others when the server is nearly full: each of the 6
  /// to 7 entry VMs may open one before it sees the others'.
  static constexpr std::size_t Headroom = 6;
  /// Connections stay scarce for this time after a refusal.
  static constexpr Duration ScarceFor = std::chrono::seconds(1);
  /// Part of the open connections that is kept as the share after a refusal.
  static constexpr double Decrease = 0.75;

  /// Sets the server's limit for all entry VMs together.
  void setMaximum(std::size_t Count) { this->Maximum = Count; }

  /// Returns whether another connection may be opened beside \p Open; raises
  /// the share if that is needed and possible.
  bool mayOpen(std::size_t Open, TimePoint Now);

  /// The server refused a connection while \p Open others were open.
  void refused(std::size_t Open, TimePoint Now);

  /// The server reported \p Count connections of all entry VMs.
  void observeCount(std::size_t Count, TimePoint Now);

  /// Returns whether connections are so scarce that none is to be kept idle:
  /// at a server whose limit is below the number of entry VMs, an idle
  /// connection of one keeps another out.
  bool scarce(TimePoint Now) const;

  std::size_t limit() const { return this->Limit; }

private:
  std::size_t Maximum = InitialShare;
  std::size_t Limit = InitialShare;
  std::optional<TimePoint> GrownAt;
  std::optional<TimePoint> RefusedAt;
  std::size_t Count = 0;
  std::optional<TimePoint> CountedAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONNECTIONSHARE_H
