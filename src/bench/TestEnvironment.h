// The environment of one scenario run: a deployment, the loads on it and the
// faults injected into it.
#ifndef AMARANTHSPUR_BENCH_TESTENVIRONMENT_H
#define AMARANTHSPUR_BENCH_TESTENVIRONMENT_H

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

/// A fault that a scenario injects into a backend server.
enum class ServerFault {
  Killed,   ///< The process receives SIGKILL.
  Isolated, ///< Its links from other data centres are cut.
  Paused,   ///< The process receives SIGSTOP.
};

/// Owns a deployment, the load clients that run on it and the annotations of
/// the plot.
class TestEnvironment {
public:
  TestEnvironment(const RunSettings &Settings, DeploymentSpec Spec);
  TestEnvironment(const TestEnvironment &) = delete;
  TestEnvironment &operator=(const TestEnvironment &) = delete;
  ~TestEnvironment();

  Deployment &deployment() { return this->Target; }
  TimePoint startTime() const { return this->StartTime; }
  /// Returns the remaining time of the run, at least zero.
  Duration timeLeft() const;

  QCoro::Task<Result<Success>> start() { return this->Target.start(); }

  /// Creates a client that runs \p Plan. The client is kept for check() and
  /// plot().
  LoadClient &addLoad(LoadPlan Plan);

  /// Applies \p Fault to server \p Index.
  QCoro::Task<> inject(std::size_t Index, ServerFault Fault);
  /// Ends \p Fault. A killed server is restarted with an empty log, as a
  /// replica of the current primary.
  QCoro::Task<> restore(std::size_t Index, ServerFault Fault);

  /// Waits until a server of \p Service is primary in a term higher than \p
  /// OldTerm.
  /// \returns that term, or nothing if \p Deadline passes first.
  QCoro::Task<std::optional<Term>>
  waitForPromotion(std::string Service, Term OldTerm, TimePoint Deadline);
  /// Returns the highest term in which a server of \p Service is primary, or 0
  /// if there is no primary.
  QCoro::Task<Term> leadingTerm(std::string Service);

  /// Removes all faults of links, resumes paused servers, waits until the
  /// replication groups settle and checks the answers that the loads received
  /// against the final rows.
  QCoro::Task<Result<std::vector<Violation>>> check();

  /// Returns the histories of all loads as one history.
  History mergedHistory() const;

  /// Adds an annotation with the current time to the plot.
  void mark(std::string Text);
  /// Returns the plot data of all loads.
  PlotRun plot(std::string Title) const;

private:
  RunSettings Settings;
  TimePoint StartTime;
  Deployment Target;
  std::vector<std::unique_ptr<LoadClient>> Loads;
  std::vector<PlotMark> Marks;
};

/// Returns the number of \p Violations of each rule and logs the first
/// violation of each rule to standard error.
QJsonObject violationsJson(const std::vector<Violation> &Violations);

/// Returns the number of operations of \p Run by their OperationOutcome.
QJsonObject endsJson(const History &Run);

/// Returns a copy of \p Load for each data centre that has entry VMs, with
/// callers that connect to the entry VMs of their own data centre, and one more
/// copy whose callers roam between all entry VMs.
/// \param Sessions number of sessions of each copy.
std::vector<CallerLoad> spreadCallers(const Deployment &Target,
                                      const CallerLoad &Load,
                                      unsigned Sessions);

/// Returns the relative frequencies of the operation kinds for CallerLoad::Mix.
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

#endif // AMARANTHSPUR_BENCH_TESTENVIRONMENT_H
