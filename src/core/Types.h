// Identifiers and log positions.
#ifndef AMARANTHSPUR_CORE_TYPES_H
#define AMARANTHSPUR_CORE_TYPES_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace amaranthspur {

/// A string with a distinct type for each kind of identifier, so that, for
/// example, the name of a caller cannot be passed as the identifier of a
/// server.
template <typename Tag> struct Identifier {
  std::string Value;

  Identifier() = default;
  explicit Identifier(std::string Text) : Value(std::move(Text)) {}

  const std::string &str() const { return this->Value; }
  bool empty() const { return this->Value.empty(); }
  auto operator<=>(const Identifier &) const = default;
};

using ServiceName = Identifier<struct ServiceTag>;
using ServerId = Identifier<struct ServerTag>;
using EntryVmId = Identifier<struct EntryVmTag>;
using CallerName = Identifier<struct CallerTag>;
using ClassName = Identifier<struct ClassTag>;
using WorkspaceName = Identifier<struct WorkspaceTag>;
using DataCentre = Identifier<struct DataCentreTag>;
using Region = Identifier<struct RegionTag>;

/// The number of the period in which one server is the primary of its group.
/// Each promotion starts a higher term.
using Term = std::uint64_t;

/// A position in the replicated log of a group. Positions are ordered by term
/// and then by index, so a log that ends in a higher term is more recent.
struct LogPosition {
  Term TermNumber = 0;
  std::uint64_t Index = 0;

  auto operator<=>(const LogPosition &) const = default;
};

/// Returns `term.index`, or `-` if there is no position. The text is used in
/// messages and logs.
inline std::string positionText(const std::optional<LogPosition> &Position) {
  if (!Position)
    return "-";
  return std::to_string(Position->TermNumber) + "." +
         std::to_string(Position->Index);
}

/// The current role of a backend server in its group.
enum class ServerRole { Primary, Replica };

} // namespace amaranthspur

template <typename Tag> struct std::hash<amaranthspur::Identifier<Tag>> {
  std::size_t operator()(const amaranthspur::Identifier<Tag> &Id) const {
    return std::hash<std::string>{}(Id.Value);
  }
};

#endif // AMARANTHSPUR_CORE_TYPES_H
