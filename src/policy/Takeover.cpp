#include "policy/Takeover.h"

#include <algorithm>
#include <tuple>

namespace amaranthspur {
namespace {

/// Returns whether \p A is a better target than \p B.
/// \param Longest highest log end of the servers other than the old primary.
/// \param CatchesUp whether the old primary still answers and replicates. The
/// target then receives the missing entries before it is promoted.
bool isBetterTarget(const TakeoverServer &A, const TakeoverServer &B,
                    LogPosition Longest, bool CatchesUp) {
  // If the old primary does not answer, a draining server is promoted if no
  // other server has as long a log.
  const auto Rank = [Longest, CatchesUp](const TakeoverServer &S) {
    const bool Behind = !CatchesUp && S.Report->Received < Longest;
    return std::make_tuple(Behind, S.Draining,
                           static_cast<int>(S.DistanceFromHere));
  };
  return Rank(A) < Rank(B);
}

} // namespace

std::variant<TakeoverPlan, TakeoverRefusal>
planTakeover(const std::vector<TakeoverServer> &Servers) {
  Term Highest = 0;
  LogPosition Longest;
  std::size_t Others = 0;
  bool CatchesUp = false;
  for (const TakeoverServer &S : Servers) {
    if (S.Report)
      Highest = std::max({Highest, S.Report->TermNumber, S.Report->AdoptedTerm,
                          S.Report->Received.TermNumber});
    if (S.OldPrimary) {
      CatchesUp = S.Report.has_value();
      continue;
    }
    ++Others;
    if (!S.Report)
      return TakeoverRefusal{"server " + S.Id.str() + " does not answer"};
    Longest = std::max(Longest, S.Report->Received);
  }
  // A single other server is not enough: without an adopter, it is not known
  // whether its log holds every acknowledged commit.
  if (Others < 2)
    return TakeoverRefusal{"too few servers"};
  const TakeoverServer *Target = nullptr;
  for (const TakeoverServer &S : Servers)
    if (!S.OldPrimary &&
        (!Target || isBetterTarget(S, *Target, Longest, CatchesUp)))
      Target = &S;
  TakeoverPlan Plan;
  Plan.Target = Target->Id;
  Plan.NextTerm = Highest + 1;
  for (const TakeoverServer &S : Servers)
    if (!S.OldPrimary && S.Id != Plan.Target)
      Plan.Adopters.push_back(S.Id);
  return Plan;
}

std::optional<std::string>
reasonAgainstTarget(const ServerReport &Target,
                    const std::vector<LogPosition> &Adopted,
                    LogPosition Acknowledged) {
  if (Target.Received < Acknowledged)
    return "its log lacks an acknowledged commit";
  for (const LogPosition Position : Adopted)
    if (Target.Received < Position)
      return "its log is shorter than that of another server";
  return std::nullopt;
}

void TakeoverClaim::observe(std::uint64_t Seen, bool IsFinished,
                            TimePoint Now) {
  if (Seen != this->Version)
    this->SeenSince = Now;
  this->Version = Seen;
  this->Finished = IsFinished;
}

bool TakeoverClaim::mayClaim(TimePoint Now) const {
  return this->Version == 0 || this->Finished || Now - this->SeenSince >= Lease;
}

} // namespace amaranthspur
