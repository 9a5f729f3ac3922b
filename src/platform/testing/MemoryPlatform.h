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
    if (this->Down || this->Silent || this->ReadsFail)
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
    // The store compares numbers, whatever their eras.
    if (Row.Version.number() != Expected.number())
      co_return CasOutcome{Row.Operation == Operation, this->answer(Row)};
    Row = {StoreVersion(++this->Counter, this->Era), std::move(Value),
           std::move(Operation)};
    const CasOutcome Outcome{true, this->answer(Row, false)};
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

  /// Remembers the rows for returnFromCopy().
  void copy() {
    this->Copy = this->Rows;
    this->CopiedCounter = this->Counter;
  }
  /// Goes back to the rows of the last copy and begins the next era.
  void returnFromCopy() {
    this->Rows = this->Copy;
    this->Counter = this->CopiedCounter;
    ++this->Era;
  }

  /// Called with the newest version in each answer, if the platform tells an
  /// era.
  std::function<void(StoreVersion)> Answered = [](StoreVersion) {};
  std::uint64_t Era = 0;  ///< 0: the answers tell none.
  bool Down = false;      ///< Whether every call on rows fails.
  bool ReadsFail = false; ///< Whether reads of rows fail, but no writes.
  bool Silent = false;    ///< Whether no call on rows is answered in time.
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
  TableRow answer(TableRow Row, bool TellsClock = true) const {
    Row.Version = StoreVersion(Row.Version.number(), this->Era);
    if (this->Era != 0)
      this->Answered(StoreVersion(this->Counter, this->Era));
    if (TellsClock)
      Row.StoreMs = this->StoreMs();
    return Row;
  }

  std::map<std::string, TableRow> Copy;
  std::uint64_t CopiedCounter = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_TESTING_MEMORYPLATFORM_H
