// Limits the number of connections that one entry VM opens to a server.
//
// A server limits the connections of all entry VMs together, and the entry VMs
// do not coordinate. Each entry VM therefore raises its own share by one while
// it needs more connections and the server has room, and lowers it by a factor
// when the server refuses a connection or reports that it is crowded. This
// additive increase and multiplicative decrease converges to equal shares of
// the competing entry VMs. Without the reported count, the entry VMs that
// connected first would never be refused and would keep all connections. A
// refused connection does no harm, because no statement was sent over it.
//
// In a deployment with workspaces the forwarders are the homes of connections
// (docs/design/homes.md). The homes divide most of a server's limit among
// themselves, and a home keeps its connections while they are idle. The
// number of open connections then says little about the load, so the other
// entry VMs, which share the rest, count as crowded later.
#ifndef AMARANTHSPUR_POLICY_CONNECTIONSHARE_H
#define AMARANTHSPUR_POLICY_CONNECTIONSHARE_H

#include "core/Clock.h"
#include "policy/GroupBeliefs.h"

#include <cstddef>
#include <optional>

namespace amaranthspur {

/// The homes of a deployment that divide the connections to a server.
struct HomeDivision {
  std::size_t Near = 0; ///< In the server's region, or all if that is unknown.
  std::size_t Far = 0;  ///< In other regions.
  bool IsNear = true;   ///< Whether this entry VM is among the former.

  std::size_t homes() const { return this->Near + this->Far; }
};

/// Returns how the \p Homes of a deployment, of which each data centre has
/// equally many, divide the connections to a server in \p Server.
/// \param Where of the home.
HomeDivision homeDivision(const Locality &Where, const DataCentre &Server,
                          std::size_t Homes);

/// The share of one server's connections that one entry VM may use.
class ConnectionShare {
public:
  /// Share at the start, before the server has refused or reported anything.
  static constexpr std::size_t InitialShare = 3;
  /// Shortest time between two increases. It covers several round trips between
  /// regions, so that a refusal arrives before the next increase.
  static constexpr Duration GrowthInterval = milliseconds(50);
  /// Shortest time between two increases while more than half of the server's
  /// connections are open. The server counts the connections of an entry VM
  /// that lost power for 3 s afterwards, and the restarted entry VM needs room
  /// for new connections during that time.
  static constexpr Duration SlowGrowthInterval = milliseconds(200);
  /// The share is not increased for this time after a refusal.
  static constexpr Duration RefusalPause = milliseconds(700);
  /// A reported count of the server's connections is used for this time.
  static constexpr Duration CountMaxAge = std::chrono::seconds(1);
  /// Connections that are left to other entry VMs when the server is nearly
  /// full. Each of the 6 to 7 entry VMs may open one connection before the
  /// count that it sees includes those of the others.
  static constexpr std::size_t Headroom = 6;
  /// Connections count as scarce for this time after a refusal. The time
  /// doubles if another refusal follows soon after it has ended: at a server
  /// with fewer connections than entry VMs, connections are always scarce.
  static constexpr Duration InitialScarcePeriod = std::chrono::seconds(1);
  static constexpr Duration MaxScarcePeriod = std::chrono::seconds(16);
  /// The most recently used connection is closed after it has been idle for
  /// this time. Servers close idle connections after 60 s, and opening a new
  /// one takes 12 ms of slot time.
  static constexpr Duration IdleTimeout = std::chrono::seconds(20);
  /// All other connections are closed after they have been idle for this time,
  /// so that other entry VMs can open theirs.
  static constexpr Duration SurplusIdleTimeout = std::chrono::seconds(1);
  /// All connections are closed after they have been idle for this time while
  /// connections are scarce. The time is long enough for a busy entry VM to
  /// reuse the connection for its next statement, and short compared with the
  /// pauses of an entry VM that sends one statement per second.
  static constexpr Duration ScarceIdleTimeout = milliseconds(100);
  /// Shortest time between two decreases because of a crowded server. The count
  /// of a primary is received about as often.
  static constexpr Duration DecreaseInterval = milliseconds(500);
  /// See keepIdle().
  static constexpr Duration KeepTime = std::chrono::seconds(2);
  /// Part of a server's limit that all homes may use together. The rest is for
  /// transactions, for status calls and for statements that are not forwarded.
  static constexpr double HomesPart = 0.8;
  /// Part of that which the homes of other regions than the server's may use,
  /// but at least one connection each. They run few statements there: reads of
  /// a region without a replica that can serve them, and statements for which
  /// the homes of the server's region are not known.
  static constexpr double FarHomesPart = 0.1;
  /// An entry VM counts as a home for this time after it has run a statement as
  /// one.
  static constexpr Duration HomeTime = std::chrono::seconds(60);
  /// A home keeps an idle connection for this time. Servers close idle
  /// connections after 60 s; a statement that is sent as the server closes its
  /// connection is lost.
  static constexpr Duration HomeIdleTimeout = std::chrono::seconds(50);
  /// In a deployment with homes, the most recently used connection without a
  /// workspace is kept for this time even if connections are scarce. It carries
  /// the status calls of a relay, which makes them every 550 ms; a new
  /// connection for each of them would take 12 ms of slot time.
  static constexpr Duration StatusIdleTimeout = std::chrono::seconds(2);
  /// A decrease multiplies the share by this factor.
  static constexpr double DecreaseFactor = 0.75;

