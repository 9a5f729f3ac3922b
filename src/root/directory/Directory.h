// The configuration in force on this entry VM.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_DIRECTORY_H
#define AMARANTHSPUR_ROOT_DIRECTORY_DIRECTORY_H

#include "policy/Configuration.h"

#include <functional>
#include <memory>
#include <vector>

namespace amaranthspur {

/// Holds the configuration in force and notifies its listeners of each change.
/// Invariant: the revision never decreases.
class Directory {
public:
  virtual ~Directory() = default;

  /// Returns the configuration in force. It is never null; its revision is 0
  /// before the first one is known.
  virtual std::shared_ptr<const Configuration> current() const = 0;

  /// Calls \p Listener after every change. Listeners are never removed.
  virtual void listen(std::function<void()> Listener) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_DIRECTORY_H
