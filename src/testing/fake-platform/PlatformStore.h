// What the stand-in for the platform's service holds, and its faults.
//
// The store is deterministic: time and randomness are arguments. PlatformServer
// puts it behind HTTP.
#ifndef AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSTORE_H
#define AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSTORE_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Random.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::fakeplatform {

/// One row of the table.
struct Row {
  std::uint64_t Version = 0;
  std::string Value;
  std::string Operation;
};

/// One row of a table that others write.
struct ForeignRow {
  std::string Key;
  std::string Value; ///< Bytes, whatever they are.
  std::uint64_t Version = 0;
  bool Removed = false;
};

/// What a conditional write did.
struct WriteOutcome {
  bool Applied = false;
  Row Present;
};

/// One entry of the VM list.
struct Vm {
  std::string Id;
  std::string PeerAddress;
  std::string AdminAddress; ///< Empty if it is not known.
  std::string DataCentre;
  bool Leaving = false;
};

/// Faults that a test sets. The default has none.
struct Faults {
  bool Outage = false;            ///< Every request is refused with 503.
  Duration Delay{};               ///< Added before each answer.
  double LoseAnswers = 0;         ///< Share of answers that are not sent.
  std::uint64_t ReadsPerSecond{}; ///< 0: no limit.
  std::uint64_t WritesPerSecond{};
  Duration ListLag{}; ///< Age at which a change of the VM list shows.
};

/// Kind of a request, for the rate limits.
enum class RequestKind { Read, Write };

/// What happens to a request before it is carried out.
enum class Admittance { Admitted, Outage, RateLimited };

/// Allows a number of requests per second, with a burst of one second's worth.
class RateLimit {
public:
  /// \param PerSecond 0: no limit.
  bool take(std::uint64_t PerSecond, TimePoint Now);

private:
  double Tokens = 0;
  std::uint64_t Rate = 0;
  TimePoint Last{};
};

/// Rows, objects, VM list and faults.
class PlatformStore {
public:
  explicit PlatformStore(std::uint64_t Seed);

  Row readRow(const std::string &Key) const;

  /// Writes the row if \p Expected is its version. As on the platform, versions
  /// come from one counter for all rows, and an operation that is repeated
  /// after it was applied finds another version.
  WriteOutcome writeRow(const std::string &Key, std::uint64_t Expected,
                        std::string Value, std::string Operation);

  /// Sets a row of a table that the operator or the servers write.
  void setForeign(const std::string &Table, const std::string &Key,
                  std::string Value);
  void removeForeign(const std::string &Table, const std::string &Key);
  /// Returns the rows of \p Table that changed after \p After, in the order of
  /// their changes; removed ones are marked.
  std::vector<ForeignRow> foreignAfter(const std::string &Table,
                                       std::uint64_t After) const;
  /// Drops the history: changes up to now can no longer be followed.
  void forgetHistory() { this->HistoryFrom = this->Counter; }
  /// Returns whether changes after \p After can be followed.
  bool hasHistory(std::uint64_t After) const {
    return After >= this->HistoryFrom;
  }
  /// Returns the version of the whole store.
  std::uint64_t version() const { return this->Counter; }

  void putObject(const std::string &Name, std::string Content);
  const std::string *findObject(const std::string &Name) const;

  /// Sets the entry of a VM; it shows in the list after the list's lag.
  void putVm(Vm V, TimePoint Now);
  /// Takes a VM off the list, after the lag.
  void removeVm(const std::string &Id, TimePoint Now);
  std::vector<Vm> listVms(TimePoint Now) const;

  /// Replaces all faults. With \p Seed the random sequence starts anew.
  void setFaults(const Faults &F, std::optional<std::uint64_t> Seed);
  const Faults &faults() const { return this->Current; }

  /// Returns whether a request of \p Kind is carried out.
  Admittance admit(RequestKind Kind, TimePoint Now);

  /// Draws whether the next answer is lost.
  bool losesAnswer();

private:
  struct VmChange {
    TimePoint At;
    std::optional<Vm> To; ///< Nothing: removed.
  };

  std::uint64_t Counter = 0; ///< Of all changes of rows.
  std::uint64_t HistoryFrom = 0;
  std::map<std::string, Row> Rows;
  std::map<std::string, std::map<std::string, ForeignRow>> Foreign;
  std::map<std::string, std::string> Objects;
  std::map<std::string, std::vector<VmChange>> Vms;
  Faults Current;
  Random Draw;
  RateLimit Reads;
  RateLimit Writes;
};

} // namespace amaranthspur::fakeplatform

namespace amaranthspur {

template <> struct EnumNames<fakeplatform::RequestKind> {
  static constexpr auto Entries =
      std::to_array<std::pair<fakeplatform::RequestKind, std::string_view>>(
          {{fakeplatform::RequestKind::Read, "read"},
           {fakeplatform::RequestKind::Write, "write"}});
};

template <> struct EnumNames<fakeplatform::Admittance> {
  static constexpr auto Entries =
      std::to_array<std::pair<fakeplatform::Admittance, std::string_view>>(
          {{fakeplatform::Admittance::Admitted, "admitted"},
           {fakeplatform::Admittance::Outage, "outage"},
           {fakeplatform::Admittance::RateLimited, "rate limited"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSTORE_H
