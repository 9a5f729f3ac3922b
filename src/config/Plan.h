// Compares two questionnaires: lists the differences and warns about the risks.
#ifndef AMARANTHSPUR_CONFIG_PLAN_H
#define AMARANTHSPUR_CONFIG_PLAN_H

#include "core/Names.h"
#include "questionnaire.pb.h"

#include <array>
#include <string>
#include <vector>

namespace amaranthspur::config {

/// How an entry or a field differs between two questionnaires.
enum class ChangeKind { Added, Removed, Changed };

/// One difference between two questionnaires.
struct PlannedChange {
  ChangeKind Kind = ChangeKind::Changed;
  /// What changes, for example
  /// `service orders-1: backend server orders-1-a: slots`.
  std::string Subject;
  std::string From; ///< The old value; empty if Kind is Added.
  std::string To;   ///< The new value; empty if Kind is Removed.

  bool operator==(const PlannedChange &) const = default;
};

/// The kinds of risk that a change can have.
enum class Risk {
  ServiceRemoved,
  ServerRemoved,
  ServerMoved,
  MajorityLeaving,
  EvenGroup,
  CapacityReduced,
  DeadlineShortened,
  StalenessRaised,
  StalenessUnreachable,
  WritesBecomeRepeatable,
  CallerRemoved,
};

/// One risk of a change and the entry that it concerns.
struct Warning {
  Risk Kind = Risk::ServiceRemoved;
  std::string Subject;

  bool operator==(const Warning &) const = default;
};

/// All differences between two questionnaires, with warnings.
struct Plan {
  std::vector<PlannedChange> Changes;
  std::vector<Warning> Warnings;
};

/// Compares the answers in force, \p From, with new answers, \p To. An empty
/// \p From stands for the state before the first revision. The order of the
/// entries has no effect.
Plan planChange(const Questionnaire &From, const Questionnaire &To);

/// Returns a one-line description of \p Change.
std::string text(const PlannedChange &Change);

/// Returns a one-line description of \p W.
std::string text(const Warning &W);

} // namespace amaranthspur::config

namespace amaranthspur {

template <> struct EnumNames<config::ChangeKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<config::ChangeKind, std::string_view>>(
          {{config::ChangeKind::Added, "added"},
           {config::ChangeKind::Removed, "removed"},
           {config::ChangeKind::Changed, "changed"}});
};

template <> struct EnumNames<config::Risk> {
  static constexpr auto Entries =
      std::to_array<std::pair<config::Risk, std::string_view>>(
          {{config::Risk::ServiceRemoved, "service-removed"},
           {config::Risk::ServerRemoved, "server-removed"},
           {config::Risk::ServerMoved, "server-moved"},
           {config::Risk::MajorityLeaving, "majority-leaving"},
           {config::Risk::EvenGroup, "even-group"},
           {config::Risk::CapacityReduced, "capacity-reduced"},
           {config::Risk::DeadlineShortened, "deadline-shortened"},
           {config::Risk::StalenessRaised, "staleness-raised"},
           {config::Risk::StalenessUnreachable, "staleness-unreachable"},
           {config::Risk::WritesBecomeRepeatable, "writes-become-repeatable"},
           {config::Risk::CallerRemoved, "caller-removed"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CONFIG_PLAN_H
