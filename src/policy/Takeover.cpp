#include "policy/Takeover.h"

#include <algorithm>
#include <tuple>

namespace amaranthspur {

Term nextTerm(const std::vector<TakeoverServer> &Servers) {
  Term Highest = 0;
  for (const TakeoverServer &S : Servers)
    if (S.Report)
      Highest = std::max({Highest, S.Report->TermNumber, S.Report->AdoptedTerm,
                          S.Report->Received.TermNumber});
  return Highest + 1;
}

std::optional<std::string>
reasonAgainstTakeover(const std::vector<TakeoverServer> &Servers) {
  std::size_t Answering = 0;
  std::optional<std::string> Silent;
  bool OldAnswers = false;
  for (const TakeoverServer &S : Servers) {
    if (S.OldPrimary)
      OldAnswers = S.Report.has_value();
    else if (S.Report)
      ++Answering;
    else
      Silent = "server " + S.Id.str() + " does not answer";
  }
  // The end of the old primary's log covers every acknowledged commit, so one
  // other server is enough if the old primary can be made to step down.
  if (OldAnswers)
    return Answering > 0 ? std::nullopt
                         : std::optional<std::string>("no server to promote");
  if (Silent)
    return Silent;
  // Nothing shows that a single server holds every acknowledged commit.
  if (Answering < 2)
    return "too few servers";
  return std::nullopt;
}

std::optional<ServerId> chooseTarget(const std::vector<TakeoverServer> &Servers,
                                     LogPosition End,
                                     const std::optional<ServerId> &Preferred) {
  const auto Rank = [&Preferred](const TakeoverServer &S) {
    return std::make_tuple(Preferred != S.Id, S.Draining,
                           static_cast<int>(S.DistanceFromHere));
  };
  const TakeoverServer *Best = nullptr;
  for (const TakeoverServer &S : Servers) {
    const bool Eligible = !S.OldPrimary && S.Report &&
                          S.Report->Role == ServerRole::Replica &&
                          S.Report->Received >= End;
    if (Eligible && (!Best || Rank(S) < Rank(*Best)))
      Best = &S;
  }
  return Best ? std::optional<ServerId>(Best->Id) : std::nullopt;
}

bool isStranded(const ServerReport &Report, Term Leading) {
  return Report.Role == ServerRole::Replica && Report.AdoptedTerm >= Leading &&
         Report.AdoptedTerm > Report.TermNumber;
}

std::vector<ServerId> strandedServers(const ServerReports &Reports,
                                      const ServerId &Leader) {
  std::vector<ServerId> Stranded;
  const auto Found = Reports.find(Leader);
  if (Found == Reports.end() || Found->second.Role != ServerRole::Primary)
    return Stranded;
  for (const auto &[Id, Report] : Reports)
    if (isStranded(Report, Found->second.TermNumber))
      Stranded.push_back(Id);
  return Stranded;
}

void TakeoverClaim::observe(StoreVersion Seen, const ClaimRow &Content,
                            TimePoint Now, bool IsOwn) {
  if (Seen.era() < this->Version.era())
    return;
  const StoreVersion SeenStart =
      Content.ClaimedAs == 0 ? Seen
                             : StoreVersion(Content.ClaimedAs, Seen.era());
  if (SeenStart != this->Start)
    this->SeenSince = Now;
  this->Start = SeenStart;
  this->Version = Seen;
  this->Row = Content;
  this->Own = IsOwn;
}

void TakeoverClaim::observeReturn(TimePoint At) {
  if (this->ReturnedAt == At)
    return;
  this->ReturnedAt = At;
  // The store's clock may have gone back with its rows.
  this->Clock = StoreClock();
}

bool TakeoverClaim::mayClaim(TimePoint Now, ClaimPurpose Purpose) const {
  if (this->mayMissClaim(Now))
    return false;
  switch (this->Row.State) {
  case ClaimState::Missing:
    return true;
  case ClaimState::Finished:
    return Purpose == ClaimPurpose::Undo || !this->Row.Turn ||
           this->hasLastOrder() || this->hasWaited(Now);
  case ClaimState::Held:
    // A claim to undo adoptions may have replaced a row that names the turn of
    // another entry VM.
    return this->Own && !this->Row.Undoing ? Now >= this->RenewAfter
                                           : this->hasWaited(Now);
  case ClaimState::Unknown:
    break;
  }
  return this->hasWaited(Now);
}

bool TakeoverClaim::hasLastOrder() const {
  return this->Row.State == ClaimState::Finished && this->Row.Turn &&
         this->Row.Turn->Holder == this->Self;
}

bool TakeoverClaim::hasWaited(TimePoint Now) const {
  const std::optional<std::int64_t> StoreMs = this->Clock.earliest(Now);
  if (this->Row.Turn && this->Row.Turn->WaitFromMs != 0 && StoreMs &&
      *StoreMs - this->Row.Turn->WaitFromMs >= Lease / milliseconds(1))
    return true;
  const bool MayBeOrdered =
      this->Row.State == ClaimState::Held && this->Row.Turn;
  return Now - this->SeenSince >=
         Lease + (MayBeOrdered ? OrderSpan : Duration::zero());
}

} // namespace amaranthspur
