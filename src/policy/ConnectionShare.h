// How many connections one entry VM may open to a server.
//
// A server limits the connections of all entry VMs together, and no entry VM
// knows the others. Each therefore raises its own share step by step while it
// needs more and the server has room, and lowers it when the server refuses or
// reports that it is crowded: additive increase, multiplicative decrease, which
// tends to equal shares of those who compete. Without the report those that
// came first would never be refused and keep all. A refusal is harmless, since
// nothing has run.
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
  /// Connections stay scarce for this time after a refusal. The time doubles
  /// with a refusal that comes soon after it has ended: at a server with fewer
  /// connections than entry VMs scarcity is the normal state.
  static constexpr Duration ScarceFor = std::chrono::seconds(1);
  static constexpr Duration LongestScarcity = std::chrono::seconds(16);
  /// The last idle connection is closed after this time. Servers close theirs
  /// after 60 s; a new one costs 12 ms of a slot.
  static constexpr Duration IdleLimit = std::chrono::seconds(20);
  /// The other idle ones are closed after this time, for other entry VMs.
  static constexpr Duration SurplusIdleLimit = std::chrono::seconds(1);
  /// All idle ones are closed after this time while connections are scarce:
  /// long enough for the next statement of a busy entry VM, so that it pays no
  /// new connection, and short for one that sends a statement a second.
  static constexpr Duration ScarceIdleLimit = milliseconds(100);
  /// Shortest time between two decreases for a crowded server; the count of a
  /// primary is seen about as often.
  static constexpr Duration YieldInterval = milliseconds(500);
  /// Part of the share that is kept at a decrease.
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

  /// Returns whether the server is to be asked for its count: this entry VM has
  /// more than the first share and may be keeping others out.
  bool wantsCount(std::size_t Open, TimePoint Now) const;

  /// Returns how long a connection may be idle before it is closed.
  /// \param Newest whether it is the one that was used last.
  Duration idleLimit(bool Newest, TimePoint Now) const;

  std::size_t limit() const { return this->Limit; }

private:
  /// Returns whether connections are so scarce that an idle one of this entry
  /// VM is likely to keep another entry VM out: after a refusal, and while more
  /// than three quarters of the server's connections are open.
  bool scarce(TimePoint Now) const;
  /// Returns whether more than three quarters of the connections are open.
  bool isCrowded() const;
  static std::size_t reduced(std::size_t Open);

  std::size_t Maximum = InitialShare;
  std::size_t Limit = InitialShare;
  std::optional<TimePoint> GrownAt;
  std::optional<TimePoint> RefusedAt;
  Duration Scarcity = ScarceFor; ///< After RefusedAt.
  std::size_t Count = 0;
  std::optional<TimePoint> CountedAt;
  std::optional<TimePoint> YieldedAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONNECTIONSHARE_H
