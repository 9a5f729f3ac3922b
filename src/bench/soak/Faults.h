// The faults and the planned work of a soak, drawn from its seed.
#ifndef AMARANTHSPUR_BENCH_SOAK_FAULTS_H
#define AMARANTHSPUR_BENCH_SOAK_FAULTS_H

#include "bench/soak/Phases.h"
#include "bench/soak/Site.h"
#include "core/Random.h"

#include <vector>

namespace amaranthspur::bench::soak {

/// A call of an entry VM at which a fault can begin.
enum class CallTrigger { Claim, StepDown, Pause, Order, Commit };

/// Disrupts a site from outside.
class FaultPlan {
public:
  FaultPlan(Site &Target, Random &Generator);

  struct TriggerRow;

  /// Injects faults until \p EndMs of the record's clock, in phases that are
  /// drawn from \p Phases.
  QCoro::Task<> run(double EndMs, std::vector<FaultProfile> Phases);
  /// Ends all planned changes of the servers.
  void stop() { this->Stopped = true; }
  /// Ends all machines at once and starts them again.
  QCoro::Task<> losePower();

private:
  /// Starts a phase that ends at \p PhaseEndMs.
  void beginPhase(FaultProfile Profile, double PhaseEndMs);
  FaultKind drawKind(FaultProfile Profile);
  void inject(FaultKind Kind);
  void kill();
  void terminate();
  void freeze();
  void hangUp();
  void cut();
  void configure();
  void changeKeys();
  void changeQuota();
  QCoro::Task<> surge();
  QCoro::Task<> cutStore();
  void storeFault();
  /// Makes the store go away and come back from a copy of the present moment,
  /// some seconds later.
  QCoro::Task<> returnStore();
  /// Writes again, row by row, what the operator and the servers have written.
  QCoro::Task<> writeRowsAgain();
  void crashServer(bool KeepLog);
  void deafenReplica();
  void isolatePrimary();
  void release();
  /// \param Carrier the path that carries the call at which the cut begins;
  /// null if there is none.
  QCoro::Task<> beginCut(EntryVm &Vm, Path *Carrier, unsigned LeastMs);
  QCoro::Task<> endStoreFault(Duration Length);
  QCoro::Task<> returnServer(ServerGroup &Group, DatabaseServer &Server,
                             bool KeepLog);
  QCoro::Task<> endDeafness(ServerGroup &Group, DatabaseServer &Server);
  void releaseServer(ServerGroup &Group, DatabaseServer &Server);
  /// \param JoinFirst whether the new server starts before the old one drains.
  QCoro::Task<> releaseServer(ServerGroup &Group, DatabaseServer &Server,
                              bool JoinFirst);
  QCoro::Task<> releaseSeries(ServerGroup &Group);
  void releasePrimary(ServerGroup &Group);
  /// Crashes the primaries of all groups, one shortly after the other, and
  /// releases replicas beside.
  QCoro::Task<> crashPrimaries();
  QCoro::Task<> crashPrimary(ServerGroup &Group);
  QCoro::Task<> releaseReplicas(ServerGroup &Group);
  QCoro::Task<> endIsolation(ServerGroup &Group, DatabaseServer &Primary,
                             Duration Length);
  static std::vector<DatabaseServer *> readyReplicas(ServerGroup &Group);
  /// Makes a fault begin at the next call of a kind.
  void arm(const TriggerRow &Row);
  /// Begins a fault of the entry VM that makes such a call.
  void meet(EntryVm &Caller, CallTrigger Trigger, Path &Carrier);
  std::vector<Path *> drawPaths(EntryVm &Vm, Path *Carrier);
  EntryVm *drawVm();
  ServerGroup &drawGroup();
  Duration draw(unsigned FromMs, unsigned ToMs);

  Site &Target;
  Random &Generator;
  /// Groups in which a server is down, restarts or is deaf. A second such fault
  /// could end all copies of a commit, which nothing can prevent.
  std::vector<bool> Impaired;
  bool StoreReturning = false; ///< A copy is kept for comeBack().
  bool ProbedRoute = true;
  unsigned TimeoutMs = 1000; ///< Of the statements on primary routes.
  double EndMs = 0;
  bool Stopped = false;
  QObject Context; ///< Delayed calls end with it.
};

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::CallTrigger> {
  using Kind = bench::soak::CallTrigger;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Claim, "claim"},
           {Kind::StepDown, "step-down"},
           {Kind::Pause, "pause"},
           {Kind::Order, "order"},
           {Kind::Commit, "commit"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_SOAK_FAULTS_H
