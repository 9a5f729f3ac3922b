// Keeps the configuration of this entry VM up to date.
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
  std::uint64_t Rejected = 0; ///< Contents that failed verification.
  std::uint64_t ContentSent = 0;
};

/// Holds the configuration in force and fetches newer revisions from the
/// platform and from peers. The configuration in force is kept when the child
/// is restarted.
class ConfigDirectory final : public Child, public Directory {
public:
  using VmListListener = std::function<void(const std::vector<PlatformVm> &)>;

  /// \p Service and \p Peers must outlive the directory.
  ConfigDirectory(const EntryVmId &Self, const DataCentre &OwnDataCentre,
                  Platform &Service, PeerNetwork &Peers);

  std::string_view name() const override { return "directory"; }
  QCoro::Task<Result<Success>> start() override;
  QCoro::Task<> stop(TimePoint Deadline) override;

  std::shared_ptr<const Configuration> current() const override;
  void listen(std::function<void()> Listener) override;

  /// Records that \p Peer has \p Revision in force. Called for each heartbeat.
  void onPeerRevision(const EntryVmId &Peer, std::uint64_t Revision);

  /// Calls \p Listener with every VM list that is read from the platform.
  void listenToVmList(VmListListener Listener);

  /// Returns the object `configuration` of `/status`, with the members
  /// `revision`, which amaranthspurctl reads, `hash` and `platform_reachable`.
  QJsonObject status() const;

  const DirectoryCounters &counters() const { return this->Counters; }

private:
  QCoro::Task<> pollHead();
  QCoro::Task<> pollVmList();
  QCoro::Task<> fetchContent();

  QCoro::Task<> readHead();
  QCoro::Task<> fetchFromStore(ConfigFetchChoice Choice);
  QCoro::Task<> fetchFromPeer(ConfigFetchChoice Choice);

  void handleFetch(const EntryVmId &From, const peer::ConfigFetch &Request);
  void handleContent(const EntryVmId &From, const peer::ConfigContent &Message);
  /// Verifies a revision and puts it into force if it is valid and newer.
  void verifyAndAdopt(std::uint64_t Revision, const std::string &Hash,
                      const std::string &Content, std::string_view From);
  void reject(std::uint64_t Revision, std::string_view From,
              std::string_view Reason);
  void setPlatformReachable(bool Reachable);
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
  WaitPoint FetchSignal; ///< Woken when a newer revision may be known.
  WaitPoint PeerAnswered;
  WaitPoint TasksEnded;
  unsigned RunningTasks = 0;
  bool Stopping = true;
  bool ListRead = false;
  bool PlatformReachable = true;
  /// The last rejection that was logged. Repeated rejections are not logged.
  std::string LastRejection;
  /// The peer whose answer fetchFromPeer() waits for.
  std::optional<EntryVmId> AskedPeer;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_CONFIGDIRECTORY_H
