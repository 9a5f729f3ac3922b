// Interface to the platform's service, as far as amaranthspur uses it: a
// transactional table, an object store and a list of VMs. All state that must
// be durable or that entry VMs must agree on is stored there.
//
// Every call has a deadline. A call that failed may still have taken effect.
// For compareAndSet, the operation identifier in the row shows whether it did.
#ifndef AMARANTHSPUR_PLATFORM_PLATFORM_H
#define AMARANTHSPUR_PLATFORM_PLATFORM_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Result.h"
#include "core/StoreVersion.h"
#include "core/Types.h"

#include <QCoroTask>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// One row of the table.
struct TableRow {
  StoreVersion Version; ///< Increases with each change.
  std::string Value;
  std::string Operation; ///< Identifier of the change that wrote this version.
  /// The store's clock when it gave the answer with this row; nothing if the
  /// answer lacks it. The clock is steady and starts anywhere.
  std::optional<std::int64_t> StoreMs = {};
};

/// The result of a compare-and-set.
struct CasOutcome {
  bool Applied = false; ///< Also true if an earlier attempt was applied.
  TableRow Current;     ///< The row after the call.
};

/// One VM in the platform's list. The list may be out of date.
struct PlatformVm {
  EntryVmId Id;
  std::string PeerAddress;
  std::string AdminAddress; ///< `host:port` for HTTP; empty if not known.
  DataCentre Location;
  bool Leaving = false; ///< The VM is shutting down.
};

/// Tables that other programs write and that this program watches.
enum class WatchedTable {
  Operator, ///< Configuration that the operator has accepted.
  Servers,  ///< Registrations of backend servers.
};

template <> struct EnumNames<WatchedTable> {
  static constexpr auto Entries =
      std::to_array<std::pair<WatchedTable, std::string_view>>(
          {{WatchedTable::Operator, "operator"},
           {WatchedTable::Servers, "servers"}});
};

/// One row of a watched table.
struct WatchedRow {
  std::string Key;
  std::string Value; ///< Arbitrary bytes.
  StoreVersion Version;
  bool Removed = false;
};

/// Rows of a watched table, in the order of their changes.
struct WatchedRows {
  std::vector<WatchedRow> Rows;
  StoreVersion Version;     ///< Changes up to this version are included.
  bool HistoryLost = false; ///< Changes are missing; read the whole table.
};

/// Client of the platform's service.
class Platform {
public:
  virtual ~Platform() = default;

  /// Reads the row \p Key. A row that was never written has no version, but the
  /// era of the answer.
  virtual QCoro::Task<Result<TableRow>> readRow(std::string Key,
                                                TimePoint Deadline) = 0;

  /// Sets the row \p Key to \p Value if its version is \p Expected.
  ///
  /// The store compares numbers only. If the answer is of a later era than
  /// \p Expected, the change may have replaced another row than the one that
  /// the caller has read. It is not attempted if the later era is known.
  /// \param Operation unique identifier of this change. It is stored in the
  /// row, so that after a lost response a retry can tell that the change was
  /// applied.
  virtual QCoro::Task<Result<CasOutcome>>
  compareAndSet(std::string Key, StoreVersion Expected, std::string Value,
                std::string Operation, TimePoint Deadline) = 0;

  /// Stores \p Content as the object \p Name. Storing the same content again is
  /// not an error.
  virtual QCoro::Task<Result<Success>>
  putObject(std::string Name, std::string Content, TimePoint Deadline) = 0;

  /// Reads the object \p Name, or nothing if there is none.
  virtual QCoro::Task<Result<std::optional<std::string>>>
  getObject(std::string Name, TimePoint Deadline) = 0;

  /// Reads the list of entry VMs that are running or shutting down.
  virtual QCoro::Task<Result<std::vector<PlatformVm>>>
  listVms(TimePoint Deadline) = 0;
};

/// Source of the rows and changes of the watched tables.
class TableFeed {
public:
  virtual ~TableFeed() = default;

  /// Reads all rows of \p Table, which are of one era.
  virtual QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                                     TimePoint Deadline) = 0;

  /// Waits until rows of \p Table have changed since version \p After. If the
  /// store has begun another era since, the history is lost.
  /// \returns the changed rows, or no rows if nothing changed within \p Wait.
  virtual QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, StoreVersion After, Duration Wait) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_PLATFORM_H
