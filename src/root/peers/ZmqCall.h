// Calls of ZeroMQ in a process that handles signals.
#ifndef AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H
#define AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H

#include <cerrno>

#include <zmq.hpp>

namespace amaranthspur {

/// Returns what \p Call returns, and calls it again while a signal interrupts
/// it. Calls that never wait are interrupted too: they poll the socket's
/// command queue with a system call that SA_RESTART does not restart.
template <typename Function> auto uninterrupted(Function Call) {
  for (;;) {
    try {
      return Call();
    } catch (const zmq::error_t &E) {
      if (E.num() != EINTR)
        throw;
    }
  }
}

/// Returns the events that \p Socket is ready for (ZMQ_POLLIN, ZMQ_POLLOUT).
inline int readyEvents(const zmq::socket_t &Socket) {
  return uninterrupted([&Socket] { return Socket.get(zmq::sockopt::events); });
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H
