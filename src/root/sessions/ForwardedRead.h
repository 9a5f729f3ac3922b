// Reads that one entry VM runs for another one of its data centre.
//
// Only reads outside transactions that have a floor are forwarded. Such a read
// may run on any server that holds the floor, changes nothing and may run
// twice, so a forwarder that is lost or suspended costs time only.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDREAD_H
#define AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDREAD_H

#include "policy/Statement.h"
#include "root/groups/ServerPool.h"

#include <QCoroTask>

#include <optional>
#include <string>

namespace amaranthspur {

/// A read as it is forwarded.
struct ForwardedRead {
  ServiceName Service;
  Statement Read;
  LogPosition Floor;       ///< The server's log must reach it.
  WorkspaceName Workspace; ///< Of the caller; empty for none.
  SessionSettingValues Values;
  std::optional<PreparedStatement> Prepared; ///< For Execute.
  unsigned Urgency = 0;
  Duration Remaining{};        ///< Time until the answer is due.
  Duration DispatchIn{};       ///< Time within which it must be dispatched.
  Duration QueuedDispatchIn{}; ///< The same while the pool is active.
};

/// The answer to a forwarded read and what happened to it.
struct ForwardedAnswer {
  Answer Given;
  ServerId LastServer;
  unsigned Attempts = 0;
  bool Dispatched = false;
  std::string Trail; ///< Failed attempts, as in StatementContext.
  EntryVmId Forwarder;
};

/// Forwards reads to other entry VMs.
class ReadForwarding {
public:
  virtual ~ReadForwarding() = default;

  /// Returns whether reads of \p Service by \p Of, which is empty for no
  /// workspace, go to another entry VM now.
  virtual bool isForwarded(const ServiceName &Service,
                           const WorkspaceName &Of) const = 0;
  /// Returns whether this entry VM is the home of \p Service and \p Of now.
  virtual bool isHome(const ServiceName &Service,
                      const WorkspaceName &Of) const = 0;
  /// Forwards \p Read and waits for the answer.
  /// \returns nothing if the read has to be run here, because no forwarder
  /// answered.
  virtual QCoro::Task<std::optional<ForwardedAnswer>>
  forward(ForwardedRead Read) = 0;
};

/// Runs the reads that other entry VMs have forwarded.
class ForwardedReadRunner {
public:
  virtual ~ForwardedReadRunner() = default;

  /// Runs \p Read here.
  /// \returns nothing if the service is not known here.
  virtual QCoro::Task<std::optional<ForwardedAnswer>>
  run(ForwardedRead Read) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDREAD_H
