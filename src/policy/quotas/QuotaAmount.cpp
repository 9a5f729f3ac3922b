#include "policy/quotas/QuotaAmount.h"

#include <algorithm>

namespace amaranthspur {
namespace {

double inSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

} // namespace

QuotaAmount smallerOf(const QuotaAmount &A, const QuotaAmount &B) {
  return {std::min(A.RatePerSecond, B.RatePerSecond),
          std::min(A.Burst, B.Burst)};
}

double toleratedExtra(const WorkspaceQuota &Quota,
                      const QuotaTolerance &Tolerance) {
  const double Allowed =
      Quota.RatePerSecond * inSeconds(Tolerance.Window) + Quota.Burst;
  return Tolerance.Excess * Allowed + Tolerance.Slack;
}

QuotaAmount dataCentreShare(const WorkspaceQuota &Quota,
                            const QuotaTolerance &Tolerance,
                            std::size_t DataCentres) {
  const auto Count = static_cast<double>(std::max<std::size_t>(1, DataCentres));
  const double Extra = LeasedExtraPart * toleratedExtra(Quota, Tolerance);
  return {Quota.RatePerSecond / Count, (Quota.Burst + Extra) / Count};
}

QuotaAmount entryVmReserve(const WorkspaceQuota &Quota,
                           const QuotaTolerance &Tolerance,
                           std::size_t EntryVms) {
  const auto Count = static_cast<double>(std::max<std::size_t>(1, EntryVms));
  const double Extra =
      ReservedExtraPart * toleratedExtra(Quota, Tolerance) / Count;
  if (Extra < 1)
    return {};
  const double Burst = std::max(1.0, Extra / 2);
  return {(Extra - Burst) / inSeconds(Tolerance.Window), Burst};
}

} // namespace amaranthspur
