// One TCP connection through the fault-proxy.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H

#include "testing/fault-proxy/Alarm.h"
#include "testing/fault-proxy/LinkRules.h"
#include "wire/Connection.h"

#include "core/Random.h"

#include <QByteArray>
#include <QCoroTask>
#include <QTcpSocket>

#include <deque>

namespace amaranthspur::fault {

/// Bytes that went over a link, by direction.
struct LinkStats {
  std::uint64_t Connections = 0;
  std::array<std::uint64_t, 2> Delivered{};
  std::array<std::uint64_t, 2> Swallowed{};
};

/// Carries the bytes of one client to the upstream and back, with one task for
/// each direction.
///
/// Each piece is delivered in order at its arrival time; what is on the way
/// does not hold up what is read next, so the delay does not limit throughput.
/// A direction that has swallowed bytes never delivers again on this
/// connection, since TCP never shows a gap; neither does the end of the stream
/// get through. The opening takes one round trip and waits while a direction
/// is dropped.
class LinkConnection {
public:
  LinkConnection(QTcpSocket *Client, std::string Link, Address Upstream,
                 bool AsSource, LinkRules &Rules, Alarm &Times, Random &Chance,
                 LinkStats &Stats);
  LinkConnection(const LinkConnection &) = delete;
  LinkConnection &operator=(const LinkConnection &) = delete;
  ~LinkConnection();

  /// Serves until both sides have ended.
  QCoro::Task<> run();

  /// Takes a change of the rules into account at once.
  void rulesChanged();

  /// Ends both sides with a reset.
  void reset();

private:
  struct Piece {
    TimePoint Due;
    QByteArray Bytes; ///< Empty: the end of the stream.
  };
  struct Pump {
    Direction Which;
    QTcpSocket *From;
    QTcpSocket *To;
    WaitPoint Wake;
    std::deque<Piece> OnTheWay;
    std::size_t OnTheWayBytes = 0;
    TimePoint LastDue{};
    bool Lossy = false; ///< Has swallowed bytes.
    bool EndTaken = false;
    bool Done = false;
  };

  QCoro::Task<bool> openUpstream();
  QCoro::Task<> pump(Pump &P);
  void takeIn(Pump &P);
  void deliver(Pump &P);
  bool finished(const Pump &P) const;
  std::size_t capacity() const;
  TimePoint arrival(Pump &P, std::size_t Bytes);
  void watch(QTcpSocket *Socket);
  void wakeAll();

  std::string ClientHost;
  std::string Link;
  Address Target;
  bool AsSource;
  LinkRules &Rules;
  Alarm &Times;
  Random &Chance;
  LinkStats &Stats;
  QTcpSocket *Client;
  QTcpSocket *Upstream;
  std::uint64_t Serial;
  LinkRule *Rule; ///< Looked up again after each change.
  Pump Forward;
  Pump Backward;
  WaitPoint Changed; ///< For run(): rules, sockets or pumps.
  bool Reset = false;
};

} // namespace amaranthspur::fault

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_LINKCONNECTION_H
