// One TCP connection through the fault-proxy.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H

#include "testing/fault-proxy/LinkRules.h"
#include "testing/fault-proxy/WakeupTimer.h"
#include "wire/Connection.h"

#include "core/Random.h"

#include <QByteArray>
#include <QCoroTask>
#include <QTcpSocket>

#include <deque>

namespace amaranthspur::fault {

/// Traffic of a link. The arrays are indexed by Direction and count bytes.
struct LinkStats {
  std::uint64_t Connections = 0;
  std::array<std::uint64_t, 2> Delivered{};
  std::array<std::uint64_t, 2> Discarded{};
};

/// Forwards the bytes between one client and the upstream, with one task for
/// each direction.
///
/// Chunks are delivered in order, each at its arrival time. Reading continues
/// while earlier chunks are in flight, so the delay does not limit throughput.
/// A direction that has discarded bytes delivers nothing more on this
/// connection, not even the end of the stream, since a TCP stream never has a
/// gap. Opening the upstream connection takes one round trip and waits while a
/// rule drops either direction.
class LinkConnection {
public:
  LinkConnection(QTcpSocket *Client, std::string Link, Address Upstream,
                 bool AsSource, LinkRules &Rules, WakeupTimer &Timer,
                 Random &Generator, LinkStats &Stats);
  LinkConnection(const LinkConnection &) = delete;
  LinkConnection &operator=(const LinkConnection &) = delete;
  ~LinkConnection();

  /// Forwards until both directions have finished.
  QCoro::Task<> run();

  /// Applies a change of the rules immediately.
  void rulesChanged();

  /// Closes both sockets with a TCP reset.
  void reset();

private:
  /// Bytes in flight in one direction.
  struct Chunk {
    TimePoint Due;
    QByteArray Bytes; ///< Empty for the end of the stream.
  };
  /// The state of one direction.
  struct Pump {
    Direction Which;
    QTcpSocket *From;
    QTcpSocket *To;
    WaitPoint Wake;
    std::deque<Chunk> InFlight;
    std::size_t InFlightBytes = 0;
    TimePoint LastDue{};
    bool HasDiscarded = false; ///< Whether bytes were discarded.
    bool EndOfStreamRead = false;
    bool Done = false;
  };

  QCoro::Task<bool> openUpstream();
  QCoro::Task<> pump(Pump &P);
  /// Reads what the source has sent, and queues or discards it.
  void readSource(Pump &P);
  /// Writes the chunks that are due, as far as the destination accepts them.
  void deliver(Pump &P);
  bool finished(const Pump &P) const;
  /// Returns how many bytes may be in flight in one direction.
  std::size_t capacity() const;
  /// Returns when \p Bytes that are read now arrive at the destination.
  TimePoint arrival(Pump &P, std::size_t Bytes);
  void watch(QTcpSocket *Socket);
  void wakeAll();

  std::string ClientHost;
  std::string Link;
  Address Target;
  bool AsSource;
  LinkRules &Rules;
  WakeupTimer &Timer;
  Random &Generator;
  LinkStats &Stats;
  QTcpSocket *Client;
  QTcpSocket *Upstream;
  std::uint64_t Serial;
  LinkRule *Rule; ///< Null if none matches; found again after each change.
  Pump Forward;
  Pump Backward;
  WaitPoint Changed; ///< Wakes run() when rules, sockets or pumps change.
  bool Reset = false;
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H
