// Runs forwarded reads with this entry VM's groups and connections.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_LOCALREADS_H
#define AMARANTHSPUR_ROOT_SESSIONS_LOCALREADS_H

#include "root/groups/GroupRegistry.h"
#include "root/sessions/ForwardedRead.h"

namespace amaranthspur {

/// The forwarder's side of a forwarded read.
class LocalReads final : public ForwardedReadRunner {
public:
  /// \p Groups must outlive the object.
  explicit LocalReads(const GroupRegistry &Groups) : Groups(Groups) {}

  QCoro::Task<std::optional<ForwardedAnswer>> run(ForwardedRead Read) override;

private:
  const GroupRegistry &Groups;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_LOCALREADS_H
