#include "policy/LeadershipProof.h"

#include <algorithm>

namespace amaranthspur {

void LeadershipProof::recordReport(const ServerId &Id,
                                   const ServerReport &Report) {
  this->LaterTerm = this->LaterTerm || Report.TermNumber > this->TermNumber;
  if (Report.Role == ServerRole::Replica &&
      std::max(Report.TermNumber, Report.AdoptedTerm) <= this->TermNumber)
    this->Following.insert(Id);
  else
    this->Unhelpful.insert(Id);
}

void LeadershipProof::recordSilence(const ServerId &Id) {
  this->Unhelpful.insert(Id);
}

void LeadershipProof::recordClaim(const ClaimRow &Row) {
  switch (Row.State) {
  case ClaimState::Missing:
    this->ClaimProves = this->TermNumber == FirstTerm;
    break;
  case ClaimState::Finished:
    this->ClaimProves = Row.LastTerm != 0 && Row.LastTerm <= this->TermNumber;
    break;
  case ClaimState::Held:
  case ClaimState::Unknown:
    break;
  }
}

ProofState LeadershipProof::state(const std::vector<ServerId> &Others) const {
  if (this->LaterTerm)
    return ProofState::Superseded;
  if (this->ClaimProves)
    return ProofState::Proved;
  bool Complete = !Others.empty();
  bool MayComplete = !Others.empty();
  for (const ServerId &Id : Others) {
    const bool Follows = this->Following.count(Id) > 0;
    Complete = Complete && Follows;
    MayComplete = MayComplete && (Follows || this->Unhelpful.count(Id) == 0);
  }
  if (Complete)
    return ProofState::Proved;
  return MayComplete ? ProofState::Open : ProofState::NeedsClaim;
}

} // namespace amaranthspur
