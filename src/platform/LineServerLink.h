// Connections to backend servers in the platform's line protocol.
#ifndef AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
#define AMARANTHSPUR_PLATFORM_LINESERVERLINK_H

#include "core/AbandonedCall.h"
#include "root/groups/ServerLink.h"

#include <string>

namespace amaranthspur {

/// Opens connections that speak the line protocol.
class LineServerConnector final : public ServerConnector {
public:
  /// \param Self name with which this entry VM connects to servers.
  /// \param Observer is told of calls to servers that were given up. May be
  /// null; otherwise it must outlive the connections.
  explicit LineServerConnector(EntryVmId Self,
                               AbandonedCallObserver *Observer = nullptr)
      : Self(std::move(Self)), Observer(Observer) {}

  QCoro::Task<OpenedLink> open(RegisteredServer Server, WorkspaceName For,
                               TimePoint Deadline) override;

private:
  EntryVmId Self;
  AbandonedCallObserver *Observer;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINESERVERLINK_H
