// Interface for the control operations of a backend server.
//
// GroupWatcher and ServerOwner use it. Everything that the entry VM assumes
// about the platform's database groups is behind this interface, so that
// another kind of group can replace the present one. docs/design.md, section 6,
// lists the SQL statements of the present one.
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

/// Prefix of the message of an error that the server itself reported. Such an
/// error shows that the server is alive, although it refused the request.
inline constexpr std::string_view ServerAnswered = "server answered ";

/// Control operations on one backend server. At most one call may be in
/// progress at a time. A call returns an error if its deadline passes or the
/// connection is lost.
class BackendServer {
public:
  virtual ~BackendServer() = default;

  virtual const ServerId &id() const = 0;

  /// Reads the server's status over the control connection. Opens the
  /// connection first if there is none.
  virtual QCoro::Task<Result<ServerStatus>> status(TimePoint Deadline) = 0;

  /// Reads the status over a new connection, to distinguish a dead connection
  /// from a dead or slow server. On success the new connection replaces the
  /// previous one.
  virtual QCoro::Task<Result<ServerStatus>> probeFresh(TimePoint Deadline) = 0;

  /// Makes the server adopt the term \p T. From then on it refuses lower terms.
  /// \returns the end of the server's log.
  virtual QCoro::Task<Result<LogPosition>> adoptTerm(Term T,
                                                     TimePoint Deadline) = 0;

  /// Makes the server the primary of the term \p T.
  virtual QCoro::Task<Result<Success>> promote(Term T, TimePoint Deadline) = 0;

  /// Makes the server replicate in the term \p T from \p Primary, whose address
  /// is \p From.
  virtual QCoro::Task<Result<Success>>
  follow(Term T, ServerId Primary, Address From, TimePoint Deadline) = 0;

  /// Acquires or renews the ownership lease for \p Ttl.
  /// \returns an error if another entry VM holds the lease.
  virtual QCoro::Task<Result<OwnerLease>>
  acquireOwner(EntryVmId Vm, std::uint64_t Incarnation, Duration Ttl,
               TimePoint Deadline) = 0;

  /// Closes the control connection. A call in progress returns an error.
  virtual void reset() = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_BACKENDSERVER_H
