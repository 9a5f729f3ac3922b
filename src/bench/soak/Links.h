// Proxied links between entry VMs and what they call.
//
// A cut link holds bytes back until it heals. If the sender closes its
// connection meanwhile, they are still delivered at the heal, as the kernel
// does; if the sender resets it, they are lost. A new connection during a cut
// of the link's own listener does not complete until the heal.
#ifndef AMARANTHSPUR_BENCH_SOAK_LINKS_H
#define AMARANTHSPUR_BENCH_SOAK_LINKS_H

#include "core/Address.h"
#include "core/Async.h"
#include "core/Result.h"

#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthspur::bench::soak {

class LinkConnection;
class LinkListener;

/// The upstream keeps connections however long their path is cut.
inline constexpr Duration NeverDropped = Duration::max();

class Path;

/// Returns the path of a connection from the first bytes and the port of its
/// client, or null if they do not tell it yet.
using PathLookup = std::function<Path *(std::string_view, std::uint16_t)>;

/// The path of one entry VM to one thing that it calls. All its connections are
/// cut and healed together.
class Path {
public:
  /// \param Whole the path of which this is a part, and with which its
  /// connections are cut as well; null if there is none.
  explicit Path(Path *Whole = nullptr) : Whole(Whole) {}

  /// Called with the bytes that the entry VM sends, before they are forwarded;
  /// it may cut the path, which then holds these bytes back.
  std::function<void(std::string_view)> OnForward;

  /// Holds back bytes from the entry VM, to it, or both.
  void cut(bool Forward, bool Backward);
  void heal();
  bool isCut() const { return this->holds(true) || this->holds(false); }

private:
  friend class LinkConnection;
  friend class LinkListener;
  void wakeAll();
  bool holds(bool Forward) const;
  TimePoint cutSince() const;

  Path *Whole;
  bool HoldForward = false;
  bool HoldBackward = false;
  TimePoint CutAt{};
  std::set<LinkConnection *> Connections;
  LinkListener *Listener = nullptr; ///< Only if it serves this path alone.
};

/// Forwards the bytes of one connection, in one task.
class LinkConnection {
public:
  /// Takes ownership of \p Client, a connected descriptor.
  LinkConnection(int Client, Address Upstream);
  LinkConnection(const LinkConnection &) = delete;
  LinkConnection &operator=(const LinkConnection &) = delete;
  ~LinkConnection();

  /// Forwards until both directions have ended.
  /// \param From port of the client.
  /// \param DropAfter time for which the upstream keeps the connection while
  /// the path is cut.
  QCoro::Task<> run(PathLookup FindPath, std::uint16_t From,
                    Duration DropAfter);

  /// Resets both connections.
  void reset();

private:
  friend class Path;

  /// One direction.
  struct Half {
    int *From = nullptr;
    int *To = nullptr;
    std::string Held;
    bool Ended = false;  ///< The sender closed its side.
    bool Reset = false;  ///< The sender reset the connection.
    bool Closed = false; ///< The end was passed on.
  };

  bool openUpstream();
  void read(Half &H, bool Forward);
  void deliver(Half &H, bool Hold);
  void dropUpstream();
  void watch();

  Address Upstream;
  int Client = -1;
  int Server = -1;
  Half Forward;
  Half Backward;
  Path *Owner = nullptr;
  std::unique_ptr<QSocketNotifier> ClientReadable;
  std::unique_ptr<QSocketNotifier> ServerReadable;
  WaitPoint Changed;
  bool Ended = false;
  bool Dropped = false; ///< The upstream gave the connection up.
};

/// Accepts connections for one upstream.
class LinkListener {
public:
  /// \param Host loopback address to listen on.
  /// \param Sole the path of all connections; null if FindPath tells it.
  /// \param FindPath see LinkConnection::run(); not used with \p Sole.
  /// \param DropAfter see LinkConnection::run().
  LinkListener(TaskGroup &Tasks, const std::string &Host, Address Upstream,
               Path *Sole, PathLookup FindPath, Duration DropAfter);
  LinkListener(const LinkListener &) = delete;
  LinkListener &operator=(const LinkListener &) = delete;
  ~LinkListener();

  /// Returns whether listening has succeeded.
  bool valid() const { return this->Descriptor >= 0; }
  Address address() const { return this->Own; }

  /// Refuses new connections, as the kernel does for a process that has ended,
  /// or accepts them again at the same address.
  void setRefusing(bool Refusing);
  /// Makes new connections hang, or accepts them again.
  void setHanging(bool Hanging);
  /// Stops listening and resets all connections.
  void stop();

private:
  bool listenAtOwn();
  void stopListening();
  void accept();
  QCoro::Task<> serve(int Client, std::uint16_t From);

  TaskGroup &Tasks;
  Address Own;
  Address Upstream;
  Path *Sole;
  PathLookup FindPath;
  Duration DropAfter;
  int Descriptor = -1;
  std::unique_ptr<QSocketNotifier> Acceptable;
  std::vector<int> Fillers; ///< Connections of our own that fill the queue.
  std::set<std::uint16_t> FillerPorts;
  std::set<LinkConnection *> Connections;
};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_LINKS_H
