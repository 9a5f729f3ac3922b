// A TCP listener for tests of calls that get no answer.
#ifndef AMARANTHSPUR_TESTING_HELDLISTENER_H
#define AMARANTHSPUR_TESTING_HELDLISTENER_H

#include "core/Address.h"

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthspur {

/// Listens on a loopback port. Connections are opened by the kernel, and their
/// bytes stay unread until a function of this class reads them, as if they were
/// held up on their way. No function blocks.
class HeldListener {
public:
  HeldListener() : Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(At);
    auto *Name = reinterpret_cast<sockaddr *>(&At);
    const bool IsOpen = ::bind(this->Listener, Name, Size) == 0 &&
                        ::listen(this->Listener, 8) == 0 &&
                        ::getsockname(this->Listener, Name, &Size) == 0;
    this->Port = IsOpen ? ntohs(At.sin_port) : 0;
  }
  HeldListener(const HeldListener &) = delete;
  HeldListener &operator=(const HeldListener &) = delete;
  ~HeldListener() {
    ::close(this->Listener);
    this->closeConnection();
  }

  Address address() const { return {"127.0.0.1", this->Port}; }

  /// Takes the next connection if one has been opened, and drops the one
  /// before.
  bool acceptNext() {
    pollfd Incoming{this->Listener, POLLIN, 0};
    if (::poll(&Incoming, 1, 0) != 1)
      return false;
    this->closeConnection();
    this->Connection = ::accept(this->Listener, nullptr, nullptr);
    return true;
  }

  /// Returns whether there are unread bytes on the connection.
  bool holdsBytes() const {
    pollfd Bytes{this->Connection, POLLIN, 0};
    return this->Connection >= 0 && ::poll(&Bytes, 1, 0) == 1;
  }

  /// Reads what has arrived on the connection.
  /// \returns the bytes. status() tells whether the connection has ended.
  std::string read() {
    std::string All;
    std::array<char, 4096> Buffer{};
    while (true) {
      const ssize_t Read =
          ::recv(this->Connection, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      this->Status = Read < 0 ? errno : 0;
      if (Read <= 0)
        break;
      All.append(Buffer.data(), static_cast<std::size_t>(Read));
    }
    return All;
  }

  /// Returns how the last read() ended: 0 if the peer has closed the
  /// connection, EAGAIN if it is open, or the error that ended it.
  int status() const { return this->Status; }

  void write(std::string_view Bytes) const {
    ::send(this->Connection, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  void closeConnection() {
    if (this->Connection >= 0)
      ::close(this->Connection);
    this->Connection = -1;
  }

private:
  int Listener;
  int Connection = -1;
  std::uint16_t Port = 0;
  int Status = EAGAIN;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_HELDLISTENER_H
