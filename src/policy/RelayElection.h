// Decides which entry VM of a data centre is the relay, and whether the other
// entry VMs may rely on it.
//
// The relay reads the platform's tables and passes the changes on, so that the
// number of store calls does not grow with the number of entry VMs. One row of
// the store per data centre names the relay. An entry VM claims the row by
// compare-and-set when the row is missing, when the relay does not answer, when
// it is about to stop, or when it has lost contact with the store. The row only
// saves calls. Two relays at once, or none, break no invariant: an entry VM
// without a usable relay reads the tables itself.
//
// Claims are spread over time, larger entry VMs first, because the relay needs
// processor time that small ones lack. Times are of one monotonic clock. The
// class sends no messages and reads no clock.
#ifndef AMARANTHSPUR_POLICY_RELAYELECTION_H
#define AMARANTHSPUR_POLICY_RELAYELECTION_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Random.h"
#include "core/StoreVersion.h"
#include "core/Types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace amaranthspur {

/// The part that an entry VM has in its data centre.
enum class RelayRole {
  Undecided, ///< The row has not been read yet.
  Relay,     ///< Serves the other entry VMs.
  Follower,  ///< Follows the relay that the row names.
};

template <> struct EnumNames<RelayRole> {
  static constexpr auto Entries =
      std::to_array<std::pair<RelayRole, std::string_view>>(
          {{RelayRole::Undecided, "undecided"},
           {RelayRole::Relay, "relay"},
           {RelayRole::Follower, "follower"}});
};

/// The next call to the store of an entry VM that wants another relay.
enum class ClaimStep {
  Read,  ///< Find out whether the store answers here.
  Claim, ///< Claim the row.
};

template <> struct EnumNames<ClaimStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<ClaimStep, std::string_view>>(
          {{ClaimStep::Read, "read"}, {ClaimStep::Claim, "claim"}});
};

/// The row that names the relay of a data centre.
struct RelayRow {
  StoreVersion Version;
  EntryVmId Vm;
  std::string Address; ///< host:port that the relay listens on.
  std::string Token;   ///< Secret that followers present to the relay.

  bool operator==(const RelayRow &) const = default;
};

/// The election as one entry VM sees it.
class RelayElection {
public:
  /// Number of consecutive unanswered requests after which the relay counts as
  /// lost. One may be lost with a packet.
  static constexpr unsigned MaxUnanswered = 2;
  /// Number of consecutive answers of a relay that has not read the tables yet
  /// after which another one is needed.
  static constexpr unsigned MaxNotReady = 8;
  /// Longest time that a claim waits because the entry VM is small.
  static constexpr Duration MaxSizeDelay = milliseconds(300);
  /// Share of a core from which a claim does not wait.
  static constexpr double FullCpuShare = 0.5;
  /// Claims are spread at random over this time, so that most entry VMs learn
  /// of the winner before they claim.
  static constexpr Duration ClaimSpread = milliseconds(400);
  /// The same for the first claim after the start. It is short, because every
  /// entry VM claims once to learn the row, and serves nobody before that.
  static constexpr Duration StartSpread = milliseconds(20);
  /// Pause after a claim that the store did not answer. It doubles up to the
  /// maximum while the store stays unavailable, because calls to an unavailable
  /// store are billed too.
  static constexpr Duration InitialRetryDelay = milliseconds(400);
  static constexpr Duration MaxRetryDelay = milliseconds(6400);
  /// Time that a relay without contact with the store gets to regain it once
  /// another entry VM has found that the store answers. After an outage all
  /// entry VMs reach the store again at about the same time.
  static constexpr Duration ConfirmDelay = milliseconds(1200);
  /// A relay reads the row again at this interval. It may have been replaced
  /// while it was suspended or cut off.
  static constexpr Duration VerifyInterval = std::chrono::seconds(20);

  /// \param Self name of this entry VM.
  /// \param CpuShare the part of a core that this entry VM has.
  /// \param MaxContactAge a relay whose last contact with the store is older is
  /// not relied on.
  RelayElection(EntryVmId Self, double CpuShare, Duration MaxContactAge);

  /// Starts the election; the first claim is due after a third of the size
  /// delay.
  void start(TimePoint Now, Random &Rng);

  /// Records the row, which was read, returned by a claim or sent by the entry
  /// VM that replaced this relay. A row older than the known one is ignored.
  void observeRow(const RelayRow &Row, TimePoint Now);
  /// Records that the store did not answer a claim or a read of the row.
  void observeStoreFailure(TimePoint Now, Random &Rng);
  /// Records that the relay answered.
  /// \param ContactAge age of its oldest contact with the store of all tables.
  /// \param Leaving whether it is about to stop.
  void observeAnswer(Duration ContactAge, bool Leaving, TimePoint Now,
                     Random &Rng);
  /// Records that the relay answered without tables, because it has not read
  /// them yet.
  void observeNotReady(TimePoint Now, Random &Rng);
  /// Records that the relay left a request unanswered.
  void observeUnanswered(TimePoint Now, Random &Rng);
  /// Records that the named entry VM is not a relay, or that the row's token is
  /// outdated.
  void observeRejection(TimePoint Now, Random &Rng);
  RelayRole role() const { return this->Role; }
  const RelayRow &row() const { return this->Row; }

  /// Returns whether the relay answers.
  bool isConnected() const {
    return this->Role == RelayRole::Follower && this->Connected;
  }
  /// Returns whether the last request was not answered.
  bool hasUnanswered() const { return this->Unanswered > 0; }
  /// Returns whether the relay named by the row may still turn out usable: it
  /// has not been asked, or it is starting.
  bool awaitsFirstAnswer() const {
    return this->Role == RelayRole::Follower && this->Unanswered == 0 &&
           !this->Rejected && !this->HasServed && this->NotReady < MaxNotReady;
  }
  /// Returns whether the tables may be taken from the relay.
  bool mayFollow() const {
    return this->isConnected() && this->Unanswered == 0 && this->Current;
  }

  /// Returns when claimStep() is due, or nothing if the relay is to be kept.
  std::optional<TimePoint> claimAt() const { return this->ClaimAt; }
  /// Returns whether the next call only reads the row. This is so while the
  /// relay answers but has lost contact with the store.
  ClaimStep claimStep() const {
    return this->Connected && this->HasServed && !this->Current &&
                   !this->StoreAnswers
               ? ClaimStep::Read
               : ClaimStep::Claim;
  }

  /// Returns whether this relay has to read the row again, and records that it
  /// does.
  bool takeVerification(TimePoint Now);

private:
  void scheduleClaim(TimePoint Now, Random &Rng);

  EntryVmId Self;
  Duration SizeDelay;
  Duration MaxContactAge;
  RelayRole Role = RelayRole::Undecided;
  RelayRow Row;
  bool Connected = false; ///< The relay has answered since the row was read.
  bool Current = false;   ///< Its contact with the store is recent.
  bool Rejected = false;  ///< It has refused since the row was read.
  bool HasServed = false; ///< It has sent tables since the row was read.
  unsigned NotReady = 0;  ///< Consecutive answers without tables.
  unsigned Unanswered = 0;
  Duration RetryDelay = InitialRetryDelay;
  std::optional<TimePoint> ClaimAt;
  bool StoreAnswers = false; ///< A read has shown it since the last contact.
  TimePoint VerifiedAt{};    ///< Last time that the row was read as a relay.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RELAYELECTION_H
