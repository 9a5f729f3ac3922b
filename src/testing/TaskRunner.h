// Runs coroutine tasks to completion in a test case.
#ifndef AMARANTHSPUR_TESTING_TASKRUNNER_H
#define AMARANTHSPUR_TESTING_TASKRUNNER_H

#include <QCoreApplication>
#include <QCoroTask>
#include <QEventLoop>

#include <optional>
#include <utility>

namespace amaranthspur {

/// Returns the application object that the event loop of tasks needs. The first
/// call creates it.
inline QCoreApplication &testApplication() {
  static int Count = 1;
  static char Name[] = "test";
  static char *Arguments[] = {Name, nullptr};
  static QCoreApplication Application(Count, Arguments);
  return Application;
}

namespace detail {

template <typename T>
QCoro::Task<> storeResult(QCoro::Task<T> Work, std::optional<T> &Result,
                          QEventLoop &Loop) {
  Result.emplace(co_await Work);
  Loop.quit();
}

inline QCoro::Task<> storeEnd(QCoro::Task<> Work, bool &Ended,
                              QEventLoop &Loop) {
  co_await Work;
  Ended = true;
  Loop.quit();
}

} // namespace detail

/// Runs the event loop until \p Work is complete and returns its result.
template <typename T> T runTask(QCoro::Task<T> Work) {
  testApplication();
  std::optional<T> Result;
  QEventLoop Loop;
  detail::storeResult(std::move(Work), Result, Loop);
  if (!Result)
    Loop.exec();
  return std::move(*Result);
}

/// Runs the event loop until \p Work is complete.
inline void runTask(QCoro::Task<> Work) {
  testApplication();
  bool Ended = false;
  QEventLoop Loop;
  detail::storeEnd(std::move(Work), Ended, Loop);
  if (!Ended)
    Loop.exec();
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_TASKRUNNER_H