  /// Sets the server's connection limit, which all entry VMs share.
  void setMaximum(std::size_t Count);

  /// Sets the number of entry VMs that share the limit; 0 if it is not known.
  void setSharers(std::size_t Count);

  /// Sets the homes of the deployment.
  void setHomes(const HomeDivision &Division);

  /// Records that this entry VM runs a statement of a workspace as its home.
  void observeHomeUse(TimePoint Now);

  /// Returns whether this entry VM is a home of some workspace.
  bool isHome(TimePoint Now) const;

  /// Records that this entry VM runs the statements of others, so that it keeps
  /// idle connections for KeepTime even if there are more entry VMs than
  /// connections.
  void keepIdle(TimePoint Now) { this->KeptAt = Now; }

  /// Returns whether another connection may be opened in addition to the
  /// \p Open existing ones. Raises the share if that is needed and allowed.
  bool mayOpen(std::size_t Open, TimePoint Now);

  /// Records that the server refused a connection while \p Open others were
  /// open.
  void observeRefusal(std::size_t Open, TimePoint Now);

  /// Records that the server reported \p Count connections of all entry VMs.
  void observeCount(std::size_t Count, TimePoint Now);

  /// Returns whether to ask the server for its number of connections. This is
  /// needed if no recent count is known and this entry VM has more connections
  /// than the initial share, so that it may prevent others from connecting.
  bool wantsCount(std::size_t Open, TimePoint Now) const;

  /// Returns how long a connection may be idle before it is closed.
  /// \param Newest whether it is the most recently used connection.
  /// \param ForWorkspace whether it is for a workspace.
  Duration idleTimeout(bool Newest, bool ForWorkspace, TimePoint Now) const;

  /// Returns how many connections may be open at once.
  std::size_t limit(TimePoint Now) const;

private:
  /// Returns whether connections are so scarce that an idle connection of this
  /// entry VM is likely to prevent another entry VM from connecting. This is
  /// the case after a refusal, while the server is crowded, and always if there
  /// are more entry VMs than connections.
  bool scarce(TimePoint Now) const;
  /// Returns whether more than three quarters of the server's connections are
  /// open; with homes, whether more than nine tenths are.
  bool isCrowded() const;
  /// Returns how many connections a home may have.
  std::size_t homeShare() const;
  /// mayOpen() of a home.
  bool mayOpenAtHome(std::size_t Open, TimePoint Now);
  /// Returns whether there are at least as many entry VMs as connections, so
  /// that not every entry VM can keep one.
  bool isOversubscribed(TimePoint Now) const;
  /// Lowers the share to an equal part of the limit, if it was not adapted yet
  /// and this entry VM has not been a home.
  void applyEqualPart();
  static std::size_t decreased(std::size_t Open);

  std::size_t Maximum = InitialShare;
  std::size_t Sharers = 0;
  std::size_t Limit = InitialShare;
  std::optional<TimePoint> IncreasedAt;
  std::optional<TimePoint> RefusedAt;
  Duration ScarcePeriod = InitialScarcePeriod; ///< Starts at RefusedAt.
  std::size_t Count = 0;
  std::optional<TimePoint> CountedAt;
  std::optional<TimePoint> DecreasedAt;
  std::optional<TimePoint> KeptAt;
  HomeDivision Division;
  std::optional<TimePoint> HomeUsedAt;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_CONNECTIONSHARE_H
