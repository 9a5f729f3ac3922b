#include "policy/RelayContact.h"

#include <algorithm>
#include <utility>

namespace amaranthspur {

TimePoint RelayContact::rowDueAt() const {
  if (!this->RowReadAt)
    return TimePoint::min();
  TimePoint Due = *this->RowReadAt + RowSpacing;
  for (const std::optional<TimePoint> &Contact :
       {this->RowLearntAt, this->AnsweredAt})
    if (Contact)
      Due = std::max(Due, *Contact + SilenceLimit);
  return Due;
}

TimePoint RelayContact::exchangeDueAt() const {
  if (!this->RequestedAt)
    return TimePoint::min();
  // A new relay is asked soon, but not in a tight loop if it names a next one.
  return *this->RequestedAt +
         (this->Requested ? ExchangeInterval : Duration(MinSpacing));
}

ContactStep RelayContact::step(TimePoint Now, bool MayBorrow) const {
  if (Now >= this->rowDueAt())
    return ContactStep::ReadRow;
  if (this->Row.Vm.empty())
    return ContactStep::Wait;
  if (Now >= this->exchangeDueAt())
    return ContactStep::Exchange;
  return Now >= this->nextStepAt(MayBorrow) ? ContactStep::Borrow
                                            : ContactStep::Wait;
}

TimePoint RelayContact::nextStepAt(bool MayBorrow) const {
  TimePoint Next = this->rowDueAt();
  if (this->Row.Vm.empty())
    return Next;
  Next = std::min(Next, this->exchangeDueAt());
  if (MayBorrow && this->Responsive && this->RequestedAt) {
    const TimePoint Asked = *this->RequestedAt;
    const TimePoint Last = std::max(Asked, this->WishCheckedAt.value_or(Asked));
    Next = std::min(Next, Last + MinSpacing);
  }
  return Next;
}

bool RelayContact::observeRow(const RelayRow &Seen, TimePoint Now) {
  if (Seen.Version <= this->Row.Version)
    return false;
  this->Row = Seen;
  this->RowLearntAt = Now;
  // What the former relay has told needs the former token.
  this->Requested = false;
  this->AnsweredAt.reset();
  this->Responsive = false;
  this->Forwarders.clear();
  return true;
}

void RelayContact::observeRequest(TimePoint Now) {
  this->RequestedAt = Now;
  this->Requested = true;
}

void RelayContact::observeAnswer(std::vector<ForwarderVm> Listed,
                                 TimePoint Now) {
  this->Forwarders = std::move(Listed);
  this->AnsweredAt = Now;
  this->Responsive = true;
}

void RelayContact::observeForwarders(const EntryVmId &Sender,
                                     std::vector<ForwarderVm> Listed,
                                     TimePoint Now) {
  // The token of another relay than the known one is not known.
  if (Sender == this->Row.Vm && this->isReached(Now))
    this->Forwarders = std::move(Listed);
}

} // namespace amaranthspur
