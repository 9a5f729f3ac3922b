// Connections to backend servers in the platform's line protocol.
#ifndef AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
#define AMARANTHSPUR_PLATFORM_LINESERVERLINK_H

#include "root/groups/ServerLink.h"

#include <string>

namespace amaranthspur {

/// Opens line connections.
class LineServerConnector final : public ServerConnector {
public:
  /// \param Self name under which servers see this entry VM.
  explicit LineServerConnector(EntryVmId Self) : Self(std::move(Self)) {}

  QCoro::Task<OpenedLink> open(RegisteredServer Server,
                               TimePoint Deadline) override;

private:
  EntryVmId Self;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
