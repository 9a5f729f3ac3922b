// Wrappers for ZeroMQ calls that a signal can interrupt.
#ifndef AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H
#define AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H

#include <cerrno>

#include <zmq.hpp>

namespace amaranthspur {

/// Calls \p Call, repeats the call while it fails with EINTR, and returns its
/// result. Non-blocking ZeroMQ calls can fail with EINTR too, because they poll
/// the socket's command queue with a system call that SA_RESTART does not
/// restart.
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

/// Returns the events that \p Socket is ready for, as a bit mask of ZMQ_POLLIN
/// and ZMQ_POLLOUT.
inline int readyEvents(const zmq::socket_t &Socket) {
  return uninterrupted([&Socket] { return Socket.get(zmq::sockopt::events); });
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_ZMQCALL_H
