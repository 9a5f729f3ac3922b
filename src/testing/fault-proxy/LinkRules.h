// The rules that decide which faults apply to which connections.
#ifndef AMARANTHSPUR_TESTING_FAULT_PROXY_LINKRULES_H
#define AMARANTHSPUR_TESTING_FAULT_PROXY_LINKRULES_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Result.h"

#include <QByteArray>

#include <array>
#include <cstdint>
#include <list>
#include <string>

namespace amaranthspur::fault {

/// A direction of a connection; Forward is from the client to the upstream.
enum class Direction { Forward, Backward };

/// The commands of the control port.
enum class CommandKind { Set, Clear, Stats };

/// The faults of all connections whose client address starts with From and
/// whose link name starts with To.
struct LinkRule {
  std::string From;
  std::string To;
  Duration Delay{};    ///< In each direction.
  Duration Jitter{};   ///< Maximum of a uniform random extra delay.
  bool Cut = false;    ///< Connections are closed with a reset.
  bool Silent = false; ///< Connections that are already open lose all bytes.
  bool DropForward = false;
  bool DropBackward = false;
  std::uint64_t BandwidthKbit = 0; ///< In each direction; 0: unlimited.
  /// Set by LinkRules; connections with a lower serial were opened before this
  /// rule was set.
  std::uint64_t Serial = 0;
  /// The time at which each direction has sent all bytes that occupy its
  /// bandwidth.
  std::array<TimePoint, 2> FreeAt{};

  bool matches(const std::string &Client, const std::string &Link) const {
    return Client.starts_with(this->From) && Link.starts_with(this->To);
  }

  /// Returns whether bytes of a connection are discarded.
  /// \param Opened the serial of the connection.
  bool discards(Direction Which, std::uint64_t Opened) const {
    const bool Dropped =
        Which == Direction::Forward ? this->DropForward : this->DropBackward;
    return Dropped || (this->Silent && Opened < this->Serial);
  }

  /// Returns when \p Bytes that are sent at \p Now arrive, without jitter, and
  /// reserves the bandwidth for them.
  TimePoint arrival(Direction Which, std::size_t Bytes, TimePoint Now);
};

/// A request on the control port.
struct Command {
  CommandKind Kind = CommandKind::Stats;
  LinkRule Rule; ///< Used by Set only.
};

/// Parses one JSON line. Fields that a `set` omits are 0, false or empty. An
/// unknown field is an error, because otherwise a test would rely on a fault
/// that is not in force.
Result<Command> parseCommand(const QByteArray &Line);

/// The rules in force. Pointers to a rule stay valid until clear(); replacing a
/// rule keeps its address.
class LinkRules {
public:
  /// Adds \p Rule, replacing an existing rule with the same From and To.
  void set(LinkRule Rule);

  /// Removes all rules.
  void clear() { this->Rules.clear(); }

  /// Returns the rule for a connection: among the matching rules the one with
  /// the longest To, then the longest From; null if none matches.
  LinkRule *find(const std::string &Client, const std::string &Link);

  /// Returns the serial for a connection that is opened now.
  std::uint64_t nextSerial() { return ++this->LastSerial; }

private:
  std::list<LinkRule> Rules;
  std::uint64_t LastSerial = 0;
};

} // namespace amaranthspur::fault

namespace amaranthspur {

template <> struct EnumNames<fault::Direction> {
  static constexpr auto Entries =
      std::to_array<std::pair<fault::Direction, std::string_view>>(
          {{fault::Direction::Forward, "forward"},
           {fault::Direction::Backward, "backward"}});
};

template <> struct EnumNames<fault::CommandKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<fault::CommandKind, std::string_view>>(
          {{fault::CommandKind::Set, "set"},
           {fault::CommandKind::Clear, "clear"},
           {fault::CommandKind::Stats, "stats"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_FAULT_PROXY_LINKRULES_H
