// Keeps the configuration in force up to date.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_CONFIGDIRECTORY_H
#define AMARANTHSPUR_ROOT_DIRECTORY_CONFIGDIRECTORY_H

#include "config/Head.h"
#include "core/Async.h"
#include "platform/Platform.h"
#include "policy/ConfigAdoption.h"
#include "root/Supervisor.h"
#include "root/directory/Directory.h"
#include "root/peers/PeerNetwork.h"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthspur {

/// Counters for metrics.
struct DirectoryCounters {
  std::uint64_t HeadReads = 0;
  std::uint64_t HeadFailures = 0;
  std::uint64_t ListReads = 0;
  std::uint64_t ListFailures = 0;
  std::uint64_t Adopted = 0;
  std::uint64_t Rejected = 0; ///< Content that failed its verification.
  std::uint64_t ContentSent = 0;
};

/// Holds the configuration in force and takes newer revisions from the
/// platform and from peers. What is in force survives a restart of the child.
class ConfigDirectory final : public Child, public Directory {
public:
  using VmListListener = std::function<void(const std::vector<PlatformVm> &)>;

  /// \param Service and \param Peers outlive the directory.
  ConfigDirectory(const EntryVmId &Self, const DataCentre &Here,
                  Platform &Service, PeerNetwork &Peers);

  std::string_view name() const override { return "directory"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  std::shared_ptr<const Configuration> current() const override;
  void listen(std::function<void()> Listener) override;

  /// Tells that \p Peer has \p Revision in force; called for each heartbeat.
  void onPeerRevision(const EntryVmId &Peer, std::uint64_t Revision);

  /// Calls \p Listener with every VM list that the platform gives.
  void listenToVmList(VmListListener Listener);

  /// Returns the member `configuration` of `/status`: `{"revision", "hash",
  /// "platform_reachable"}`. amaranthspurctl reads the revision.
  QJsonObject status() const;

  const DirectoryCounters &counters() const { return this->Counters; }

private:
  QCoro::Task<> pollHead();
  QCoro::Task<> pollVmList();
  QCoro::Task<> fetchContent();

  QCoro::Task<> readHead();
  QCoro::Task<> fetchFromStore(ConfigFetchChoice Choice);
  QCoro::Task<> fetchFromPeer(ConfigFetchChoice Choice);

  void answerFetch(const EntryVmId &From, const peer::ConfigFetch &Request);
  void takeContent(const EntryVmId &From, const peer::ConfigContent &Message);
  /// Verifies a revision and brings it into force.
  void offer(std::uint64_t Revision, const std::string &Hash,
             const std::string &Content, std::string_view From);
  void reject(std::uint64_t Revision, std::string_view From,
              std::string_view Reason);
  void noteReachable(bool Reachable);
  void taskEnded();

  Platform &Service;
  PeerNetwork &Peers;
  ConfigAdoption Adoption;
  std::shared_ptr<const Configuration> InForce;
  std::string HashInForce;
  std::string ContentInForce;
  std::vector<std::function<void()>> Listeners;
  std::vector<VmListListener> VmListListeners;
  DirectoryCounters Counters;

  WaitPoint HeadTimer;
  WaitPoint ListTimer;
  WaitPoint FetchWanted; ///< A newer revision may be known.
  WaitPoint PeerAnswered;
  WaitPoint TasksEnded;
  unsigned RunningTasks = 0;
  bool Stopping = true;
  bool ListRead = false;
  bool PlatformReachable = true;
  std::string LastRejection; ///< Logged once, although it is tried again.
  std::optional<EntryVmId> AskedPeer;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_CONFIGDIRECTORY_H
