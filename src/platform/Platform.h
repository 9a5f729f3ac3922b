// The platform's service, as far as amaranthspur uses it: a transactional
// table, an object store and a list of VMs. What must last or be agreed lives
// there.
//
// Every call has a deadline. A failed call may have taken effect: compareAndSet
// is found again by its operation identifier.
#ifndef AMARANTHSPUR_PLATFORM_PLATFORM_H
#define AMARANTHSPUR_PLATFORM_PLATFORM_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Result.h"
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
  std::uint64_t Version = 0; ///< Raised by each change; 0: no row.
  std::string Value;
  std::string Operation; ///< Identifier of the change that made this version.
};

/// What a compare-and-set did.
struct CasOutcome {
  bool Applied = false; ///< Also if the same operation was applied earlier.
  TableRow Current;     ///< The row as it is afterwards.
};

/// One VM in the platform's list, which lags behind the truth.
struct PlatformVm {
  EntryVmId Id;
  std::string PeerAddress;
  std::string AdminAddress; ///< `host:port` for HTTP; empty if not known.
  DataCentre Location;
  bool Leaving = false;
};

/// Tables that others write and this program follows.
enum class WatchedTable {
  Operator, ///< What the operator has accepted.
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
  std::string Value; ///< Bytes, whatever they are.
  std::uint64_t Version = 0;
  bool Removed = false;
};

/// Rows of a watched table, in the order of their changes.
struct WatchedRows {
  std::vector<WatchedRow> Rows;
  std::uint64_t Version = 0; ///< Up to which changes are included.
  bool HistoryLost = false;  ///< Changes are missing: read the table anew.
};

/// Client of the platform's service.
class Platform {
public:
  virtual ~Platform() = default;

  /// Reads the row \p Key; a row that was never written has version 0.
  virtual QCoro::Task<Result<TableRow>> readRow(std::string Key,
                                                TimePoint Deadline) = 0;

  /// Sets the row \p Key to \p Value if its version is \p Expected.
  /// \param Operation unique identifier of this change, so that it can be
  /// found again after a lost answer.
  virtual QCoro::Task<Result<CasOutcome>>
  compareAndSet(std::string Key, std::uint64_t Expected, std::string Value,
                std::string Operation, TimePoint Deadline) = 0;

  /// Stores \p Content under \p Name; storing the same again is no error.
  virtual QCoro::Task<Result<Success>>
  putObject(std::string Name, std::string Content, TimePoint Deadline) = 0;

  /// Reads the object \p Name, or nothing if there is none.
  virtual QCoro::Task<Result<std::optional<std::string>>>
  getObject(std::string Name, TimePoint Deadline) = 0;

  /// Reads the list of live and leaving entry VMs.
  virtual QCoro::Task<Result<std::vector<PlatformVm>>>
  listVms(TimePoint Deadline) = 0;
};

/// Follower of tables that others write.
class TableFeed {
public:
  virtual ~TableFeed() = default;

  /// Reads all rows of \p Table.
  virtual QCoro::Task<Result<WatchedRows>> readTable(WatchedTable Table,
                                                     TimePoint Deadline) = 0;

  /// Waits until rows of \p Table change after version \p After.
  /// \returns the changed rows, or none if nothing changed within \p Wait.
  virtual QCoro::Task<Result<WatchedRows>>
  awaitChanges(WatchedTable Table, std::uint64_t After, Duration Wait) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_PLATFORM_H
