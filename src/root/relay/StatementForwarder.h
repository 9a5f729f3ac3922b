// Forwards statements to the forwarders of the entry VM's data centre and of
// others.
#ifndef AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H
#define AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H

#include "policy/ForwarderChoice.h"
#include "root/relay/RelayLink.h"
#include "root/sessions/ForwardedStatement.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// The links of one entry VM to forwarders.
///
/// A statement is sent to one forwarder once. If that does not answer, or
/// refuses, it is avoided for a while. Links to the forwarders of the own data
/// centre are opened at once, those to others when they are first needed. A
/// statement never waits for a link: until it is open, the next candidate is
/// the home.
class StatementForwarder final : public StatementForwarding {
public:
  /// A forwarder is given up for a read after this time without a reply to any
  /// request. A write is waited for until its deadline, since the outcome would
  /// be unknown and a takeover takes longer than this. A read takes 47 ms on
  /// average, and 250 ms in a full queue.
  static constexpr Duration Patience = milliseconds(400);
  /// Time for which a forwarder is avoided that gave no answer, or refused.
  static constexpr Duration AvoidTime = std::chrono::seconds(2);

  /// \param Self name of this entry VM.
  /// \param Where its location and the region of each data centre.
  explicit StatementForwarder(EntryVmId Self, Locality Where = {})
      : Self(Self), Where(Where), Choice(std::move(Self), std::move(Where)) {}

  /// Sets the forwarders of the data centre. Links to others are closed, except
  /// those to forwarders of other data centres.
  /// \param Context of the ZeroMQ sockets; must outlive the links.
  /// \param Token shared by the entry VMs of the data centre.
  void setForwarders(zmq::context_t &Context,
                     std::vector<ForwarderVm> Forwarders,
                     const std::string &Token);
  /// Sets the forwarders of other data centres. Links to those that are left
  /// out are closed.
  /// \param Context of the ZeroMQ sockets; must outlive the links.
  void setRemoteForwarders(zmq::context_t &Context,
                           std::vector<RemoteForwarders> Others);
  /// Closes all links; statements are run here from now on.
  void close();

  /// Returns the number of links to forwarders of other data centres.
  std::size_t remoteLinks() const;

  HomePlace homeOf(const HomeQuery &Query) override;
  QCoro::Task<ForwardResult> forward(HomeQuery Query,
                                     ForwardedStatement Given) override;

private:
  struct Target {
    ForwarderVm Who;
    std::string Token; ///< Of requests to it.
    Distance Away = Distance::SameDataCentre;
    std::shared_ptr<RelayLink> Link; ///< Null: not needed yet.
    TimePoint AvoidedUntil{};
  };

  /// Makes the targets match the lists of forwarders.
  void updateTargets();
  /// Adds \p Who to \p Kept, with the link that it already has.
  void keepTarget(std::map<EntryVmId, Target> &Kept, const ForwarderVm &Who,
                  const std::string &OfToken, Distance Away) const;
  std::shared_ptr<RelayLink> openLink(const ForwarderVm &Who) const;
  /// Returns whether a statement can be sent to \p T now. Opens its link if it
  /// has none.
  bool isUsable(Target &T) const;
  /// Returns the home of \p Query, which may be this entry VM; nothing if no
  /// candidate is usable.
  std::optional<EntryVmId> chosen(const HomeQuery &Query);
  /// Forwards nothing to \p Vm for AvoidTime, if it is still reached over
  /// \p Used.
  void avoid(const EntryVmId &Vm, const std::shared_ptr<RelayLink> &Used);

  EntryVmId Self;
  Locality Where;
  HomeChoice Choice;
  zmq::context_t *Context = nullptr;   ///< Set with the first forwarders.
  std::string Token;                   ///< Of the own data centre.
  std::map<EntryVmId, Target> Targets; ///< Without this entry VM.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H
