// Codec between rows and the JSON documents of the platform's store.
//
// Several field names of the store are ambiguous: `expected` lists the rows of
// a condition and `set-keys` the rows to write. `row-version` has three
// meanings: the version that a condition requires, the version of a row and, at
// the top level of a response, the version of the whole store. The types in
// this file use a separate name for each meaning.
#ifndef AMARANTHSPUR_PLATFORM_ROWCODEC_H
#define AMARANTHSPUR_PLATFORM_ROWCODEC_H

#include "core/Result.h"
#include "platform/Platform.h"

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::rows {

/// Encodes the transaction that sets the row \p Key to \p Value if its version
/// is \p Expected.
QByteArray encodeConditionalWrite(const std::string &Table,
                                  const std::string &Key, StoreVersion Expected,
                                  const QByteArray &Value);

/// The rows of one response.
struct Page {
  std::vector<WatchedRow> Rows;
  StoreVersion Version; ///< Of the store when it read the page.
  bool HasMore = false; ///< Rows of the range follow in another page.
  std::optional<std::int64_t> StoreMs; ///< The store's clock.
};

/// Decodes a response with rows. Rows without a valid key or version are
/// skipped, since other programs write to the same tables.
/// \param Era of the response; all its versions get it.
Result<Page> decodePage(const QByteArray &Body, std::uint64_t Era);

/// The response to a transaction that was applied.
struct WriteReceipt {
  StoreVersion Version;                ///< Of the rows that were written.
  std::optional<std::int64_t> StoreMs; ///< The store's clock, if it is told.
};

/// Decodes the response to a transaction that was applied.
/// \param Era of the response.
Result<WriteReceipt> decodeWriteReceipt(const QByteArray &Body,
                                        std::uint64_t Era);

/// Encodes the value of one of this program's own rows.
QByteArray encodeValue(const std::string &Value, const std::string &Operation);

/// Decodes one of this program's own rows.
Result<TableRow> decodeValue(const WatchedRow &Row);

} // namespace amaranthspur::rows

#endif // AMARANTHSPUR_PLATFORM_ROWCODEC_H
