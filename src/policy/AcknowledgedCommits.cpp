#include "policy/AcknowledgedCommits.h"

namespace amaranthspur {

std::optional<MissingCommit>
AcknowledgedCommits::report(const PrimaryPosition &Known,
                            const AcknowledgedCommit &Commit) {
  if (!this->Reported[Known.TermNumber].insert(Known.Primary).second)
    return std::nullopt;
  if (this->Reported.size() > MaxTerms)
    this->Reported.erase(this->Reported.begin());
  return MissingCommit{Known, Commit};
}

std::optional<MissingCommit>
AcknowledgedCommits::recordCommit(const AcknowledgedCommit &Commit) {
  const Term Of = Commit.Position.TermNumber;
  const auto [Entry, Inserted] = this->Newest.try_emplace(Of, Commit);
  if (!Inserted && Entry->second.Position < Commit.Position)
    Entry->second = Commit;
  if (this->Newest.size() > MaxTerms)
    this->Newest.erase(this->Newest.begin());
  if (!this->Latest || this->Latest->TermNumber <= Of ||
      !lacksCommit(this->Latest->Position, Commit.Position))
    return std::nullopt;
  return this->report(*this->Latest, Commit);
}

std::optional<MissingCommit>
AcknowledgedCommits::observePrimary(const PrimaryPosition &Known) {
  if (this->Latest && Known.TermNumber < this->Latest->TermNumber)
    return std::nullopt;
  const bool IsSame = this->Latest &&
                      this->Latest->TermNumber == Known.TermNumber &&
                      this->Latest->Primary == Known.Primary;
  if (IsSame && this->Latest->Position <= Known.Position)
    return std::nullopt;
  this->Latest = Known;
  return this->compareTarget(Known);
}

std::optional<MissingCommit>
AcknowledgedCommits::compareTarget(const PrimaryPosition &Known) {
  const auto Later = this->Newest.lower_bound(Known.TermNumber);
  if (Later == this->Newest.begin())
    return std::nullopt;
  const AcknowledgedCommit &Commit = std::prev(Later)->second;
  if (!lacksCommit(Known.Position, Commit.Position))
    return std::nullopt;
  return this->report(Known, Commit);
}

} // namespace amaranthspur
