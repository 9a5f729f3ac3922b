// Results of coroutines.
#ifndef AMARANTHSPUR_BENCH_FAILURE_H
#define AMARANTHSPUR_BENCH_FAILURE_H

#include "core/Result.h"

#include <string>
#include <utility>

namespace amaranthspur::bench {

/// Returns an Error with \p Message.
///
/// Coroutines use this in place of Error{...}: GCC 12.2 lays out the frame of a
/// coroutine wrongly that has `co_return Result<T>(Error{...})`, and the first
/// resumption crashes.
inline Error failed(std::string Message) { return Error{std::move(Message)}; }

/// Returns the result of a coroutine that gives no value. With a plain
/// `co_return Success()` QCoro 0.8 takes the std::monostate for its own mark of
/// "no value yet" and throws in the task that waits.
inline Result<Success> done() { return Success(); }

} // namespace amaranthspur::bench

#endif // AMARANTHSPUR_BENCH_FAILURE_H
