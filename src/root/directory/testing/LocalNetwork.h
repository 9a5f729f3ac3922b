// Entry VMs of one test process that exchange messages.
#ifndef AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H
#define AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H

#include "core/Async.h"
#include "root/peers/PeerNetwork.h"

#include <QCoreApplication>
#include <QTimer>

#include <map>

namespace amaranthspur {

/// The data centre of all entry VMs.
inline constexpr const char *Here = "joburg-a";

/// Delivers messages between the directories of one test from the event loop.
class LocalNetwork {
public:
  class Port final : public PeerNetwork {
  public:
    Port(LocalNetwork &Network, EntryVmId Self)
        : Network(Network), Self(std::move(Self)) {
      Network.Ports[this->Self] = this;
      Network.Members.push_back({this->Self, "127.0.1.1:7000", DataCentre(Here),
                                 1, MemberState::Live});
    }

    bool send(const EntryVmId &To, peer::Envelope Message) override {
      const auto Found = this->Network.Ports.find(To);
      if (Found == this->Network.Ports.end())
        return false;
      QTimer::singleShot(
          0, [Target = Found->second, From = this->Self, Message]() mutable {
            const auto Handler = Target->Handlers.find(Message.body_case());
            if (Handler != Target->Handlers.end())
              Handler->second(From, Message);
          });
      return true;
    }
    void handle(peer::Envelope::BodyCase Kind, Handler H) override {
      this->Handlers[Kind] = std::move(H);
    }
    const std::vector<Member> &members() const override {
      return this->Network.Members;
    }
    void listen(std::function<void()> /*Listener*/) override {}
    void leave() override {}

  private:
    LocalNetwork &Network;
    EntryVmId Self;
    QObject Context; ///< Messages to a port that is gone are dropped.
    std::map<peer::Envelope::BodyCase, Handler> Handlers;
  };

  std::map<EntryVmId, Port *> Ports;
  std::vector<Member> Members;
};

/// Runs the event loop until \p Holds, for at most 20 s.
template <typename Condition> bool eventually(Condition Holds) {
  const TimePoint Deadline = steadyNow() + std::chrono::seconds(20);
  while (!Holds() && steadyNow() < Deadline)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
  return Holds();
}

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_DIRECTORY_TESTING_LOCALNETWORK_H
