// What a change of the answers does, in words, with warnings of its risks.
#ifndef AMARANTHSPUR_CONFIG_PLAN_H
#define AMARANTHSPUR_CONFIG_PLAN_H

#include "core/Names.h"
#include "questionnaire.pb.h"

#include <array>
#include <string>
#include <vector>

namespace amaranthspur::config {

/// Kind of one change.
enum class ChangeKind { Added, Removed, Changed };

/// One difference between two questionnaires.
struct PlannedChange {
  ChangeKind Kind = ChangeKind::Changed;
  std::string Subject; ///< `service orders-1: backend server orders-1-a: slots`
  std::string From;    ///< Empty if added.
  std::string To;      ///< Empty if removed.

  bool operator==(const PlannedChange &) const = default;
};

/// Why a change is risky.
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

/// One risk of a change.
struct Warning {
  Risk Kind = Risk::ServiceRemoved;
  std::string Subject;

  bool operator==(const Warning &) const = default;
};

/// A change with its warnings.
struct Plan {
  std::vector<PlannedChange> Changes;
  std::vector<Warning> Warnings;
};

/// Compares the answers in force with new ones; an empty \p From is the state
/// before the first revision. Independent of the order of the entries.
Plan planChange(const Questionnaire &From, const Questionnaire &To);

/// Returns one line in words.
std::string text(const PlannedChange &Change);
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
