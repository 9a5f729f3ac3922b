// Measures how long requests of other entry VMs were under way, to refuse those
// that have become too old.
//
// A request can wait in a socket while its sender, its receiver or the network
// between them is suspended or cut off, and its sender gives it up meanwhile. A
// write must then not run any more. The clocks of two entry VMs are not
// synchronised, so the delay is measured against the fastest recent request of
// the same connection: the time of receipt minus the time of sending, each by
// the boot clock of its own machine, is the delay plus a constant. Without an
// earlier request the delay is not known.
#ifndef AMARANTHSPUR_POLICY_REQUESTDELAYS_H
#define AMARANTHSPUR_POLICY_REQUESTDELAYS_H

#include "core/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace amaranthspur {

/// The delays of the requests of all connections.
class RequestDelays {
public:
  /// A request counts as the fastest one for one to two of these times. Clocks
  /// that differ by 100 ppm move apart by 12 ms within two of them.
  static constexpr Duration Window = std::chrono::seconds(60);
  /// Most connections that are remembered. Each entry VM of the deployment has
  /// at most one, and a second one for a short time after a failure.
  static constexpr std::size_t MaxConnections = 10000;

  /// Records a request of \p Connection.
  /// \param SentAt reading of the sender's boot clock.
  /// \param ReceivedAt boot clock of this machine.
  /// \returns how much longer it was under way than the fastest recent request
  /// of the connection; nothing if there was none before.
  std::optional<Duration> observe(const std::string &Connection,
                                  Duration SentAt, TimePoint ReceivedAt);

  std::size_t connections() const { return this->Known.size(); }

private:
  /// Least difference of receipt and sending in this window and the last one.
  struct Offsets {
    Duration Current;
    Duration Previous;
    TimePoint Since; ///< Start of the window of Current.
  };

  /// Forgets connections without a recent request.
  void prune(TimePoint Now);

  std::map<std::string, Offsets> Known;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_REQUESTDELAYS_H
