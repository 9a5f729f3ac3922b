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

/// A string with a type of its own, so that a caller's name cannot be passed
/// where a server's identifier is expected.
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
using DataCentre = Identifier<struct DataCentreTag>;
using Region = Identifier<struct RegionTag>;

/// The number of a reign of one primary; a promotion takes a higher one.
using Term = std::uint64_t;

/// A position in a group's replicated log. Positions are ordered by term, then
/// by index: a log that ends at a higher term is the more recent one.
struct LogPosition {
  Term TermNumber = 0;
  std::uint64_t Index = 0;

  auto operator<=>(const LogPosition &) const = default;
};

/// Returns `term.index`, or `-` for nothing, for messages and logs.
inline std::string positionText(const std::optional<LogPosition> &Position) {
  if (!Position)
    return "-";
  return std::to_string(Position->TermNumber) + "." +
         std::to_string(Position->Index);
}

/// What a backend server is in its group at present.
enum class ServerRole { Primary, Replica };

} // namespace amaranthspur

template <typename Tag> struct std::hash<amaranthspur::Identifier<Tag>> {
  std::size_t operator()(const amaranthspur::Identifier<Tag> &Id) const {
    return std::hash<std::string>{}(Id.Value);
  }
};

#endif // AMARANTHSPUR_CORE_TYPES_H
