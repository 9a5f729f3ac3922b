// The exchange of the relay of a data centre with the relays of the others.
//
// The relays tell each other the forwarders of their data centres and lend each
// other tokens of quotas. One task for each other data centre finds the relay
// there by its row in the platform's store and sends it requests
// (policy/RelayContact.h decides when). Data centres that cannot exchange are
// served as if there were no exchange.
#ifndef AMARANTHSPUR_ROOT_RELAY_RELAYPEERS_H
#define AMARANTHSPUR_ROOT_RELAY_RELAYPEERS_H

#include "platform/Platform.h"
#include "policy/RelayContact.h"
#include "root/relay/QuotaBoard.h"
#include "root/relay/RelayLink.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// The contacts of this relay with those of the other data centres.
class RelayPeers {
public:
  /// Time limit of one request; a round trip between regions takes 16 ms.
  static constexpr Duration ExchangeTimeout = milliseconds(500);
  /// Time limit of a read of a row.
  static constexpr Duration RowTimeout = milliseconds(1200);

  /// \param Self name of this entry VM.
  /// \param Location its data centre.
  /// \param Others the other data centres of the deployment.
  /// \param Store, Counters must outlive this object.
  RelayPeers(EntryVmId Self, DataCentre Location,
             std::vector<DataCentre> Others, Platform &Store,
             Metrics &Counters);

  /// Sets the quotas whose tokens are lent.
  /// \pre the exchange has not been started.
  void setQuotas(QuotaBoard &Shared) { this->Quotas = &Shared; }

  /// Starts or ends the exchange; nothing happens if it is in that state. The
  /// other data centres are unknown after an end.
  /// \param Context of the ZeroMQ sockets; must outlive the exchange.
  void setActive(zmq::context_t &Context, bool Wanted);
  /// Ends the exchange and waits for its tasks.
  QCoro::Task<> stop(TimePoint Deadline);

  /// Sets the forwarders of this data centre.
  void setOwnForwarders(const std::vector<ForwarderVm> &Own) {
    this->Own = Own;
  }
  /// Returns the forwarders of each other data centre that is in contact,
  /// ordered by data centre.
  std::vector<RemoteForwarders> remoteForwarders() const;

  /// Answers a request of the relay of another data centre.
  /// \param Sender name of that relay.
  /// \returns nothing if the data centre is not one of the others.
  std::optional<relay::ExchangeReply>
  answer(const relay::ExchangeRequest &Asked, const std::string &Sender);

private:
  void start(zmq::context_t &Context);
  void end();

  /// One other data centre, for one period of the exchange.
  struct Peer {
    DataCentre Location;
    RelayContact Contact;
    std::shared_ptr<RelayLink> Link; ///< To the relay of the known row.
    bool Reached = false;            ///< As it was logged last.
    bool Ended = false;
    WaitPoint Wake;
  };

  /// The task of one other data centre.
  QCoro::Task<> run(std::shared_ptr<Peer> P, zmq::context_t &Context);
  QCoro::Task<> readRow(std::shared_ptr<Peer> P);
  /// Sends one request. \p Wanted are the tokens that it asks for.
  QCoro::Task<> exchange(std::shared_ptr<Peer> P, zmq::context_t &Context,
                         std::optional<QuotaLoanRequest> Wanted);
  ExchangeResult applyReply(Peer &P, const std::optional<relay::Reply> &Reply);
  void observeRow(Peer &P, const RelayRow &Seen);
  /// Logs when the relay is reached or lost.
  void updateReached(Peer &P);
  /// Returns whether tokens may be wanted at all.
  bool mayBorrow() const {
    return this->Quotas && this->Quotas->needsAuthority();
  }

  EntryVmId Self;
  DataCentre Location;
  std::vector<DataCentre> Others;
  Platform &Store;
  Metrics &Counters;
  QuotaBoard *Quotas = nullptr;
  std::vector<ForwarderVm> Own;
  std::map<DataCentre, std::shared_ptr<Peer>> Peers; ///< Empty if not active.
  bool Active = false;
  TaskGroup Tasks;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_RELAYPEERS_H
