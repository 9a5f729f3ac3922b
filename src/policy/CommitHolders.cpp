#include "policy/CommitHolders.h"

#include <algorithm>
#include <utility>

namespace amaranthspur {

void CommitHolders::setServers(const std::vector<RegisteredServer> &Listed,
                               TimePoint Now) {
  std::map<ServerId, Holder> Next;
  for (const RegisteredServer &R : Listed) {
    const auto Known = this->Servers.find(R.Id);
    Holder H;
    if (Known != this->Servers.end() &&
        Known->second.StartedAtMs == R.StartedAtMs)
      H = Known->second;
    else
      H.RegisteredSince = Now;
    H.StartedAtMs = R.StartedAtMs;
    H.Draining = R.Draining;
    if (R.Role == ServerRole::Primary && H.RegisteredRole != R.Role)
      H.LedUnknownTerm = true;
    H.RegisteredRole = R.Role;
    Next.emplace(R.Id, H);
  }
  this->Servers = std::move(Next);
}

void CommitHolders::observeReport(const ServerId &Id,
                                  const ServerReport &Report) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end())
    return;
  Holder &H = Found->second;
  H.FollowedTerm = Report.TermNumber;
  H.AdoptedTerm = Report.AdoptedTerm;
  // A server that has stepped down reports the term that it has led.
  if (Report.Role == ServerRole::Primary ||
      std::exchange(H.LedUnknownTerm, false))
    H.LedTerm = std::max(H.LedTerm, Report.TermNumber);
  if (Report.Role == ServerRole::Primary)
    H.LedUnknownTerm = false;
  else
    this->observeReplica(Id, Report.Received);
}

void CommitHolders::observeReplica(const ServerId &Id, LogPosition End) {
  const auto Found = this->Servers.find(Id);
  if (Found != this->Servers.end())
    Found->second.End = std::max(Found->second.End, End);
}

void CommitHolders::observeProof(Term T, TimePoint At) {
  for (auto &[Id, H] : this->Servers)
    if (H.RegisteredSince <= At &&
        (H.EstablishedTerm == 0 || T < H.EstablishedTerm))
      H.EstablishedTerm = T;
}

bool CommitHolders::allOthersLeave(const ServerId &Primary) const {
  return std::all_of(this->Servers.begin(), this->Servers.end(),
                     [&Primary](const auto &Entry) {
                       return Entry.first == Primary || Entry.second.Draining;
                     });
}

std::vector<CommitHolders::Counted>
CommitHolders::countedServers(const ServerId &Primary, Term T) const {
  const bool AllLeave = this->allOthersLeave(Primary);
  std::vector<Counted> Found;
  for (const auto &[Id, H] : this->Servers)
    if (Id != Primary && !H.LedUnknownTerm && (T == 0 || H.LedTerm < T) &&
        (AllLeave || !H.Draining))
      Found.push_back({&Id, &H});
  return Found;
}

std::optional<ServerId> CommitHolders::holderOf(LogPosition Commit,
                                                const ServerId &Primary) const {
  for (const Counted &C : this->countedServers(Primary, Commit.TermNumber))
    if (isEstablished(*C.Server, Commit.TermNumber) && holds(*C.Server, Commit))
      return *C.Id;
  return std::nullopt;
}

bool CommitHolders::mayBeHeld(const ServerId &Primary, Term T) const {
  for (const Counted &C : this->countedServers(Primary, T)) {
    const Holder &H = *C.Server;
    const Term Leading =
        T != 0 ? T : std::max(H.FollowedTerm, H.EstablishedTerm);
    // A server holds no term after a promotion, and follows the later one.
    if (isEstablished(H, Leading) &&
        std::max(H.FollowedTerm, H.AdoptedTerm) <= Leading)
      return true;
  }
  return false;
}

std::vector<ServerId> CommitHolders::candidates(const ServerId &Primary,
                                                Term T) const {
  std::vector<ServerId> Ids;
  for (const Counted &C : this->countedServers(Primary, T))
    Ids.push_back(*C.Id);
  return Ids;
}

std::optional<TimePoint>
CommitHolders::proofNeeded(LogPosition Commit, const ServerId &Primary) const {
  std::optional<TimePoint> Since;
  for (const Counted &C : this->countedServers(Primary, Commit.TermNumber))
    if (!isEstablished(*C.Server, Commit.TermNumber) &&
        holds(*C.Server, Commit))
      Since =
          std::min(Since.value_or(TimePoint::max()), C.Server->RegisteredSince);
  return Since;
}

} // namespace amaranthspur
