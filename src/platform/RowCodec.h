// The store's rows as JSON documents.
//
// The store's words are poor in places: `expected` lists the rows of a
// condition, `set-keys` the rows to write, and `row-version` stands for three
// things: the version that a condition asks for, the version of a row, and, at
// the top of an answer, the version of the whole store. Here each has a name of
// its own.
#ifndef AMARANTHSPUR_PLATFORM_ROWCODEC_H
#define AMARANTHSPUR_PLATFORM_ROWCODEC_H

#include "core/Result.h"
#include "platform/Platform.h"

#include <QByteArray>

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthspur::rows {

/// Encodes the transaction that sets one row if its version is \p Expected.
QByteArray encodeConditionalWrite(const std::string &Table,
                                  const std::string &Key,
                                  std::uint64_t Expected,
                                  const QByteArray &Value);

/// Rows of an answer.
struct Page {
  std::vector<WatchedRow> Rows;
  std::uint64_t StoreVersion = 0; ///< When the page was read.
  bool More = false;
};

/// Decodes an answer with rows. Rows with a key or value of another form are
/// left out, since other programs write them.
Result<Page> decodePage(const QByteArray &Body);

/// Decodes the version that a transaction has given to its rows.
Result<std::uint64_t> decodeNewVersion(const QByteArray &Body);

/// Encodes the value of a row of this program.
QByteArray encodeValue(const std::string &Value, const std::string &Operation);

/// Decodes a row of this program.
Result<TableRow> decodeValue(const WatchedRow &Row);

} // namespace amaranthspur::rows

#endif // AMARANTHSPUR_PLATFORM_ROWCODEC_H
