// The row `config/head` and the record of each accepted revision.
//
// The row holds the newest revision. Before a change updates the row, it stores
// a record of its revision as an object that is named after its operation
// identifier. Each record names the operation of the previous revision, so the
// records form a linked list from the row back to the first revision: the
// history. If the response to a change is lost, the change can be found in the
// history, even after later changes have been accepted.
#ifndef AMARANTHSPUR_CONFIG_HEAD_H
#define AMARANTHSPUR_CONFIG_HEAD_H

#include "core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur::config {

/// Key of the row in the platform's key-value table.
inline constexpr const char *HeadKey = "config/head";

/// One accepted revision, as stored in the row and in its record.
struct Head {
  std::uint64_t Revision = 0; ///< 0 if none has been accepted yet.
  std::string Hash;           ///< SHA-256 of the content; see contentObject().
  std::string Operation;      ///< Unique identifier of the change.
  std::string Author;
  std::string AcceptedAt; ///< ISO 8601 in UTC, from the operator's clock.
  std::string Previous;   ///< Operation of the previous revision, or empty.

  bool operator==(const Head &) const = default;
};

/// Returns the JSON text of \p H that the row and the record contain.
std::string formatHead(const Head &H);

/// Parses the output of formatHead(). An empty \p Text gives revision 0.
/// \returns an error if a required field is missing or invalid.
Result<Head> parseHead(std::string_view Text);

/// Returns the name of the object whose content has the hash \p Hash.
std::string contentObject(std::string_view Hash);

/// Returns the name of the object with the record of \p Operation.
std::string recordObject(std::string_view Operation);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_HEAD_H
