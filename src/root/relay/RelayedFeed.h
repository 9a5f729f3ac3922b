// Source of the watched tables for this entry VM: the relay of its data centre
// where there is a usable one, and otherwise the platform's store.
//
// All rows pass through one cache per table, from which this entry VM serves
// others when it is the relay. A version never decreases, whichever source the
// rows come from. While a relay answers but has lost contact with the store,
// this entry VM tries the store itself, at intervals that grow while the store
// does not answer either. An entry VM that starts in such a data centre begins
// with the rows that the relay has, so that it serves what it can.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAYEDFEED_H
#define AMARANTHSPUR_ROOT_RELAY_RELAYEDFEED_H

#include "core/Async.h"
#include "platform/Backoff.h"
#include "platform/Platform.h"
#include "root/relay/RowCache.h"

#include <array>

namespace amaranthspur {

/// Where the rows are to be taken from.
enum class FeedSource {
  Undecided, ///< Not decided yet; calls wait, but only for StartWait.
  Store,
  Relay,
};

template <> struct EnumNames<FeedSource> {
  static constexpr auto Entries =
      std::to_array<std::pair<FeedSource, std::string_view>>(
          {{FeedSource::Undecided, "undecided"},
           {FeedSource::Store, "store"},
           {FeedSource::Relay, "relay"}});
};

/// A feed that switches between the relay and the store.
class RelayedFeed final : public TableFeed {
public:
  /// Longest wait at the start for the relay's first answer.
  static constexpr Duration StartWait = milliseconds(800);
  /// Pause between two calls to the store after one has failed, while a relay
  /// answers that has lost contact with the store too. It doubles.
  static constexpr Duration InitialProbeDelay = milliseconds(400);
  static constexpr Duration MaxProbeDelay = milliseconds(6400);

  /// \param Store must outlive the feed.
  /// \param MaxPoll a long poll of the store ends after this time, so that a
  /// lost connection is found in time.
  RelayedFeed(TableFeed &Store, Duration MaxPoll);

  QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                             TimePoint Deadline) override;
  QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, StoreVersion After, Duration Wait) override;

  /// Sets the source. Calls that wait for the other source end.
  /// \param RelayAnswers whether a relay answers, usable or not.
  void setSource(FeedSource Wanted, bool RelayAnswers);
  FeedSource source() const { return this->Source; }

  /// Merges rows that the relay has sent in answer to a request.
  /// \param ContactAt boot clock; latest time up to which the relay is known to
  /// have had all changes.
  /// \returns false if the rows are of an earlier era than the known ones.
  bool applyRelayed(WatchedTable Table, const WatchedRows &Rows, bool Complete,
                    TimePoint ContactAt);

  const RowCache &cache(WatchedTable Table) const;
  /// Returns the time (boot clock) up to which all changes of \p Table are
  /// known; zero if it was never read.
  TimePoint contactAt(WatchedTable Table) const;

private:
  struct TableState {
    RowCache Cache;
    TimePoint ContactAt{}; ///< Boot clock.
    bool WasRead = false;  ///< A read of the table has returned rows.
  };

  TableState &state(WatchedTable Table);
  /// Waits until a call to the store may be made.
  /// \returns false if the relay became the source instead.
  QCoro::Task<bool> awaitStoreTurn();
  void recordStoreResult(bool Succeeded);
  QCoro::Task<> awaitDecision();

  TableFeed &Store;
  Duration MaxPoll;
  FeedSource Source = FeedSource::Undecided;
  bool RelayAnswers = false;
  std::array<TableState, 2> Tables;
  Duration ProbeDelay = InitialProbeDelay;
  TimePoint NextProbe{}; ///< Steady clock.
  TimePoint WaitUntil;   ///< End of the wait for the first decision.
  TaskCondition Changed; ///< Of the source or of a cached table.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAYEDFEED_H
