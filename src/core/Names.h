// Tables of names for enumerations.
//
// Every `enum class` of the project has one table of names, a specialisation of
// EnumNames. Logs, metrics, settings and error texts take the name from this
// table, so that a value has the same name everywhere.
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

/// Returns the name of \p Value, or "unknown" if the table does not contain it.
/// Linear in the number of enumerators.
template <typename E> constexpr std::string_view nameOf(E Value) {
  for (const auto &Entry : EnumNames<E>::Entries)
    if (Entry.first == Value)
      return Entry.second;
  return "unknown";
}

/// Returns the value whose name is exactly \p Text, or nothing.
template <typename E>
constexpr std::optional<E> parseName(std::string_view Text) {
  for (const auto &Entry : EnumNames<E>::Entries)
    if (Entry.second == Text)
      return Entry.first;
  return std::nullopt;
}

/// Returns all names of \p E, separated by ", ", for error and help texts.
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
