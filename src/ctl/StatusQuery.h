// Queries the entry VMs for the revision that each has in force.
#ifndef AMARANTHSPUR_CTL_STATUSQUERY_H
#define AMARANTHSPUR_CTL_STATUSQUERY_H

#include "core/Clock.h"
#include "core/Result.h"
#include "ctl/Report.h"
#include "wire/Connection.h"

#include <QCoroTask>

#include <optional>
#include <string>
#include <vector>

namespace amaranthspur::ctl {

/// The statement whose route is asked for.
struct RouteParameters {
  std::string Database;
  std::string Workspace;
  std::string Mode;
};

/// Reads the status of entry VMs.
class StatusSource {
public:
  virtual ~StatusSource() = default;

  /// Returns the JSON object that the entry VM at \p From serves as `/status`.
  virtual QCoro::Task<Result<QJsonObject>> fetch(Address From,
                                                 TimePoint Deadline) = 0;
  /// Returns the JSON object that it serves as `/route`.
  virtual QCoro::Task<Result<QJsonObject>>
  fetchRoute(Address From, RouteParameters Asked, TimePoint Deadline) = 0;
};

/// Reads the status over HTTP.
class HttpStatusSource final : public StatusSource {
public:
  QCoro::Task<Result<QJsonObject>> fetch(Address From,
                                         TimePoint Deadline) override;
  QCoro::Task<Result<QJsonObject>>
  fetchRoute(Address From, RouteParameters Asked, TimePoint Deadline) override;
};

/// One entry VM to query.
struct PollTarget {
  std::string Id;               ///< Empty if only the address is known.
  std::optional<Address> Admin; ///< std::nullopt if it is not known.
  bool Leaving = false;         ///< The platform lists it as leaving.
};

/// The response of one entry VM.
struct VmAnswer {
  PollTarget Vm;
  std::optional<std::uint64_t> Revision; ///< The revision in force.
  std::string Problem;                   ///< Why Revision is absent.
};

/// Queries all of \p Vms concurrently.
QCoro::Task<std::vector<VmAnswer>>
pollAll(StatusSource &Source, std::vector<PollTarget> Vms, TimePoint Deadline);

/// Reports which entry VMs have confirmed the newest revision.
/// \param Newest is the newest revision according to the platform, or
/// std::nullopt if the platform did not respond. If an entry VM has a higher
/// revision, that one is used instead.
/// \param Problem says why the report is incomplete; empty if it is complete.
Report statusReport(std::optional<std::uint64_t> Newest,
                    const std::vector<VmAnswer> &Answers,
                    const std::string &Problem);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_STATUSQUERY_H
