// Reads the registrations of backend servers directly from the platform's
// store, past the relay and its cache.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_STOREDREGISTRATIONS_H
#define AMARANTHSPUR_ROOT_DIRECTORY_STOREDREGISTRATIONS_H

#include "platform/Platform.h"
#include "root/groups/GroupMonitor.h"

namespace amaranthspur {

/// The registrations in the platform's store. A read takes one call to the
/// store for each 500 registered servers.
class StoredRegistrations final : public ServerRegistrations {
public:
  /// \param Store must outlive this object.
  explicit StoredRegistrations(TableFeed &Store) : Store(Store) {}

  QCoro::Task<Result<std::vector<RegisteredServer>>>
  read(ServiceName Service, TimePoint Deadline) override;

private:
  TableFeed &Store;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_STOREDREGISTRATIONS_H
