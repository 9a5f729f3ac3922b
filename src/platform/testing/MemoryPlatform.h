// A Platform for tests that keeps its rows in memory and can simulate an
// outage.
#ifndef AMARANTHSPUR_PLATFORM_TESTING_MEMORYPLATFORM_H
#define AMARANTHSPUR_PLATFORM_TESTING_MEMORYPLATFORM_H

#include "core/Async.h"
#include "platform/Platform.h"

#include <functional>
#include <map>
#include <utility>

namespace amaranthspur {

/// Supports rows only; calls for objects or for the list of VMs fail.
class MemoryPlatform final : public Platform {
public:
  QCoro::Task<Result<TableRow>> readRow(std::string Key,
                                        TimePoint Deadline) override {
    if (this->Silent)
      co_await sleepFor(Deadline - steadyNow());
    if (this->Down || this->Silent)
      co_return Error{"no answer"};
    co_return this->answer(this->Rows[Key]);
  }

  QCoro::Task<Result<CasOutcome>>
  compareAndSet(std::string Key, StoreVersion Expected, std::string Value,
                std::string Operation, TimePoint Deadline) override {
    if (this->Silent)
      co_await sleepFor(Deadline - steadyNow());
    if (this->Down || this->Silent)
      co_return Error{"no answer"};
    TableRow &Row = this->Rows[Key];
    if (Row.Version != Expected)
      co_return CasOutcome{Row.Operation == Operation, this->answer(Row)};
    Row = {StoreVersion(++this->Counter), std::move(Value),
           std::move(Operation)};
    const CasOutcome Outcome{true, Row};
    if (this->LosesAnswer(Outcome.Current))
      co_return Error{"no answer"};
    const Duration Delay = this->AnswerDelay(Outcome.Current);
    if (Delay > Duration::zero())
      co_await sleepFor(Delay);
    co_return Outcome;
  }

  QCoro::Task<Result<Success>> putObject(std::string, std::string,
                                         TimePoint) override {
    co_return Error{"not used"};
  }
  QCoro::Task<Result<std::optional<std::string>>>
  getObject(std::string, TimePoint) override {
    co_return Error{"not used"};
  }
  QCoro::Task<Result<std::vector<PlatformVm>>> listVms(TimePoint) override {
    co_return Error{"not used"};
  }

  bool Down = false;   ///< Whether every call on rows fails.
  bool Silent = false; ///< Whether no call on rows is answered in time.
  /// Returns the time until the writer of a row gets its answer, whatever its
  /// deadline, as if the writer was suspended.
  std::function<Duration(const TableRow &)> AnswerDelay = [](const TableRow &) {
    return Duration::zero();
  };
  /// Returns the store's clock; nothing if the answers lack it.
  std::function<std::optional<std::int64_t>()> StoreMs = [] {
    return std::nullopt;
  };
  /// Returns whether the writer of a row gets no answer.
  std::function<bool(const TableRow &)> LosesAnswer = [](const TableRow &) {
    return false;
  };
  std::uint64_t Counter = 0; ///< Last version; shared by all rows, as in the
                             ///< platform's store.
  std::map<std::string, TableRow> Rows;

private:
  TableRow answer(TableRow Row) const {
    Row.StoreMs = this->StoreMs();
    return Row;
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_TESTING_MEMORYPLATFORM_H
