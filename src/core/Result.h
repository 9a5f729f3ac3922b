// Results of functions that can fail.
#ifndef AMARANTHSPUR_CORE_RESULT_H
#define AMARANTHSPUR_CORE_RESULT_H

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace amaranthspur {

/// A failure that the caller of a function must handle.
struct Error {
  std::string Message; ///< Names the input that caused the failure.
};

/// Either a value or an Error.
template <typename T> using Result = std::variant<T, Error>;

/// The value of a function that returns nothing but can fail. std::monostate
/// cannot be used for this: QCoro stores the result of a task in a variant
/// whose empty state is std::monostate, so that a task that returned one would
/// appear to have no result.
struct Success {
  bool operator==(const Success &) const = default;
};

/// Returns whether \p R holds a value.
template <typename T> bool succeeded(const Result<T> &R) {
  return std::holds_alternative<T>(R);
}

/// Returns the value of \p R. \pre succeeded(R).
template <typename T> T &valueOf(Result<T> &R) {
  assert(succeeded(R) && "no value: the result is an error");
  return *std::get_if<T>(&R);
}
template <typename T> const T &valueOf(const Result<T> &R) {
  assert(succeeded(R) && "no value: the result is an error");
  return *std::get_if<T>(&R);
}
template <typename T> T valueOf(Result<T> &&R) {
  assert(succeeded(R) && "no value: the result is an error");
  return std::move(*std::get_if<T>(&R));
}

/// Returns the error text of \p R. \pre !succeeded(R).
template <typename T> const std::string &errorOf(const Result<T> &R) {
  assert(!succeeded(R) && "no error: the result is a value");
  return std::get_if<Error>(&R)->Message;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_RESULT_H
