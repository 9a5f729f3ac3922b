// A mocked platform that keeps its rows and objects in the stand-in's store,
// with faults that a test scripts.
#ifndef AMARANTHSPUR_CTL_TESTING_STOREPLATFORM_H
#define AMARANTHSPUR_CTL_TESTING_STOREPLATFORM_H

#include "core/Names.h"
#include "platform/testing/MockPlatform.h"
#include "testing/fake-platform/PlatformStore.h"

#include <array>
#include <functional>
#include <memory>

namespace amaranthspur::ctl {

/// What goes wrong with one call.
enum class CallFault {
  None,
  Refused,    ///< Error without effect.
  AnswerLost, ///< Error after the effect.
};

/// The mock with its expectations.
struct StorePlatform {
  /// Draws the fault of each call; the argument tells whether it writes the
  /// row.
  std::function<CallFault(bool WritesRow)> Fault = [](bool) {
    return CallFault::None;
  };
  /// Runs between the reading of the head and the writing of the row.
  std::function<void()> BeforeWrite = [] {};
  /// Runs after the row was written and before the answer.
  std::function<void()> AfterWrite = [] {};

  fakeplatform::PlatformStore Store{1};
  MockPlatform Service;

private:
  static TableRow toRow(const fakeplatform::Row &R) {
    return {R.Version, R.Value, R.Operation};
  }

  Result<TableRow> read(const std::string &Key) {
    if (this->Fault(false) != CallFault::None)
      return Error{"scripted fault"};
    return toRow(this->Store.readRow(Key));
  }

  Result<CasOutcome> write(const std::string &Key, std::uint64_t Expected,
                           const std::string &Value,
                           const std::string &Operation) {
    // Copies, because the hooks replace themselves.
    const std::function<void()> Before = this->BeforeWrite;
    Before();
    const CallFault F = this->Fault(true);
    if (F == CallFault::Refused)
      return Error{"scripted fault"};
    const fakeplatform::WriteOutcome Outcome =
        this->Store.writeRow(Key, Expected, Value, Operation);
    const std::function<void()> After = this->AfterWrite;
    After();
    if (F == CallFault::AnswerLost)
      return Error{"scripted fault"};
    // The client recognises an operation that was applied earlier.
    const bool Applied =
        Outcome.Applied || Outcome.Present.Operation == Operation;
    return CasOutcome{Applied, toRow(Outcome.Present)};
  }

  Result<Success> put(const std::string &Name, const std::string &Content) {
    const CallFault F = this->Fault(false);
    if (F != CallFault::Refused)
      this->Store.putObject(Name, Content);
    if (F != CallFault::None)
      return Error{"scripted fault"};
    return Success();
  }

  Result<std::optional<std::string>> get(const std::string &Name) {
    if (this->Fault(false) != CallFault::None)
      return Error{"scripted fault"};
    const std::string *Content = this->Store.findObject(Name);
    return Content ? std::optional(*Content) : std::nullopt;
  }

  std::array<std::unique_ptr<trompeloeil::expectation>, 4> Calls = {
      NAMED_ALLOW_CALL(this->Service, readRow(trompeloeil::_, trompeloeil::_))
          .LR_RETURN(answered(this->read(_1))),
      NAMED_ALLOW_CALL(this->Service,
                       compareAndSet(trompeloeil::_, trompeloeil::_,
                                     trompeloeil::_, trompeloeil::_,
                                     trompeloeil::_))
          .LR_RETURN(answered(this->write(_1, _2, _3, _4))),
      NAMED_ALLOW_CALL(this->Service, putObject(trompeloeil::_, trompeloeil::_,
                                                trompeloeil::_))
          .LR_RETURN(answered(this->put(_1, _2))),
      NAMED_ALLOW_CALL(this->Service, getObject(trompeloeil::_, trompeloeil::_))
          .LR_RETURN(answered(this->get(_1)))};
};

} // namespace amaranthspur::ctl

namespace amaranthspur {

template <> struct EnumNames<ctl::CallFault> {
  static constexpr auto Entries =
      std::to_array<std::pair<ctl::CallFault, std::string_view>>(
          {{ctl::CallFault::None, "none"},
           {ctl::CallFault::Refused, "refused"},
           {ctl::CallFault::AnswerLost, "answer lost"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CTL_TESTING_STOREPLATFORM_H
