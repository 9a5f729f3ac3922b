// One work connection to a backend server.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H
#define AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H

#include "core/Result.h"
#include "core/Types.h"
#include "wire/Connection.h"

#include <cstdint>
#include <memory>

namespace amaranthspur {

/// A connection that has passed start-up, with what the server said of it.
struct ServerConnection {
  std::unique_ptr<Connection> Wire;
  std::uint32_t ProcessId = 0; ///< For cancel requests.
  std::uint32_t SecretKey = 0;
  LogPosition Position; ///< Last reported by the server on this connection.
  TimePoint IdleSince{};
};

/// Why a connection could not be opened.
struct ConnectFailure {
  std::string SqlState; ///< Empty if the server did not answer.
  std::string Message;
};

/// Opens a work connection and completes its start-up.
/// \param BindHost source address; empty: the system chooses.
/// \returns the connection, or the server's refusal.
QCoro::Task<std::variant<std::unique_ptr<ServerConnection>, ConnectFailure>>
openServerConnection(Address To, std::string BindHost, std::string User,
                     TimePoint Deadline);

/// Sends a cancel request for \p Target to the server at \p To.
QCoro::Task<> sendCancel(Address To, std::string BindHost,
                         std::uint32_t ProcessId, std::uint32_t SecretKey,
                         TimePoint Deadline);

/// Takes the position out of a ParameterStatus body if it is `group.position`.
/// \returns whether it was.
bool readPosition(std::string_view Body, LogPosition &Position);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_SERVERCONNECTION_H
