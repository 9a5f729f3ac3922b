#include "policy/MemberIndex.h"

#include <utility>

namespace amaranthspur {

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
