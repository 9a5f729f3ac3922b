// Which faults apply to which connections.
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

/// The two directions of a connection.
enum class Direction { Forward, Backward };

/// What the control port is asked to do.
enum class CommandKind { Set, Clear, Stats };

/// Faults of the connections whose client address starts with From and whose
/// link name starts with To.
struct LinkRule {
  std::string From;
  std::string To;
  Duration Delay{};  ///< One way.
  Duration Jitter{}; ///< Largest addition to the delay; uniform.
  bool Cut = false;
  bool Silent = false;
  bool DropForward = false;
  bool DropBackward = false;
  std::uint64_t BandwidthKbit = 0; ///< Each way; 0: unlimited.
  /// Set by the table: connections with a lower serial were open before.
  std::uint64_t Serial = 0;
  /// When the bandwidth is free again, for each direction.
  std::array<TimePoint, 2> FreeAt{};

  bool matches(const std::string &Client, const std::string &Link) const {
    return Client.starts_with(this->From) && Link.starts_with(this->To);
  }

  /// Returns whether bytes of a connection are swallowed.
  /// \param Opened serial of the connection.
  bool swallows(Direction Which, std::uint64_t Opened) const {
    const bool Dropped =
        Which == Direction::Forward ? this->DropForward : this->DropBackward;
    return Dropped || (this->Silent && Opened < this->Serial);
  }

  /// Returns when \p Bytes that are sent at \p Now arrive, without jitter, and
  /// occupies the bandwidth.
  TimePoint arrival(Direction Which, std::size_t Bytes, TimePoint Now);
};

/// A request on the control port.
struct Command {
  CommandKind Kind = CommandKind::Stats;
  LinkRule Rule; ///< Of Set.
};

/// Parses one JSON line. Fields of a set that are left out are 0, false or
/// empty; an unknown field is an error, because it would be a fault that a
/// test believes to be there.
Result<Command> parseCommand(const QByteArray &Line);

/// The rules in force. Rules keep their address until they are replaced or
/// cleared.
class LinkRules {
public:
  /// Adds \p Rule, in place of the one with the same From and To.
  void set(LinkRule Rule);

  /// Removes all rules.
  void clear() { this->Rules.clear(); }

  /// Returns the rule for a connection: of those that match the one with the
  /// longest To, then the longest From; null if none matches.
  LinkRule *find(const std::string &Client, const std::string &Link);

  /// Returns the serial for a connection that opens now.
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
