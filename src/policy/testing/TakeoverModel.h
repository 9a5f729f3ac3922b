// The model that TakeoverExplorer searches: the servers, the claim row, the
// orders and the entry VMs of one group, and the events that change them.
//
// A model is a value: the search copies it for each event that it tries.
#ifndef AMARANTHSPUR_POLICY_TESTING_TAKEOVERMODEL_H
#define AMARANTHSPUR_POLICY_TESTING_TAKEOVERMODEL_H

#include "policy/testing/TakeoverExplorer.h"

#include <array>
#include <set>

namespace amaranthspur::testing::detail {

using Kind = ExplorerEventKind;

inline constexpr std::size_t MaxServers = 8;
inline constexpr std::size_t MaxCommits = 30;
/// Operand of Kind::Ask for the claim row.
inline constexpr std::size_t ClaimRowOperand = MaxServers;

struct Entry {
  std::uint8_t TermNumber = 0;
  std::uint8_t Commit = 0; ///< Number of the commit, below 32.
  bool operator==(const Entry &) const = default;
};

struct Server {
  bool Primary = false;
  bool Running = true;
  bool Gone = false;
  bool Deaf = false;
  Term TermNumber = 1;
  Term Held = 0; ///< Not zero while it is paused.
  std::vector<Entry> Log;
};

/// Time limit of a call. A sender that runs gives the call up by then.
inline constexpr Duration CallLimit = milliseconds(700);
/// Time after that limit by which the kernel of a suspended sender has given
/// the connection up, because data is not acknowledged (TCP_USER_TIMEOUT, which
/// is set to the limit of the call, and its timer).
inline constexpr Duration KernelSlack = milliseconds(300);
/// Longest time between the arrival of an order and its effect.
inline constexpr Duration EffectLimit = milliseconds(1000);
/// Time for which a holder waits for the effect of its order.
inline constexpr Duration EffectTimeout = milliseconds(2500);

struct Order {
  std::size_t Target = 0;
  std::size_t Vm = 0;
  std::uint64_t Fence = 0;
  TimePoint ArrivedAt{};
  bool Late = false; ///< It arrived after the time limit of its call.
  std::optional<std::size_t> Old;
  bool Pending = true;
  bool OldReached = false;         ///< The old primary answered the holder.
  std::uint64_t SteppedDownAt = 0; ///< Event of the old primary's answer.
  std::uint64_t LastRead = 0;      ///< Event of the last read of registrations.
  /// Event of the last answer of each server to the holder.
  std::array<std::uint64_t, MaxServers> Answered{};
};

/// What a call does when it arrives.
enum class CallKind {
  Write,  ///< Writes the claim row if it has the expected version.
  Change, ///< Changes the state of a server.
  Order,  ///< Orders a promotion.
};

/// A call of an entry VM.
struct Call {
  CallKind What = CallKind::Change;
  std::size_t Vm = 0;
  TimePoint SentAt{};
  Duration Limit = CallLimit;
  bool GivenUp = false;       ///< The connection was closed, and not reset.
  std::uint64_t Process = 0;  ///< Of the sender.
  std::uint64_t Expected = 0; ///< Of Write.
  ClaimRow Written;           ///< Of Write.
  TakeoverStep Step = TakeoverStep::End;
  std::size_t Server = 0; ///< Of Change.
  Term TermNumber = 0;    ///< Of Change.
  TimePoint Begun{};      ///< When the claim of the sender was begun.
  Order Given;            ///< Of Order.
};

/// The replica that a commit was acknowledged with, and when.
struct Witness {
  std::size_t Replica = 0;
  std::uint64_t At = 0;
};

/// A proof that an entry VM is making.
struct Proving {
  std::size_t Leader = 0;
  Term TermNumber = 0;
  std::uint32_t Missing = 0; ///< Commits that its log lacked at the beginning.
  std::set<std::size_t> Asked;
  std::shared_ptr<const ProofLogic> Logic; ///< Null if there is no proof.
  std::size_t Inputs = 0;                  ///< Hash of all it has been told.
};

/// What an entry VM is doing.
enum class Doing { Nothing, Claiming, Acting };

struct Vm {
  Doing Now = Doing::Nothing;
  bool Undoing = false;
  TakeoverClaim Claim;
  std::vector<TakeoverServer> Plan;
  std::vector<ServerId> Stranded;
  std::optional<std::size_t> Believed; ///< The primary, as last seen.
  TimePoint Begun{};
  std::uint64_t Expected = 0; ///< Version that the claim is based on.
  std::uint64_t Fence = 0;
  std::uint64_t Process = 0; ///< Number of its present process.
  TimePoint OrderBy{};       ///< An order must have been abandoned then.
  TimePoint OrderEnd{};      ///< End of the call of the last order.
  std::shared_ptr<const TakeoverLogic> Logic;
  TakeoverAction Action;
  std::vector<std::size_t> Pending; ///< Servers that the step has yet to call.
  ServerReports Answers;
  bool Waiting = false;  ///< It waits for the answer to a held-up call.
  std::size_t Asked = 0; ///< The server of that call.
  TimePoint Ordered{};
  Order Given;          ///< The facts of the present takeover.
  ClaimOutcome Outcome; ///< What is known when the claim is released.
  Proving Proof;
  std::size_t Inputs = 0; ///< Hash of all that Logic has been told.
};

/// Returns the id of the server with \p Index, a letter.
inline ServerId idOf(std::size_t Index) {
  return ServerId(std::string(1, static_cast<char>('a' + Index)));
}
inline std::size_t indexOf(const ServerId &Id) { return Id.str()[0] - 'a'; }

inline EntryVmId vmId(std::size_t Index) {
  return EntryVmId("vm" + std::to_string(Index));
}

inline std::int64_t inMs(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

/// Adds \p Value to \p Hash.
inline void mix(std::size_t &Hash, std::size_t Value) {
  Hash = (Hash ^ (Value + 0x9e3779b97f4a7c15ULL)) * 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 32U;
}

/// The state of the group and of the entry VMs.
class TakeoverModel {
public:
  explicit TakeoverModel(const ExplorerOptions &Options) : Options(&Options) {
    this->Servers.resize(Options.Servers);
    this->Vms.resize(Options.Vms);
    for (Server &S : this->Servers)
      S.Log = {{1, 0}};
    this->Servers[0].Primary = true;
    this->Led[0] = FirstTerm;
    for (std::size_t V = 0; V < Options.Vms; ++V) {
      this->Vms[V].Believed = 0;
      this->Vms[V].Claim = TakeoverClaim(vmId(V));
      if (Options.PrimaryHidden)
        this->Cuts.insert({V, 0});
    }
  }

  std::vector<ExplorerEvent> enabled(bool Coarse) const;
  bool isEnabled(const ExplorerEvent &E) const;
  void apply(const ExplorerEvent &E, bool Coarse);
  std::size_t hash() const;

  TimePoint now() const { return this->Now; }
  /// Returns whether the platform's present primary leads.
  bool isLed() const {
    const Server &S = this->Servers[this->Leader];
    return S.Running && !S.Gone && S.Primary;
  }
  std::size_t leader() const { return this->Leader; }
  /// Returns whether the last commit has been acknowledged.
  bool isLastAcknowledged() const {
    return (this->Acknowledged & (1U << (this->Commits - 1U))) != 0;
  }
  /// Returns for how long the order \p Index has been pending.
  Duration pendingFor(std::size_t Index) const {
    return this->Now - this->Orders[Index].ArrivedAt;
  }
  std::size_t vms() const { return this->Vms.size(); }
  std::string describe(const ExplorerEvent &E) const;

  std::string Violation; ///< The name of the invariant, a colon, and the case.
  std::optional<TakeoverGap> Gap;
  std::uint64_t Takeovers = 0;

private:
  ServerReport report(const Server &S) const;
  bool reaches(std::size_t V, std::size_t S) const {
    return this->Servers[S].Running && !this->Servers[S].Gone &&
           this->Cuts.count({V, S}) == 0;
  }
  bool mayDeliver(std::size_t From, std::size_t To) const;
  /// Returns whether \p C may still arrive.
  bool mayArrive(const Call &C) const;
  /// Returns whether time may advance by \p Time without an order that takes
  /// effect too late.
  bool mayWait(Duration Time) const;
  /// Returns whether a call of the present step of \p V may fail in this way.
  bool mayFail(const Vm &V, Kind How) const;
  /// Returns whether the present step of \p V sends a call that may be held up.
  bool maySend(const Vm &V) const;
  /// Returns whether nothing is lost with the log of \p S.
  bool mayLeave(std::size_t S) const;
  std::vector<std::size_t> stranded(std::size_t V) const;

  void observeRow();
  void observeRow(Vm &V) const;
  void plan(std::size_t V);
  void undo(std::size_t V);
  void step(std::size_t V, std::size_t S, Kind How, bool Coarse);
  void claim(std::size_t V, Kind How);
  void call(std::size_t V, std::size_t S, Kind How);
  void order(std::size_t V, Kind How);
  /// Returns the call of the present step of \p V, at server \p S if it is one.
  Call makeCall(std::size_t V, std::size_t S) const;
  bool mayClaim(std::size_t V, ClaimPurpose Purpose) const;
  /// Returns whether the claim must be confirmed again before an order, because
  /// too little time is left for it.
  bool mustRenew(const Vm &V) const;
  ClaimCheck confirm(std::size_t V, Kind How);
  void holdUp(std::size_t V, std::size_t S);
  void giveUp(std::size_t V);
  /// Takes the calls of \p V off the network, if its connections are reset.
  void reset(std::size_t V);
  /// Lets a call that was held up have its effect; nobody hears of its answer.
  void arrive(std::size_t Index);
  void change(const Call &C);
  PromotionOutcome takeOrder(const Call &C);
  /// Writes the claim row if it has the version that \p C expects.
  bool write(const Call &C);
  void prove(std::size_t V, std::size_t S);
  void ask(std::size_t V, std::size_t S);
  /// Lets the logic of \p V decide its next step.
  void decide(std::size_t V);
  /// Looks for servers that the takeover of \p V has kept from the new primary.
  void checkStranded(std::size_t V);
  void restart(std::size_t S);
  /// Acknowledges all commits of \p Primary, whose log \p Replica has now.
  void acknowledge(std::size_t Primary, std::size_t Replica);
  void takeEffect(Order &O);
  /// Returns whether the holder heard from none of the replicas that \p Lost
  /// were acknowledged with after that had happened.
  bool isUnseen(std::uint32_t Lost, const Order &O) const;
  /// Returns whether no server but the old primary has any of \p Lost.
  bool isHeldByNone(std::uint32_t Lost, const Order &O) const;
  /// Records a violation, unless it is not to be checked.
  void violate(Invariant What, const std::string &Text);
  /// The same for lost commits, with the gap if it is one.
  void violate(Invariant What, const std::string &Text, std::uint32_t Lost,
               const Order &O);

  const ExplorerOptions *Options;
  TimePoint Now{std::chrono::seconds(100)};
  std::uint64_t Events = 0;
  std::vector<Server> Servers;
  std::vector<Vm> Vms;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::map<Kind, unsigned> Used;
  std::size_t Leader = 0; ///< The platform's present primary.
  Term LeaderTerm = 1;
  std::vector<Order> Orders;
  std::map<Term, Order> Effects; ///< The promotions by term.
  std::uint8_t Commits = 1;
  std::array<Witness, MaxCommits> Witnesses{};
  std::uint32_t Acknowledged = 1; ///< A bit for each commit.
  std::uint32_t Removed = 0;      ///< Those that a promotion has removed.
  std::uint32_t Stray = 0;        ///< Those of superseded primaries.
  std::uint64_t LastRelease = 0;  ///< Last event that let a server receive.
  std::uint64_t OldRestarted = 0; ///< Last restart of Leader.
  std::map<std::uint64_t, std::size_t> OrderedBy; ///< Entry VM by version.
  std::optional<Order> LastOrder; ///< That arrived, whatever the answer.
  std::uint64_t HighestFence = 0; ///< Of the orders that have arrived.
  std::vector<Call> InFlight;     ///< Calls that are held up.
  std::uint64_t RowVersion = 0;
  std::optional<std::size_t> RowWriter; ///< Entry VM that wrote the row.
  std::uint64_t RowProcess = 0;         ///< Its process then.
  ClaimRow Row = parseClaimRow(0, {});
  std::array<Term, MaxServers> Led{}; ///< Last term that each server has led.
};

} // namespace amaranthspur::testing::detail

namespace amaranthspur {

template <> struct EnumNames<testing::detail::CallKind> {
  using Kind = testing::detail::CallKind;
  static constexpr auto Entries =
      std::to_array<std::pair<Kind, std::string_view>>(
          {{Kind::Write, "write"},
           {Kind::Change, "change"},
           {Kind::Order, "order"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_POLICY_TESTING_TAKEOVERMODEL_H
