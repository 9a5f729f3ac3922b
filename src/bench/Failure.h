// Helpers for returning results from coroutines.
#ifndef AMARANTHSPUR_BENCH_FAILURE_H
#define AMARANTHSPUR_BENCH_FAILURE_H

#include "core/Result.h"

#include <string>
#include <utility>

namespace amaranthspur::bench {

/// Returns an Error with \p Message.
///
/// Coroutines use this function instead of Error{...} because GCC 12.2 lays out
/// the frame of a coroutine that contains `co_return Result<T>(Error{...})`
/// incorrectly, and the coroutine crashes when it is first resumed.
inline Error makeError(std::string Message) {
  return Error{std::move(Message)};
}

/// Returns the success result of a coroutine that has no value. With a plain
/// `co_return Success()`, QCoro 0.8 mistakes the std::monostate for its own "no
/// value yet" state and throws in the awaiting task.
inline Result<Success> makeSuccess() { return Success(); }

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_FAILURE_H
