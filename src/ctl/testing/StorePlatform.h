// A mock of the platform client that keeps its rows and objects in the store of
// the fake platform. Tests can inject faults.
#ifndef AMARANTHSPUR_CTL_TESTING_STOREPLATFORM_H
#define AMARANTHSPUR_CTL_TESTING_STOREPLATFORM_H

#include "core/Names.h"
#include "platform/testing/MockPlatform.h"
#include "testing/fake-platform/PlatformStore.h"

#include <array>
#include <functional>
#include <memory>

namespace amaranthspur::ctl {

/// The injected fault of one call.
enum class CallFault {
  None,
  Refused,    ///< The call fails without effect.
  AnswerLost, ///< The call takes effect, but its response is lost.
};

/// The mock client with its expectations and the store behind it.
struct StorePlatform {
  /// Returns the fault of the next call. WritesRow tells whether the call
  /// writes the row.
  std::function<CallFault(bool WritesRow)> NextFault = [](bool) {
    return CallFault::None;
  };
  /// Runs immediately before the row is written, after the head was read.
  std::function<void()> BeforeWrite = [] {};
  /// Runs after the row was written and before the response.
  std::function<void()> AfterWrite = [] {};

  fakeplatform::PlatformStore Store{1};
  MockPlatform Client;

private:
  static TableRow toRow(const fakeplatform::Row &R) {
    return {StoreVersion(R.Version), R.Value, R.Operation};
  }

  Result<TableRow> read(const std::string &Key) {
    if (this->NextFault(false) != CallFault::None)
      return Error{"scripted fault"};
    return toRow(this->Store.readRow(Key));
  }

  Result<CasOutcome> write(const std::string &Key, StoreVersion Expected,
                           const std::string &Value,
                           const std::string &Operation) {
    // The hook is copied, because it may replace itself while it runs.
    const std::function<void()> Before = this->BeforeWrite;
    Before();
    const CallFault F = this->NextFault(true);
    if (F == CallFault::Refused)
      return Error{"scripted fault"};
    const fakeplatform::WriteOutcome Outcome =
        this->Store.writeRow(Key, Expected.number(), Value, Operation);
    const std::function<void()> After = this->AfterWrite;
    After();
    if (F == CallFault::AnswerLost)
      return Error{"scripted fault"};
    // The real client also recognises an operation that was applied earlier.
    const bool Applied =
        Outcome.Applied || Outcome.Present.Operation == Operation;
    return CasOutcome{Applied, toRow(Outcome.Present)};
  }

  Result<Success> put(const std::string &Name, const std::string &Content) {
    const CallFault F = this->NextFault(false);
    if (F != CallFault::Refused)
      this->Store.putObject(Name, Content);
    if (F != CallFault::None)
      return Error{"scripted fault"};
    return Success();
  }

  Result<std::optional<std::string>> get(const std::string &Name) {
    if (this->NextFault(false) != CallFault::None)
      return Error{"scripted fault"};
    const std::string *Content = this->Store.findObject(Name);
    return Content ? std::optional(*Content) : std::nullopt;
  }

  std::array<std::unique_ptr<trompeloeil::expectation>, 4> Calls = {
      NAMED_ALLOW_CALL(this->Client, readRow(trompeloeil::_, trompeloeil::_))
          .LR_RETURN(completedTask(this->read(_1))),
      NAMED_ALLOW_CALL(this->Client,
                       compareAndSet(trompeloeil::_, trompeloeil::_,
                                     trompeloeil::_, trompeloeil::_,
                                     trompeloeil::_))
          .LR_RETURN(completedTask(this->write(_1, _2, _3, _4))),
      NAMED_ALLOW_CALL(this->Client, putObject(trompeloeil::_, trompeloeil::_,
                                               trompeloeil::_))
          .LR_RETURN(completedTask(this->put(_1, _2))),
      NAMED_ALLOW_CALL(this->Client, getObject(trompeloeil::_, trompeloeil::_))
          .LR_RETURN(completedTask(this->get(_1)))};
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
