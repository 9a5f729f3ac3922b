// Entry VMs of a soak: daemon processes, started with the command of the deploy
// file, and the links on which they reach everything else.
#ifndef AMARANTHSPUR_BENCH_SOAK_ENTRYVM_H
#define AMARANTHSPUR_BENCH_SOAK_ENTRYVM_H

#include "bench/ChildProcess.h"
#include "bench/soak/Links.h"
#include "bench/soak/Record.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthspur::bench::soak {

/// The command that starts the daemon, with placeholders.
struct DeployCommand {
  std::string Program; ///< Path of the daemon.
  std::string Arguments;
};

/// Reads the `run` line of the role `entry` of a deploy file.
Result<std::string> readRunLine(const std::string &DeployFile);

/// Replaces the placeholders of \p Template: `{{name}}` by its value, and the
/// list of data centres by \p Zones.
std::string fillPlaceholders(std::string Template,
                             const std::map<std::string, std::string> &Values,
                             const std::string &Zones);

/// One entry VM.
class EntryVm {
public:
  /// \param Host loopback address of its own, on which fixed ports are free.
  /// \param Platform address of the store and of the promotion call.
  EntryVm(std::string Name, unsigned DataCentre, std::string Host,
          const Address &Platform, const DeployCommand &Command, Record &Events,
          TaskGroup &Tasks, std::string LogDirectory);

  const std::string &name() const { return this->Name; }
  const Address &callerAddress() const { return this->Callers; }
  bool ready() const { return this->Ready; }
  bool running() const { return this->Process && this->Process->running(); }
  /// Returns the process ID while the process runs.
  std::int64_t processId() const { return this->Process->processId(); }
  bool frozen() const { return this->Frozen; }
  /// Returns whether a task is about to start the process again.
  bool changing() const { return this->Changing; }

  void start();
  /// Kills the process and starts it again after \p Pause.
  QCoro::Task<> restartByKill(Duration Pause);
  /// Sends SIGTERM, after the grace time SIGKILL, and starts the process again.
  QCoro::Task<> restartByStop(Duration Pause);
  /// Stops the process with SIGSTOP for \p Length.
  QCoro::Task<> freeze(Duration Length);
  void hangUp();
  /// Cuts paths for \p Length.
  QCoro::Task<> cut(std::vector<Path *> Paths, bool Forward, bool Backward,
                    Duration Length);
  /// Sends the readiness probe of the platform until stop().
  QCoro::Task<> probe();
  /// Ends the process and the links for good.
  QCoro::Task<> stop();

  Path ToStore;
  Path ToPromotions;
  Path ToServers;

private:
  void saveOutput();
  /// Starts the process that has ended again after \p Pause, which ends the
  /// disruption with the index \p Disruption.
  QCoro::Task<> startAfter(Duration Pause, std::size_t Disruption);
  QCoro::Task<bool> isReady();

  std::string Name;
  Address Callers;
  Address Readiness;
  std::string Program;
  std::vector<std::string> Arguments;
  Record &Events;
  TaskGroup &Tasks;
  std::string LogDirectory;
  std::unique_ptr<LinkListener> StoreLink;
  std::unique_ptr<LinkListener> PromotionLink;
  std::unique_ptr<ChildProcess> Process;
  bool Ready = false;
  bool Frozen = false;
  bool Changing = false;
  bool Stopping = false;
};

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_ENTRYVM_H
