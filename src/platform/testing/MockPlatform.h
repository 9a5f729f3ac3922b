// Mock of Platform for tests that set the result of each call.
#ifndef AMARANTHSPUR_PLATFORM_TESTING_MOCKPLATFORM_H
#define AMARANTHSPUR_PLATFORM_TESTING_MOCKPLATFORM_H

#include "platform/Platform.h"

#include <trompeloeil.hpp>

namespace amaranthspur {

/// Trompeloeil mock of Platform.
class MockPlatform final : public Platform {
public:
  MAKE_MOCK2(readRow, QCoro::Task<Result<TableRow>>(std::string, TimePoint),
             override);
  MAKE_MOCK5(compareAndSet,
             QCoro::Task<Result<CasOutcome>>(std::string, StoreVersion,
                                             std::string, std::string,
                                             TimePoint),
             override);
  MAKE_MOCK3(putObject,
             QCoro::Task<Result<Success>>(std::string, std::string, TimePoint),
             override);
  MAKE_MOCK2(getObject,
             QCoro::Task<Result<std::optional<std::string>>>(std::string,
                                                             TimePoint),
             override);
  MAKE_MOCK1(listVms, QCoro::Task<Result<std::vector<PlatformVm>>>(TimePoint),
             override);
};

/// Returns a task that has already completed with \p Value.
template <typename T> QCoro::Task<Result<T>> completedTask(Result<T> Value) {
  co_return Value;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_TESTING_MOCKPLATFORM_H
