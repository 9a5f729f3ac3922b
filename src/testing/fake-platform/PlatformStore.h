// The contents of the fake platform service, and the faults injected into it.
//
// The store is deterministic: callers pass in the time and the random seed.
// PlatformServer serves it over HTTP.
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

/// One row of the proxy's own table.
struct Row {
  std::uint64_t Version = 0;
  std::string Value;
  std::string Operation;
};

/// One row of a table that the operator or the servers write.
struct ExternalRow {
  std::string Key;
  std::string Value; ///< Arbitrary bytes.
  std::uint64_t Version = 0;
  bool Removed = false;
};

/// The result of a conditional write.
struct WriteOutcome {
  bool Applied = false;
  Row Present; ///< The row after the attempt.
};

/// One entry of the VM list.
struct Vm {
  std::string Id;
  std::string PeerAddress;
  std::string AdminAddress; ///< Empty if unknown.
  std::string DataCentre;
  bool Leaving = false;
};

/// Faults that a test injects. By default there are none.
struct Faults {
  bool Outage = false;            ///< Every request is refused with 503.
  Duration Delay{};               ///< Added before each answer.
  double LoseAnswers = 0;         ///< Probability that an answer is not sent.
  std::uint64_t ReadsPerSecond{}; ///< 0: no limit.
  std::uint64_t WritesPerSecond{};
  Duration ListLag{}; ///< Age at which a change appears in the VM list.
};

/// The kind of a request; each kind has its own rate limit.
enum class RequestKind { Read, Write };

/// Whether a request is admitted, or why it is refused.
enum class Admission { Admitted, Outage, RateLimited };

/// A token bucket that allows a number of requests per second. Its burst is the
/// number of requests allowed in one second.
class RateLimit {
public:
  /// Takes one token; returns whether one was available.
  /// \param PerSecond the rate; 0 means no limit.
  bool take(std::uint64_t PerSecond, TimePoint Now);

private:
  double Tokens = 0;
  std::uint64_t Rate = 0;
  TimePoint Last{};
};

/// The rows, the objects, the VM list and the injected faults.
class PlatformStore {
public:
  explicit PlatformStore(std::uint64_t Seed);

  Row readRow(const std::string &Key) const;

  /// Writes the row if its version is \p Expected. As on the platform, all rows
  /// take their versions from one counter, so an operation that is repeated
  /// after it was applied fails because the version has changed.
  WriteOutcome writeRow(const std::string &Key, std::uint64_t Expected,
                        std::string Value, std::string Operation);

  /// Sets a row of a table that the operator or the servers write.
  void setExternalRow(const std::string &Table, const std::string &Key,
                      std::string Value);
  void removeExternalRow(const std::string &Table, const std::string &Key);
  /// Returns the rows of \p Table that changed after version \p After, in the
  /// order of their changes. Removed rows are included and marked.
  std::vector<ExternalRow> externalRowsAfter(const std::string &Table,
                                             std::uint64_t After) const;
  /// Discards the change history up to the present version, so that readers can
  /// no longer request the changes after an older version.
  void discardHistory() { this->State.HistoryFrom = this->State.Counter; }
  /// Returns whether the changes after version \p After are still available.
  bool hasHistory(std::uint64_t After) const {
    return After >= this->State.HistoryFrom && After <= this->State.Counter;
  }
  /// Returns the version of the last change to any row.
  std::uint64_t version() const { return this->State.Counter; }

  /// Remembers the rows for returnFromCopy().
  void copy() { this->Copy = this->State; }
  /// Goes back to the rows of the last copy and begins the next era. Versions
  /// are given out again.
  void returnFromCopy();
  /// Replaces the era that the answers tell by \p Header until the next return;
  /// nothing: they tell none.
  void setEraHeader(std::optional<std::string> Header) {
    this->EraHeader = std::move(Header);
  }
  /// Returns the era that the answers tell, or nothing.
  const std::optional<std::string> &eraHeader() const {
    return this->EraHeader;
  }

  void putObject(const std::string &Name, std::string Content);
  const std::string *findObject(const std::string &Name) const;

  /// Sets the entry of a VM; it appears in the list after Faults::ListLag.
  void putVm(Vm V, TimePoint Now);
  /// Removes a VM; it disappears from the list after Faults::ListLag.
  void removeVm(const std::string &Id, TimePoint Now);
  std::vector<Vm> listVms(TimePoint Now) const;

  /// Replaces all faults. If \p Seed is given, the random generator restarts
  /// from it.
  void setFaults(const Faults &F, std::optional<std::uint64_t> Seed);
  const Faults &faults() const { return this->ActiveFaults; }

  /// Returns whether a request of \p Kind is admitted at \p Now, and takes
  /// a token from its rate limit.
  Admission admit(RequestKind Kind, TimePoint Now);

  /// Decides at random whether the next answer is lost.
  bool drawAnswerLoss();

private:
  struct VmChange {
    TimePoint At;
    std::optional<Vm> NewState; ///< Empty if the VM was removed.
  };

  struct Contents {
    std::uint64_t Counter = 0; ///< Version of the last change to any row.
    std::uint64_t HistoryFrom = 0;
    std::map<std::string, Row> Rows;
    std::map<std::string, std::map<std::string, ExternalRow>> ExternalRows;
  };

  Contents State;
  Contents Copy;
  std::uint64_t Era = 1;
  std::optional<std::string> EraHeader;
  std::map<std::string, std::string> Objects;
  std::map<std::string, std::vector<VmChange>> Vms;
  Faults ActiveFaults;
  Random Generator;
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

template <> struct EnumNames<fakeplatform::Admission> {
  static constexpr auto Entries =
      std::to_array<std::pair<fakeplatform::Admission, std::string_view>>(
          {{fakeplatform::Admission::Admitted, "admitted"},
           {fakeplatform::Admission::Outage, "outage"},
           {fakeplatform::Admission::RateLimited, "rate limited"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSTORE_H
