// An in-process network between the entry VMs of a test.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H
#define AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H

#include "core/Async.h"
#include "root/peers/PeerNetwork.h"

#include <QCoreApplication>
#include <QTimer>

#include <map>

namespace amaranthspur {

/// The data centre of all entry VMs of the network.
inline constexpr const char *LocalDataCentre = "joburg-a";

/// Delivers messages between the directories of a test through the event loop.
class LocalNetwork {
public:
  /// The network as one entry VM sees it.
  class Endpoint final : public PeerNetwork {
  public:
    Endpoint(LocalNetwork &Network, EntryVmId Self)
        : Network(Network), Self(std::move(Self)) {
      Network.Endpoints[this->Self] = this;
      Network.Members.push_back({this->Self, "127.0.1.1:7000",
                                 DataCentre(LocalDataCentre), 1,
                                 MemberState::Live});
    }

    bool send(const EntryVmId &To, peer::Envelope Message) override {
      const auto Found = this->Network.Endpoints.find(To);
      if (Found == this->Network.Endpoints.end())
        return false;
      QTimer::singleShot(
          0, [Target = Found->second, From = this->Self, Message]() mutable {
            const auto Handler = Target->Handlers.find(Message.body_case());
            if (Handler != Target->Handlers.end())
              Handler->second(From, Message);
          });
      return true;
    }
    void setHandler(peer::Envelope::BodyCase Kind, Handler H) override {
      this->Handlers[Kind] = std::move(H);
    }
    const std::vector<Member> &members() const override {
      return this->Network.Members;
    }
    void addListener(std::function<void()> /*Listener*/) override {}
    void leave() override {}

  private:
    LocalNetwork &Network;
    EntryVmId Self;
    QObject Context; ///< Not used by send() at present.
    std::map<peer::Envelope::BodyCase, Handler> Handlers;
  };

  std::map<EntryVmId, Endpoint *> Endpoints;
  std::vector<Member> Members;
};

/// Runs the event loop until \p Holds returns true, but at most 20 s. Returns
/// the last result of \p Holds.
template <typename Condition> bool eventually(Condition Holds) {
  const TimePoint Deadline = steadyNow() + std::chrono::seconds(20);
  while (!Holds() && steadyNow() < Deadline)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
  return Holds();
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H
