// A deployment under load: what every scenario is built from.
#ifndef AMARANTHSPUR_BENCH_STAGE_H
#define AMARANTHSPUR_BENCH_STAGE_H

#include "bench/Checker.h"
#include "bench/Deployment.h"
#include "bench/LoadClient.h"
#include "bench/Scenario.h"

#include <QCoroTask>
#include <QJsonObject>

#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench {

/// What is done to a backend server.
enum class ServerFault {
  Killed,
  Isolated, ///< Its links from other data centres are cut.
  Paused,
};

/// Holds a deployment, the loads that ran on it and the marks for the drawing.
class Stage {
public:
  Stage(const RunSettings &Settings, DeploymentSpec Spec);
  Stage(const Stage &) = delete;
  Stage &operator=(const Stage &) = delete;
  ~Stage();

  Deployment &deployment() { return this->Running; }
  TimePoint begun() const { return this->Begun; }
  /// Returns how much of the run's time is left.
  Duration left() const;

  QCoro::Task<Result<Success>> start() { return this->Running.start(); }

  /// Makes a client that runs \p Plan; it is kept for check() and plot().
  LoadClient &addLoad(LoadPlan Plan);

  /// Applies \p Fault to server \p Index.
  QCoro::Task<> inject(std::size_t Index, ServerFault Fault);
  /// Takes \p Fault back; a server that was killed starts again, empty.
  QCoro::Task<> restore(std::size_t Index, ServerFault Fault);

  /// Waits until a server of \p Service other than \p Old leads in a term
  /// higher than \p OldTerm; returns that term, or nothing at \p Deadline.
  QCoro::Task<std::optional<Term>> promoted(std::string Service, Term OldTerm,
                                            TimePoint Deadline);
  /// Returns the highest term in which a server of \p Service leads; 0: none.
  QCoro::Task<Term> leadingTerm(std::string Service);

  /// Takes back all faults, waits until the groups settle and checks what the
  /// loads were told against the final rows.
  QCoro::Task<Result<std::vector<Violation>>> check();

  /// Joins the histories of all loads.
  History joined() const;

  /// Marks the present time in the drawing.
  void mark(std::string Text);
  /// Returns the drawing of all loads.
  PlotRun plot(std::string Title) const;

private:
  RunSettings Settings;
  TimePoint Begun;
  Deployment Running;
  std::vector<std::unique_ptr<LoadClient>> Loads;
  std::vector<PlotMark> Marks;
};

/// Returns the counts of \p Violations by rule, with a line on standard error
/// for the first of each rule.
QJsonObject violationsJson(const std::vector<Violation> &Violations);

/// Returns how many operations of \p Run ended in each way.
QJsonObject endsJson(const History &Run);

/// Returns \p Load once for each data centre, with callers that reach the entry
/// VMs beside them, and once with callers that roam between all entry VMs.
/// \param Sessions of each.
std::vector<CallerLoad> spreadCallers(const Deployment &Over,
                                      const CallerLoad &Load,
                                      unsigned Sessions);

/// Returns a mix of the given relative frequencies.
constexpr auto mixOf(unsigned Read, unsigned Write, unsigned Transaction,
                     unsigned Rollback, unsigned Work) {
  return std::array<unsigned, EnumNames<OperationKind>::Entries.size()>{
      Read, Write, Transaction, Rollback, Work};
}

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::ServerFault> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::ServerFault, std::string_view>>(
          {{bench::ServerFault::Killed, "killed"},
           {bench::ServerFault::Isolated, "isolated"},
           {bench::ServerFault::Paused, "paused"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_STAGE_H
