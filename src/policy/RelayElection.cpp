#include "policy/RelayElection.h"

#include <algorithm>

namespace amaranthspur {
namespace {

Duration randomUpTo(Duration Limit, Random &Rng) {
  return Duration(static_cast<Duration::rep>(
      Rng.below(static_cast<std::uint64_t>(Limit.count()) + 1)));
}

Duration sizeDelay(double CpuShare) {
  const double Missing =
      std::clamp(1.0 - CpuShare / RelayElection::FullCpuShare, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(RelayElection::MaxSizeDelay *
                                              Missing);
}

} // namespace

RelayElection::RelayElection(EntryVmId Self, double CpuShare,
                             Duration MaxContactAge)
    : Self(std::move(Self)), SizeDelay(sizeDelay(CpuShare)),
      MaxContactAge(MaxContactAge) {}

void RelayElection::start(TimePoint Now, Random &Rng) {
  this->ClaimAt = Now + this->SizeDelay / 3 + randomUpTo(StartSpread, Rng);
}

void RelayElection::scheduleClaim(TimePoint Now, Random &Rng) {
  if (this->ClaimAt)
    return;
  this->ClaimAt = Now + this->SizeDelay + randomUpTo(ClaimSpread, Rng);
}

void RelayElection::observeRow(const RelayRow &Seen, TimePoint Now) {
  if (Seen.Version < this->Row.Version)
    return;
  this->RetryDelay = InitialRetryDelay;
  this->ClaimAt.reset();
  if (Seen == this->Row && this->Role == RelayRole::Follower) {
    // Only a read returns the known row. The store answers, so the next step is
    // a claim.
    this->StoreAnswers = true;
    this->ClaimAt = Now + ConfirmDelay;
    return;
  }
  this->Row = Seen;
  this->StoreAnswers = false;
  this->Connected = false;
  this->Current = false;
  this->Rejected = false;
  this->HasServed = false;
  this->NotReady = 0;
  this->Unanswered = 0;
  if (Seen.Vm == this->Self) {
    this->Role = RelayRole::Relay;
    this->VerifiedAt = Now;
    return;
  }
  this->Role = RelayRole::Follower;
}

void RelayElection::observeStoreFailure(TimePoint Now, Random &Rng) {
  if (this->Role == RelayRole::Relay)
    return;
  this->ClaimAt = Now + this->RetryDelay + randomUpTo(this->RetryDelay, Rng);
  this->RetryDelay = std::min(this->RetryDelay * 2, MaxRetryDelay);
}

void RelayElection::observeAnswer(Duration ContactAge, bool Leaving,
                                  TimePoint Now, Random &Rng) {
  if (this->Role != RelayRole::Follower)
    return;
  this->Connected = true;
  this->Rejected = false;
  this->HasServed = true;
  this->NotReady = 0;
  this->Unanswered = 0;
  this->Current = ContactAge <= this->MaxContactAge;
  if (this->Current)
    this->StoreAnswers = false;
  if (this->Current && !Leaving) {
    this->ClaimAt.reset();
    return;
  }
  this->scheduleClaim(Now, Rng);
}

void RelayElection::observeNotReady(TimePoint Now, Random &Rng) {
  if (this->Role != RelayRole::Follower)
    return;
  this->Connected = true;
  this->Current = false;
  this->Unanswered = 0;
  if (++this->NotReady >= MaxNotReady)
    this->scheduleClaim(Now, Rng);
}

void RelayElection::observeUnanswered(TimePoint Now, Random &Rng) {
  if (this->Role != RelayRole::Follower)
    return;
  if (++this->Unanswered < MaxUnanswered)
    return;
  this->Connected = false;
  this->scheduleClaim(Now, Rng);
}

void RelayElection::observeRejection(TimePoint Now, Random &Rng) {
  if (this->Role != RelayRole::Follower)
    return;
  this->Connected = false;
  this->Rejected = true;
  this->scheduleClaim(Now, Rng);
}

bool RelayElection::takeVerification(TimePoint Now) {
  if (this->Role != RelayRole::Relay || Now - this->VerifiedAt < VerifyInterval)
    return false;
  this->VerifiedAt = Now;
  return true;
}

} // namespace amaranthspur
