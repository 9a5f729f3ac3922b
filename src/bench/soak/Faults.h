// The faults and the planned work of a soak, drawn from its seed.
#ifndef AMARANTHSPUR_BENCH_SOAK_FAULTS_H
#define AMARANTHSPUR_BENCH_SOAK_FAULTS_H

#include "bench/soak/Site.h"
#include "core/Random.h"

#include <vector>

namespace amaranthspur::bench::soak {

/// A call of an entry VM at which a fault can begin.
enum class CallTrigger { Claim, StepDown, Pause, Order, Commit };

/// What a phase of a run consists of. Rules that hold only for processes
/// without disruption need phases of planned work alone.
enum class FaultProfile {
  Planned,   ///< Stops, reloads, configurations and releases.
  Takeovers, ///< Faults that begin at the calls of a takeover.
  All,
};

/// Disrupts a site from outside.
class FaultPlan {
public:
  FaultPlan(Site &Target, Random &Generator);

  struct TriggerRow;

  /// Injects faults until \p EndMs of the record's clock.
  QCoro::Task<> run(double EndMs);
  /// Ends all planned changes of the servers.
  void stop() { this->Stopped = true; }
  /// Ends all machines at once and starts them again.
  QCoro::Task<> losePower();

private:
  FaultKind drawKind(FaultProfile Profile);
  void inject(FaultKind Kind);
  void kill();
  void terminate();
  void freeze();
  void hangUp();
  void cut();
  void configure();
  void storeFault();
  void crashServer(bool KeepLog);
  void deafenReplica();
  void release();
  /// \param Carrier the path that carries the call at which the cut begins;
  /// null if there is none.
  QCoro::Task<> beginCut(EntryVm &Vm, Path *Carrier, unsigned LeastMs);
  QCoro::Task<> endStoreFault(Duration Length);
  QCoro::Task<> returnServer(ServerGroup &Group, DatabaseServer &Server,
                             bool KeepLog);
  QCoro::Task<> endDeafness(ServerGroup &Group, DatabaseServer &Server);
  QCoro::Task<> releaseServer(ServerGroup &Group, DatabaseServer &Server);
  QCoro::Task<> releaseSeries(ServerGroup &Group);
  void releasePrimary(ServerGroup &Group);
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
  bool ProbedRoute = true;
  double EndMs = 0;
  bool Stopped = false;
  QObject Context; ///< Delayed calls end with it.
};

} // namespace amaranthspur::bench::soak

namespace amaranthspur {

template <> struct EnumNames<bench::soak::FaultProfile> {
  using Kind = bench::soak::FaultProfile;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Planned, "planned"},
           {Kind::Takeovers, "takeovers"},
           {Kind::All, "all"}});
};

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
