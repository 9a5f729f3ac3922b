// Connections to backend servers in the platform's line protocol.
#ifndef AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
#define AMARANTHSPUR_PLATFORM_LINESERVERLINK_H

#include "root/groups/ServerLink.h"

#include <string>

namespace amaranthspur {

/// Opens connections that speak the line protocol.
class LineServerConnector final : public ServerConnector {
public:
  /// \param Self name with which this entry VM connects to servers.
  explicit LineServerConnector(EntryVmId Self) : Self(std::move(Self)) {}

  QCoro::Task<OpenedLink> open(RegisteredServer Server,
                               TimePoint Deadline) override;

private:
  EntryVmId Self;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
