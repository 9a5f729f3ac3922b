// A backend server as a watcher and an owner see it.
//
// What the platform's database groups are assumed to give is behind this
// interface, so that another kind of group can take the place of the present
// one. docs/design.md, section 6, has the statements.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_BACKENDSERVER_H
#define AMARANTHSPUR_ROOT_BACKENDS_BACKENDSERVER_H

#include "core/Clock.h"
#include "core/Result.h"
#include "policy/GroupView.h"
#include "wire/Connection.h"

#include <QCoroTask>

#include <cstdint>
#include <string_view>

namespace amaranthspur {

/// The ownership lease of a server.
struct OwnerLease {
  EntryVmId Holder;
  Duration Remaining{};
};

/// Starts the message of an error that the server itself reported. The server
/// is then known to live, whatever it refused.
inline constexpr std::string_view ServerAnswered = "server answered ";

/// Control operations on one backend server. At most one call runs at a time;
/// calls fail with an error when the deadline passes or the connection is lost.
class BackendServer {
public:
  virtual ~BackendServer() = default;

  virtual const ServerId &id() const = 0;

  /// Reads the server's status over the open control connection, which is
  /// opened if there is none.
  virtual QCoro::Task<Result<ServerStatus>> status(TimePoint Deadline) = 0;

  /// Reads the status over a fresh connection, to tell a dead connection from a
  /// dead or slow server. On success the fresh connection replaces the open
  /// one.
  virtual QCoro::Task<Result<ServerStatus>> probeFresh(TimePoint Deadline) = 0;

  /// Makes the server adopt \p T; it then refuses lower terms.
  /// \returns the end of its log.
  virtual QCoro::Task<Result<LogPosition>> adoptTerm(Term T,
                                                     TimePoint Deadline) = 0;

  /// Makes the server the primary of \p T.
  virtual QCoro::Task<Result<Success>> promote(Term T, TimePoint Deadline) = 0;

  /// Makes the server replicate from \p Primary at \p From.
  virtual QCoro::Task<Result<Success>>
  follow(Term T, ServerId Primary, Address From, TimePoint Deadline) = 0;

  /// Takes or renews the ownership lease; an error if another holds it.
  virtual QCoro::Task<Result<OwnerLease>>
  acquireOwner(EntryVmId Vm, std::uint64_t Incarnation, Duration Ttl,
               TimePoint Deadline) = 0;

  /// Drops the open control connection.
  virtual void reset() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_BACKENDSERVER_H
