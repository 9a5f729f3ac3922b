#include "policy/LeavingLogs.h"

#include <algorithm>

namespace amaranthspur {

void LeavingLogs::setServers(const std::vector<RegisteredServer> &Listed,
                             TimePoint Now) {
  const auto Staying =
      std::count_if(Listed.begin(), Listed.end(),
                    [](const RegisteredServer &R) { return !R.Draining; });
  std::map<ServerId, Server> Next;
  for (const RegisteredServer &R : Listed) {
    Server S;
    const auto Known = this->Servers.find(R.Id);
    if (Known != this->Servers.end() &&
        Known->second.StartedAtMs == R.StartedAtMs)
      S = Known->second;
    S.StartedAtMs = R.StartedAtMs;
    // If only one server stays, it may be the primary, and then the leaving
    // ones count.
    if (!R.Draining || Staying < 2) {
      S.CountsUntil.reset();
      S.End.reset();
    } else if (!S.CountsUntil) {
      S.CountsUntil = Now + NoticeTime;
    }
    Next.emplace(R.Id, S);
  }
  this->Servers = std::move(Next);
}

void LeavingLogs::bound(Server &S, LogPosition End, TimePoint SentAt) {
  if (S.CountsUntil && SentAt >= *S.CountsUntil && !S.End)
    S.End = End;
}

void LeavingLogs::observeEnd(const ServerId &Id, LogPosition End,
                             TimePoint SentAt) {
  const auto Found = this->Servers.find(Id);
  if (Found != this->Servers.end())
    bound(Found->second, End, SentAt);
}

void LeavingLogs::observePrimary(LogPosition End, TimePoint SentAt) {
  for (auto &[Id, S] : this->Servers)
    bound(S, End, SentAt);
}

std::optional<LogPosition> LeavingLogs::countedEnd(const ServerId &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? std::nullopt : Found->second.End;
}

} // namespace amaranthspur
