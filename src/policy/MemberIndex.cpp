#include "policy/MemberIndex.h"

#include <array>
#include <utility>

namespace amaranthspur {
namespace {

/// Which of two reports with the same incarnation counts; in the order of the
/// enumeration: live, suspect, dead, leaving.
constexpr std::array<unsigned, 4> Ranks = {0, 1, 3, 2};

unsigned rank(MemberState State) {
  return Ranks[static_cast<std::size_t>(State)];
}

} // namespace

bool overrides(const Member &New, const Member &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return rank(New.State) > rank(Old.State);
}

void MemberIndex::rebuild(const MemberRecords &Records, const DataCentre &Own) {
  this->OwnCentre.clear();
  this->OtherCentres.clear();
  this->DeadOnes.clear();
  std::map<DataCentre, std::vector<const MemberRecord *>> Others;
  for (const auto &[Id, R] : Records) {
    if (R.Gone)
      continue;
    const bool Dead = R.M.State == MemberState::Dead;
    if (R.M.Location == Own)
      (Dead ? this->DeadOnes : this->OwnCentre).push_back(&R);
    else if (!Dead)
      Others[R.M.Location].push_back(&R);
  }
  for (auto &[Centre, All] : Others)
    this->OtherCentres.push_back(std::move(All));
}

} // namespace amaranthspur
