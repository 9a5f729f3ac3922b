// Tables of names for enumerations.
//
// Every `enum class` of the project specialises EnumNames with one table. Logs,
// metrics, settings and error texts all take the name from that table, so that
// a value is spelled the same everywhere.
#ifndef AMARANTHSPUR_CORE_NAMES_H
#define AMARANTHSPUR_CORE_NAMES_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthspur {

/// The table of names of the enumeration \p E.
///
/// A specialisation has one static constexpr member `Entries`, an array of
/// std::pair<E, std::string_view> that lists every enumerator once.
template <typename E> struct EnumNames;

/// Returns the name of \p Value; "unknown" for a value outside the table.
/// Linear in the number of enumerators.
template <typename E> constexpr std::string_view nameOf(E Value) {
  for (const auto &Entry : EnumNames<E>::Entries)
    if (Entry.first == Value)
      return Entry.second;
  return "unknown";
}

/// Returns the value that is spelled exactly \p Text, or nothing.
template <typename E>
constexpr std::optional<E> parseName(std::string_view Text) {
  for (const auto &Entry : EnumNames<E>::Entries)
    if (Entry.second == Text)
      return Entry.first;
  return std::nullopt;
}

/// Returns all names of \p E, separated by ", ", for error texts and help.
template <typename E> std::string allNames() {
  std::string Names;
  for (const auto &Entry : EnumNames<E>::Entries) {
    if (!Names.empty())
      Names += ", ";
    Names += Entry.second;
  }
  return Names;
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_NAMES_H
