#include "root/relay/RelayedFeed.h"

#include "core/BootClock.h"

#include <algorithm>

namespace amaranthspur {

RelayedFeed::RelayedFeed(TableFeed &Store, Duration MaxPoll)
    : Store(Store), MaxPoll(MaxPoll), WaitUntil(steadyNow() + StartWait) {}

RelayedFeed::TableState &RelayedFeed::state(WatchedTable Table) {
  return this->Tables[static_cast<std::size_t>(Table)];
}

const RowCache &RelayedFeed::cache(WatchedTable Table) const {
  return this->Tables[static_cast<std::size_t>(Table)].Cache;
}

TimePoint RelayedFeed::contactAt(WatchedTable Table) const {
  return this->Tables[static_cast<std::size_t>(Table)].ContactAt;
}

void RelayedFeed::setSource(FeedSource Wanted, bool Answers) {
  this->RelayAnswers = Answers;
  if (this->Source == Wanted)
    return;
  this->Source = Wanted;
  this->ProbeDelay = InitialProbeDelay;
  this->NextProbe = TimePoint();
  this->Changed.notifyAll();
}

bool RelayedFeed::applyRelayed(WatchedTable Table, const WatchedRows &Rows,
                               bool Complete, TimePoint ContactAt) {
  TableState &S = this->state(Table);
  if (!S.Cache.apply(Rows, Complete))
    return false;
  S.ContactAt = std::max(S.ContactAt, ContactAt);
  if (Complete || !Rows.Rows.empty())
    this->Changed.notifyAll();
  return true;
}

void RelayedFeed::recordStoreResult(bool Succeeded) {
  if (Succeeded) {
    this->ProbeDelay = InitialProbeDelay;
    this->NextProbe = TimePoint();
    return;
  }
  if (!this->RelayAnswers)
    return;
  this->NextProbe = steadyNow() + this->ProbeDelay;
  this->ProbeDelay = std::min(this->ProbeDelay * 2, MaxProbeDelay);
}

QCoro::Task<> RelayedFeed::awaitDecision() {
  while (this->Source == FeedSource::Undecided && steadyNow() < this->WaitUntil)
    co_await this->Changed.wait(this->WaitUntil);
}

QCoro::Task<bool> RelayedFeed::awaitStoreTurn() {
  while (this->Source != FeedSource::Relay && this->RelayAnswers &&
         steadyNow() < this->NextProbe)
    co_await this->Changed.wait(this->NextProbe);
  co_return this->Source != FeedSource::Relay;
}

QCoro::Task<Result<WatchedRows>> RelayedFeed::readTable(WatchedTable Table,
                                                        TimePoint Deadline) {
  const Duration Limit = Deadline - steadyNow();
  co_await this->awaitDecision();
  TableState &S = this->state(Table);
  const bool FromStore = co_await this->awaitStoreTurn();
  if (!FromStore) {
    const TimePoint End = steadyNow() + Limit;
    while (!S.Cache.isKnown() && this->Source == FeedSource::Relay &&
           steadyNow() < End)
      co_await this->Changed.wait(End);
    if (S.Cache.isKnown()) {
      S.WasRead = true;
      co_return S.Cache.all();
    }
    const Result<WatchedRows> NoAnswer =
        Error{"the relay has not sent the table"};
    co_return NoAnswer;
  }
  const TimePoint SentAt = bootNow();
  Result<WatchedRows> R =
      co_await this->Store.readTable(Table, steadyNow() + Limit);
  this->recordStoreResult(succeeded(R));
  if (!succeeded(R)) {
    // Outdated rows are better than none, but only at the start: later the
    // reader has its own, and needs to know that the store does not answer.
    const bool IsStart = !S.WasRead && S.Cache.isKnown();
    if (!IsStart)
      co_return R;
    S.WasRead = true;
    co_return S.Cache.all();
  }
  S.WasRead = true;
  S.Cache.apply(valueOf(R), true);
  S.ContactAt = std::max(S.ContactAt, SentAt);
  this->Changed.notifyAll();
  co_return S.Cache.all();
}

QCoro::Task<Result<WatchedRows>> RelayedFeed::awaitChanges(WatchedTable Table,
                                                           StoreVersion After,
                                                           Duration Wait) {
  TableState &S = this->state(Table);
  const TimePoint End = steadyNow() + Wait;
  while (this->Source == FeedSource::Relay) {
    WatchedRows Changes = S.Cache.changesAfter(After);
    if (Changes.HistoryLost || !Changes.Rows.empty() || steadyNow() >= End)
      co_return Changes;
    co_await this->Changed.wait(End);
  }
  const bool FromStore = co_await this->awaitStoreTurn();
  if (!FromStore || S.Cache.version() > After)
    co_return S.Cache.changesAfter(After);
  Result<WatchedRows> R = co_await this->Store.awaitChanges(
      Table, After, std::min(Wait, this->MaxPoll));
  this->recordStoreResult(succeeded(R));
  if (!succeeded(R) || valueOf(R).HistoryLost)
    co_return R;
  S.Cache.apply(valueOf(R), false);
  S.ContactAt = std::max(S.ContactAt, bootNow());
  this->Changed.notifyAll();
  co_return S.Cache.changesAfter(After);
}

} // namespace amaranthspur
