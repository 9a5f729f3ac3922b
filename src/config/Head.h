// The row `config/head` and the record of each accepted revision.
//
// Each revision is recorded as an object under its operation identifier before
// the row is advanced, and names the operation before it. The records reachable
// from the row are the history; a change whose answer was lost is found there,
// also after other changes have been accepted on top of it.
#ifndef AMARANTHSPUR_CONFIG_HEAD_H
#define AMARANTHSPUR_CONFIG_HEAD_H

#include "core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur::config {

/// Key of the row in the platform's table.
inline constexpr const char *HeadKey = "config/head";

/// One accepted revision.
struct Head {
  std::uint64_t Revision = 0; ///< 0: none has been accepted yet.
  std::string Hash;           ///< Of the content; names its object.
  std::string Operation;      ///< Unique identifier of the change.
  std::string Author;
  std::string AcceptedAt; ///< ISO 8601 in UTC, by the operator's clock.
  std::string Previous;   ///< Operation of the revision before; may be empty.

  bool operator==(const Head &) const = default;
};

/// Returns the JSON of \p H, for the row and for the record.
std::string formatHead(const Head &H);

/// Reads JSON that formatHead wrote; an error if a field is missing or bad. An
/// empty text is revision 0.
Result<Head> parseHead(std::string_view Text);

/// Returns the name of the object with the content of \p Hash.
std::string contentObject(std::string_view Hash);

/// Returns the name of the object that records the change \p Operation.
std::string recordObject(std::string_view Operation);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_HEAD_H
