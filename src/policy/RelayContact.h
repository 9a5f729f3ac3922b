// Decides when the relay of one data centre reads the row that names the relay
// of another one, and when it sends it a request.
//
// The row is read once at the start, and again only while the other relay gives
// no usable answer, because calls to the store are billed. A relay that was
// replaced tells of the next one, so that most replacements need no call. The
// forwarders of the other data centre are known for a limited time after an
// answer: its relay may have been lost together with them.
//
// Times are of one monotonic clock. The class sends no messages and reads no
// clock.
#ifndef AMARANTHSPUR_POLICY_RELAYCONTACT_H
#define AMARANTHSPUR_POLICY_RELAYCONTACT_H

#include "policy/ForwarderChoice.h"
#include "policy/RelayElection.h"

#include <optional>
#include <vector>

namespace amaranthspur {

/// The next action towards the relay of another data centre.
enum class ContactStep {
  Wait,
  ReadRow,  ///< Read the row that names it.
  Exchange, ///< Send the regular request.
  Borrow,   ///< Send a request if tokens of quotas are wanted.
};

template <> struct EnumNames<ContactStep> {
  static constexpr auto Entries =
      std::to_array<std::pair<ContactStep, std::string_view>>(
          {{ContactStep::Wait, "wait"},
           {ContactStep::ReadRow, "read-row"},
           {ContactStep::Exchange, "exchange"},
           {ContactStep::Borrow, "borrow"}});
};

/// How a request to the relay of another data centre ended.
enum class ExchangeResult { Answered, Unanswered, Rejected };

template <> struct EnumNames<ExchangeResult> {
  static constexpr auto Entries =
      std::to_array<std::pair<ExchangeResult, std::string_view>>(
          {{ExchangeResult::Answered, "answered"},
           {ExchangeResult::Unanswered, "unanswered"},
           {ExchangeResult::Rejected, "rejected"}});
};

/// The contact with the relay of one other data centre.
class RelayContact {
public:
  /// Interval between regular requests.
  static constexpr Duration ExchangeInterval = std::chrono::seconds(1);
  /// Shortest time between two requests, and between two checks for wanted
  /// tokens. A workspace that moves needs its share within 500 ms.
  static constexpr Duration MinSpacing = milliseconds(150);
  /// The row is read again after this time without a usable answer.
  static constexpr Duration SilenceLimit = std::chrono::seconds(2);
  /// Shortest time between two reads of the row.
  static constexpr Duration RowSpacing = std::chrono::seconds(5);
  /// The forwarders are dropped this long after the last answer.
  static constexpr Duration MaxAnswerAge = std::chrono::seconds(3);

  /// Returns what to do at \p Now.
  /// \param MayBorrow whether there are quotas, so that tokens may be wanted.
  ContactStep step(TimePoint Now, bool MayBorrow) const;
  /// Returns when step() is something else than Wait, if nothing is observed
  /// until then.
  TimePoint nextStepAt(bool MayBorrow) const;
  /// Returns whether tokens may be asked for. While the last request was not
  /// answered, another one would probably lose them.
  bool isResponsive() const { return this->Responsive; }

  /// Records that the row is read.
  void observeRowRead(TimePoint Now) { this->RowReadAt = Now; }
  /// Records the row, which was read or sent by a relay that was replaced. A
  /// row that is not newer than the known one is ignored.
  /// \returns whether the row is new; the forwarders are then unknown.
  bool observeRow(const RelayRow &Seen, TimePoint Now);
  /// Records that no tokens were wanted.
  void observeNothingWanted(TimePoint Now) { this->WishCheckedAt = Now; }
  /// Records that a request is sent.
  void observeRequest(TimePoint Now);
  /// Records that the request was answered with \p Listed.
  void observeAnswer(std::vector<ForwarderVm> Listed, TimePoint Now);
  /// Records that the request was rejected or not answered.
  void observeFailure() { this->Responsive = false; }
  /// Records the forwarders in a request of the other relay. They replace those
  /// of its last answer; they are not an answer.
  void observeForwarders(const EntryVmId &Sender,
                         std::vector<ForwarderVm> Listed, TimePoint Now);

  const RelayRow &row() const { return this->Row; }
  /// Returns whether the relay has answered recently.
  bool isReached(TimePoint Now) const {
    return this->AnsweredAt && Now - *this->AnsweredAt <= MaxAnswerAge;
  }
  /// Returns the forwarders of the other data centre, or null if the relay has
  /// not answered recently.
  const std::vector<ForwarderVm> *forwarders(TimePoint Now) const {
    return this->isReached(Now) ? &this->Forwarders : nullptr;
  }

private:
  TimePoint rowDueAt() const;
  TimePoint exchangeDueAt() const;

  RelayRow Row;
  std::optional<TimePoint> RowReadAt;
  std::optional<TimePoint> RowLearntAt; ///< The present row.
  std::optional<TimePoint> RequestedAt;
  std::optional<TimePoint> AnsweredAt; ///< By the relay of the present row.
  std::optional<TimePoint> WishCheckedAt;
  bool Requested = false;  ///< From the relay of the present row.
  bool Responsive = false; ///< The last request was answered.
  std::vector<ForwarderVm> Forwarders;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_RELAYCONTACT_H
