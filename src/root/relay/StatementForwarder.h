// Forwards statements to the forwarders of the data centre.
#ifndef AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H
#define AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H

#include "policy/ForwarderChoice.h"
#include "root/relay/RelayLink.h"
#include "root/sessions/ForwardedStatement.h"

#include <map>
#include <memory>
#include <vector>

namespace amaranthspur {

/// The links of one entry VM to the forwarders of its data centre.
///
/// A statement is sent to one forwarder once. If that does not answer, or
/// refuses, it is avoided for a while.
class StatementForwarder final : public StatementForwarding {
public:
  /// A forwarder is given up for a read after this time without a reply to any
  /// request. A write is waited for until its deadline, since the outcome would
  /// be unknown and a takeover takes longer than this. A read takes 47 ms on
  /// average, and 250 ms in a full queue.
  static constexpr Duration Patience = milliseconds(400);
  /// Time for which a forwarder is avoided that gave no answer, or refused.
  static constexpr Duration AvoidTime = std::chrono::seconds(2);
  /// Forwarders that are considered for a service, in the order of preference.
  static constexpr std::size_t MaxCandidates = 2;

  /// \param Self name of this entry VM.
  explicit StatementForwarder(EntryVmId Self) : Self(std::move(Self)) {}

  /// Sets the forwarders of the data centre. Links to others are closed.
  /// \param Context of the ZeroMQ sockets; must outlive the links.
  /// \param Token shared by the entry VMs of the data centre.
  void setForwarders(zmq::context_t &Context,
                     std::vector<ForwarderVm> Forwarders,
                     const std::string &Token);
  /// Sets the forwarders of the other data centres.
  /// \param Context of the ZeroMQ sockets; must outlive the links.
  void setRemoteForwarders(zmq::context_t &Context,
                           std::vector<RemoteForwarders> Others);
  /// Closes all links; statements are run here from now on.
  void close();

  bool isForwarded(const ServiceName &Service,
                   const WorkspaceName &Of) const override;
  bool isHome(const ServiceName &Service,
              const WorkspaceName &Of) const override;
  QCoro::Task<ForwardResult> forward(ForwardedStatement Given) override;

private:
  struct Target {
    ForwarderVm Who;
    std::shared_ptr<RelayLink> Link;
    TimePoint AvoidedUntil{};
  };

  /// Returns the forwarder of \p Service and \p Of, which may be this entry VM;
  /// null if none of the first ones is usable.
  const ForwarderVm *chosen(const ServiceName &Service,
                            const WorkspaceName &Of) const;
  /// Returns the forwarder of \p Service and \p Of, or null if their statements
  /// are run here.
  const Target *targetOf(const ServiceName &Service,
                         const WorkspaceName &Of) const;

  /// Forwards nothing to \p Vm for AvoidTime.
  void avoid(const EntryVmId &Vm);

  EntryVmId Self;
  std::string Token;
  std::vector<ForwarderVm> Forwarders;
  std::vector<RemoteForwarders> Remote; ///< Of the other data centres.
  std::map<EntryVmId, Target> Targets;  ///< Without this entry VM.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_STATEMENTFORWARDER_H
