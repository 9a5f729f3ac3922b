// Asks entry VMs which revision they have in force.
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

/// Reads `/status` of one entry VM.
class StatusSource {
public:
  virtual ~StatusSource() = default;

  virtual QCoro::Task<Result<QJsonObject>> fetch(Address From,
                                                 TimePoint Deadline) = 0;
};

/// Reads `/status` over HTTP.
class HttpStatusSource final : public StatusSource {
public:
  QCoro::Task<Result<QJsonObject>> fetch(Address From,
                                         TimePoint Deadline) override;
};

/// One entry VM that is asked.
struct AskedVm {
  std::string Id;               ///< Empty if only the address is known.
  std::optional<Address> Admin; ///< Nothing if it is not known.
  bool Leaving = false;
};

/// What one entry VM answered.
struct VmAnswer {
  AskedVm Vm;
  std::optional<std::uint64_t> Revision; ///< In force there.
  std::string Problem;                   ///< Why there is no revision.
};

/// Asks all of \p Vms at the same time.
QCoro::Task<std::vector<VmAnswer>>
pollAll(StatusSource &Source, std::vector<AskedVm> Vms, TimePoint Deadline);

/// Reports which entry VMs have confirmed the newest revision.
/// \param Newest of the platform; nothing if the platform gave no answer. Then
/// the highest revision that was answered takes its place.
/// \param Problem why something is missing from the report, or empty.
Report statusReport(std::optional<std::uint64_t> Newest,
                    const std::vector<VmAnswer> &Answers,
                    const std::string &Problem);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_STATUSQUERY_H
