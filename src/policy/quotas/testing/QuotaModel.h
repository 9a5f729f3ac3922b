// A model of entry VMs, relays and a network that loses and delays messages.
#ifndef AMARANTHSPUR_POLICY_QUOTAS_TESTING_QUOTAMODEL_H
#define AMARANTHSPUR_POLICY_QUOTAS_TESTING_QUOTAMODEL_H

#include "core/Random.h"
#include "policy/quotas/QuotaAllocator.h"
#include "policy/quotas/QuotaLeaseHolder.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace amaranthspur::testing {

/// The one workspace of the model.
inline const WorkspaceName ModelWorkspace("w");
inline constexpr int TickMs = 10;
/// Wait for a lease: a quarter of an objective of 400 ms.
inline constexpr int WaitMs = 100;

/// A clock that differs from the true time.
struct SkewedClock {
  double Rate = 1;
  std::int64_t OffsetUs = 0;

  TimePoint at(int TrueMs) const {
    return TimePoint(Duration(
        this->OffsetUs + static_cast<std::int64_t>(TrueMs * 1000.0 * Rate)));
  }
};

/// The times of one request and its reply.
struct ModelTimes {
  int SentMs = 0;
  int RequestMs = 0; ///< Arrival of the request.
  int ReplyMs = 0;   ///< Arrival of the reply.
  bool Handled = false;
};

/// A request for leases under way.
struct ModelLease : ModelTimes {
  QuotaRequest Asked;
  std::vector<QuotaLease> Granted;
  std::size_t To = 0;
};

/// A request for loans under way.
struct ModelLoan : ModelTimes {
  QuotaLoanRequest Asked;
  std::vector<QuotaLoan> Granted;
  std::size_t To = 0; ///< Index of the relay in the other data centre.
};

struct ModelRelay {
  ModelRelay(std::size_t DataCentres, QuotaTolerance Tolerance,
             QuotaHolderId Id, SkewedClock Clock)
      : Allocator(DataCentres, Tolerance), Id(std::move(Id)), Clock(Clock) {}

  QuotaAllocator Allocator;
  QuotaHolderId Id;
  SkewedClock Clock;
  int EndMs = 1 << 30;                    ///< Grants nothing from here on.
  int LendEndMs = 1 << 30;                ///< Lends nothing from here on.
  std::map<std::size_t, ModelLoan> Loans; ///< By data centre of the lender.
  std::map<std::size_t, int> NextLoanMs;
};

struct ModelVm {
  EntryVmId Name;
  std::uint64_t Start = 0;
  std::unique_ptr<QuotaLeaseHolder> Holder;
  SkewedClock Clock;
  std::size_t Follows = 0; ///< Index of a relay.
  int NextAskMs = 0;
  int LastAskMs = -1000;
  std::optional<ModelLease> Pending;
  double Rate = 0;         ///< Attempts per second.
  std::deque<int> Waiting; ///< Ends of the waits for a lease.
};

struct ModelFaults {
  unsigned LossPerMille = 0;
  unsigned DelayPerMille = 0; ///< Messages that are delayed by up to 4 s.
  unsigned RestartsPer100s = 0;
  unsigned TakeoversPer100s = 0;
  /// Takeovers of which half are known to the next relay.
  unsigned RelayRestartsPer100s = 0;
  /// Times at which two data centres cannot reach each other for 3 s.
  unsigned PartitionsPer100s = 0;
  /// Reports in the first data centre with a demand and waiting operations that
  /// do not exist. The bound must not depend on them.
  unsigned FalseReportsPerMille = 0;
};

struct ModelSetting {
  AccessPlan Plan;
  QuotaTolerance Tolerance;
  ModelFaults Faults;
  std::size_t DataCentres = 1;
  std::size_t VmsEach = 1;
  bool HasLoans = false;
};

struct ModelResult {
  double WorstExcess = -1e9; ///< Operations in a window above the allowed ones.
  /// Largest part of the burst that entry VMs and the pools held at once: of a
  /// data centre, or with loans of all of them.
  double WorstHeld = 0;
  unsigned Attempts = 0;
  unsigned Refused = 0;
  double Borrowed = 0;
};

/// One run of the model.
class QuotaModel {
public:
  /// Sets the rates of attempts of the entry VMs of each data centre.
  using Demand =
      std::function<void(std::vector<std::vector<ModelVm>> &Vms, int NowMs)>;

  QuotaModel(std::uint64_t Seed, ModelSetting Setting);

  /// Runs for \p LengthMs.
  /// \param Allowed operations in a window of 5 s.
  ModelResult run(int LengthMs, double Allowed, const Demand &Set);

  Random Rng;
  int CountFromMs = 0;
  int CountUntilMs = 1 << 30;

private:
  using Relays = std::vector<std::unique_ptr<ModelRelay>>;

  bool happens(unsigned Per100s);
  bool isLost();
  int delay();
  SkewedClock randomClock();
  void addRelay(std::size_t D, int Now, bool Follows);
  void replaceRelay(std::size_t D, int Now, bool IsKnownEnd);
  void restart(ModelVm &Vm);
  void step(std::size_t D, int Now);
  void checkHeld(int Now);
  double heldIn(std::size_t D, int Now);
  void exchange(std::size_t D, ModelVm &Vm, int Now);
  void makeFalse(QuotaRequest &Asked);
  bool isCut(std::size_t A, std::size_t B, int Now) const;
  void exchangeLoans(std::size_t D, ModelRelay &Borrower, int Now);
  void exchangeLoan(std::size_t D, ModelRelay &Borrower, std::size_t Lender,
                    int Now);
  void attempt(ModelVm &Vm, int Now);
  void decide(ModelVm &Vm, int Now, bool IsFirst, int EndMs);
  bool isCounted(int Now) const;

  ModelSetting Setting;
  WorkspaceQuota Quota;
  std::vector<Relays> RelaysOf;
  std::vector<std::vector<ModelVm>> Vms;
  std::map<std::pair<std::size_t, std::size_t>, int> CutUntilMs;
  std::deque<int> Window; ///< Times of the operations of the last 5 s.
  ModelResult Out;
};

/// Returns a plan with one workspace.
AccessPlan modelPlan(const WorkspaceQuota &Quota);

} // namespace amaranthspur::testing

#endif // AMARANTHSPUR_POLICY_QUOTAS_TESTING_QUOTAMODEL_H
