#include "policy/Freshness.h"

#include <algorithm>

namespace amaranthspur {

void Freshness::observeReport(Term T, LogPosition Position, TimePoint SentAt) {
  const bool Usable = this->provedSince(T, SentAt);
  if (!this->Reports.empty()) {
    Report &Last = this->Reports.back();
    // Answers may arrive out of order.
    if (SentAt < Last.SentAt) {
      if (Usable)
        this->insertOlder(T, Position, SentAt);
      return;
    }
    const bool WithinSpacing =
        this->Reports.size() > 1 &&
        SentAt - this->Reports[this->Reports.size() - 2].SentAt < MinSpacing;
    // A usable report is not replaced by one that is not proved yet.
    if (WithinSpacing && (Usable || !Last.Usable)) {
      Last = {T, Position, SentAt, Usable};
      return;
    }
  }
  this->Reports.push_back({T, Position, SentAt, Usable});
  while (SentAt - this->Reports.front().SentAt > MaxAge)
    this->Reports.pop_front();
}

void Freshness::insertOlder(Term T, LogPosition Position, TimePoint SentAt) {
  const auto Next =
      std::find_if(this->Reports.begin(), this->Reports.end(),
                   [SentAt](const Report &R) { return R.SentAt >= SentAt; });
  const auto IsNear = [SentAt](const Report &R) {
    return R.Usable && std::chrono::abs(R.SentAt - SentAt) < MinSpacing;
  };
  const bool Known = IsNear(*Next) || (Next != this->Reports.begin() &&
                                       IsNear(*std::prev(Next)));
  if (!Known)
    this->Reports.insert(Next, {T, Position, SentAt, true});
}

void Freshness::observeProof(Term T, TimePoint At) {
  if (T < this->ProvedTerm)
    return;
  if (T > this->ProvedTerm) {
    // Proofs of earlier terms are ignored from now on, so that unproved reports
    // of these terms never become usable.
    std::erase_if(this->Reports, [T](const Report &R) {
      return R.TermNumber < T && !R.Usable;
    });
    this->ProvedTerm = T;
    this->ProvedAt = At;
  }
  this->ProvedAt = std::max(this->ProvedAt, At);
  for (Report &R : this->Reports)
    R.Usable = R.Usable || this->provedSince(R.TermNumber, R.SentAt);
}

bool Freshness::provedSince(Term T, TimePoint Since) const {
  return T != 0 && T == this->ProvedTerm && this->ProvedAt >= Since;
}

std::optional<LogPosition> Freshness::floorAsOf(TimePoint Since) const {
  for (const Report &R : this->Reports)
    if (R.SentAt >= Since && R.Usable)
      return R.Position;
  return std::nullopt;
}

std::optional<TimePoint> Freshness::newestUsable() const {
  for (auto R = this->Reports.rbegin(); R != this->Reports.rend(); ++R)
    if (R->Usable)
      return R->SentAt;
  return std::nullopt;
}

void Freshness::share(GroupEvidence &Into) const {
  Into.ProvedTerm = this->ProvedTerm;
  Into.ProvedAt = this->ProvedAt;
  const auto Newest = std::find_if(this->Reports.rbegin(), this->Reports.rend(),
                                   [](const Report &R) { return R.Usable; });
  if (Newest == this->Reports.rend())
    return;
  Into.Position = Newest->Position;
  Into.ReportedAt = Newest->SentAt;
}

std::optional<TimePoint> Freshness::newestReport() const {
  if (this->Reports.empty())
    return std::nullopt;
  return this->Reports.back().SentAt;
}

} // namespace amaranthspur
