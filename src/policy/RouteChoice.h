// The choices that fix how a statement is routed before a server is chosen:
// where it is run, which servers may run it, and what it needs of the primary.
//
// Sessions use them for statements, and policy/RouteExplanation.h to explain to
// an operator what would be chosen.
#ifndef AMARANTHSPUR_POLICY_ROUTECHOICE_H
#define AMARANTHSPUR_POLICY_ROUTECHOICE_H

#include "policy/AccessPlan.h"
#include "policy/ForwarderChoice.h"
#include "policy/PrimaryWait.h"

#include <algorithm>

namespace amaranthspur {

/// Which servers may run a read or a transaction.
struct ReadConstraint {
  std::optional<LogPosition> Floor; ///< The server's log must reach it.
  bool AtPrimary = false; ///< Only the primary may run it, with a proof that it
                          ///< still led when the read arrived.
};

/// Returns which servers may run a read of \p Route.
/// \param Known the floor of the staleness bound; nothing if none is known.
/// \param SessionFloor of the session's last commit.
inline ReadConstraint
chooseConstraint(const DatabaseRoute &Route, std::optional<LogPosition> Known,
                 std::optional<LogPosition> SessionFloor) {
  if (Route.Consistency == ReadConsistency::Primary || !Known)
    return {std::nullopt, true};
  if (Route.Consistency == ReadConsistency::ReadYourWrites && SessionFloor)
    Known = std::max(*Known, *SessionFloor);
  return {Known, false};
}

/// Returns what a statement or a transaction needs of the primary.
/// \param AtPrimary as in its ReadConstraint; false for a write.
/// \param CommitsAreProofs whether a commit proves that the primary still leads
/// (Group::commitsAreProofs()).
constexpr PrimaryNeed needOf(Access Mode, bool AtPrimary,
                             bool CommitsAreProofs) {
  return {Mode, AtPrimary || !CommitsAreProofs};
}

/// Returns what decides on the home of a statement.
/// \param HasFloor whether it is a read that any server with the floor may run.
inline HomeQuery homeQuery(const GroupBeliefs &Beliefs, ServiceName Service,
                           WorkspaceName Of, bool HasFloor) {
  HomeQuery Query;
  Query.Service = std::move(Service);
  Query.Of = std::move(Of);
  Query.Role = HasFloor ? HomeRole::AnyServer : HomeRole::Primary;
  if (const std::optional<BelievedPrimary> Leader = Beliefs.primary())
    Query.Primary = Beliefs.find(Leader->Id)->Registration.Location;
  return Query;
}

/// Where a statement is run.
enum class StatementPlace {
  Here,
  OwnHome,   ///< Here, because this entry VM is the home of its workspace.
  OtherHome, ///< At the entry VM that is the home of its workspace.
  Forwarder, ///< At an entry VM that runs the reads of the data centre.
};

template <> struct EnumNames<StatementPlace> {
  static constexpr auto Entries =
      std::to_array<std::pair<StatementPlace, std::string_view>>(
          {{StatementPlace::Here, "here"},
           {StatementPlace::OwnHome, "here-as-home"},
           {StatementPlace::OtherHome, "home"},
           {StatementPlace::Forwarder, "forwarder"}});
};

/// Returns whether a statement at \p Place goes to another entry VM.
constexpr bool isElsewhere(StatementPlace Place) {
  return Place == StatementPlace::OtherHome ||
         Place == StatementPlace::Forwarder;
}

/// Where the home of a statement is.
enum class HomePlace {
  None, ///< No entry VM is usable as its home.
  ThisVm,
  OtherVm,
};

template <> struct EnumNames<HomePlace> {
  static constexpr auto Entries =
      std::to_array<std::pair<HomePlace, std::string_view>>(
          {{HomePlace::None, "none"},
           {HomePlace::ThisVm, "this-vm"},
           {HomePlace::OtherVm, "other-vm"}});
};

/// Knows which entry VMs run statements for others.
class ForwarderDirectory {
public:
  virtual ~ForwarderDirectory() = default;

  /// Returns where the home of \p Query is now. A link that is first needed is
  /// opened.
  virtual HomePlace homeOf(const HomeQuery &Query) = 0;
};

/// Returns where a statement is run that may be forwarded.
/// \param IsShared whether it is a read that any server with its floor may run,
/// of a group with less than one connection for each entry VM.
inline StatementPlace choosePlace(ForwarderDirectory &Forwarders,
                                  const HomeQuery &Query, bool IsShared) {
  // A workspace needs connections of its own, which no entry VM but its home
  // can keep.
  const bool HasWorkspace = !Query.Of.empty();
  if (!HasWorkspace && !IsShared)
    return StatementPlace::Here;
  switch (Forwarders.homeOf(Query)) {
  case HomePlace::None:
    break;
  case HomePlace::ThisVm:
    return HasWorkspace ? StatementPlace::OwnHome : StatementPlace::Here;
  case HomePlace::OtherVm:
    return HasWorkspace ? StatementPlace::OtherHome : StatementPlace::Forwarder;
  }
  return StatementPlace::Here;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_ROUTECHOICE_H
