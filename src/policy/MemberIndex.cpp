#include "policy/MemberIndex.h"

#include <array>
#include <utility>

namespace amaranthspur {
namespace {

/// Precedence of each state among reports with the same incarnation, in the
/// order of the enumeration: live, suspect, dead, leaving. The highest wins.
constexpr std::array<unsigned, 4> StatePrecedence = {0, 1, 3, 2};

unsigned precedence(MemberState State) {
  return StatePrecedence[static_cast<std::size_t>(State)];
}

} // namespace

bool overrides(const Member &New, const Member &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return precedence(New.State) > precedence(Old.State);
}

void MemberIndex::rebuild(const MemberRecords &Records, const DataCentre &Own) {
  this->OwnCentre.clear();
  this->OtherCentres.clear();
  this->DeadInOwnCentre.clear();
  std::map<DataCentre, std::vector<const MemberRecord *>> Others;
  for (const auto &[Id, R] : Records) {
    if (R.Removed)
      continue;
    const bool Dead = R.M.State == MemberState::Dead;
    if (R.M.Location == Own)
      (Dead ? this->DeadInOwnCentre : this->OwnCentre).push_back(&R);
    else if (!Dead)
      Others[R.M.Location].push_back(&R);
  }
  for (auto &[Centre, InCentre] : Others)
    this->OtherCentres.push_back(std::move(InCentre));
}

} // namespace amaranthspur
