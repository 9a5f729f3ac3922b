// A work connection to a backend server: one that runs callers' statements.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H
#define AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H

#include "core/Result.h"
#include "core/Types.h"
#include "wire/Connection.h"

#include <cstdint>
#include <memory>

namespace amaranthspur {

/// A connection whose start-up is complete, with the parameters that the server
/// reported for it.
struct ServerConnection {
  std::unique_ptr<Connection> Wire;
  std::uint32_t ProcessId = 0; ///< Identifies the session in cancel requests.
  std::uint32_t SecretKey = 0;
  LogPosition Position;  ///< Last position reported on this connection.
  TimePoint IdleSince{}; ///< Set when the connection becomes idle.
};

/// Why a connection could not be opened.
struct ConnectFailure {
  std::string SqlState; ///< Empty if the server did not answer.
  std::string Message;
};

/// Opens a work connection and completes its start-up.
/// \param BindHost source address; if empty, the system chooses it.
/// \returns the connection, or why it could not be opened.
QCoro::Task<std::variant<std::unique_ptr<ServerConnection>, ConnectFailure>>
openServerConnection(Address To, std::string BindHost, std::string User,
                     TimePoint Deadline);

/// Sends a cancel request for the session \p ProcessId with \p SecretKey to the
/// server at \p To. Returns when the server has closed the connection or
/// \p Deadline has passed.
QCoro::Task<> sendCancel(Address To, std::string BindHost,
                         std::uint32_t ProcessId, std::uint32_t SecretKey,
                         TimePoint Deadline);

/// Parses the body of a ParameterStatus frame. If the parameter is
/// `group.position` and its value is valid, stores the value in \p Position.
/// \returns whether the position was stored.
bool parsePositionParameter(std::string_view Body, LogPosition &Position);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H
