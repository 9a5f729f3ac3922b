// The event loop that the test programs share.
#ifndef AMARANTHSPUR_TESTING_FAKEPLATFORM_TESTAPPLICATION_H
#define AMARANTHSPUR_TESTING_FAKEPLATFORM_TESTAPPLICATION_H

#include <QCoreApplication>

namespace amaranthspur {

/// Returns the only QCoreApplication of the test program. Creating a second one
/// in the same process would lose the timers that tasks have already started.
inline QCoreApplication &testApplication() {
  static int Argc = 1;
  static char Name[] = "test";
  static char *Argv[] = {Name, nullptr};
  static QCoreApplication App(Argc, Argv);
  return App;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_FAKEPLATFORM_TESTAPPLICATION_H
