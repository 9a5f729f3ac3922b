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
inline constexpr std::size_t MaxCommits = 8;
/// Operand of Kind::Ask for the claim row.
inline constexpr std::size_t ClaimRowOperand = MaxServers;

struct Entry {
  std::uint8_t TermNumber = 0;
  std::uint8_t Commit = 0;      ///< Number of the commit, below MaxCommits.
  std::uint16_t ReceivedAt = 0; ///< Event at which the server received it.
  bool operator==(const Entry &Other) const {
    return this->TermNumber == Other.TermNumber && this->Commit == Other.Commit;
  }
};

struct Server {
  bool Primary = false;
  bool Running = true;
  bool Gone = false;
  bool Deaf = false;
  Term TermNumber = 1;
  Term Held = 0; ///< Not zero while it is paused.
  std::vector<Entry> Log;
  bool Registered = true;
  bool Draining = false;
  bool Expiring = false;         ///< It is gone, and its registration is not.
  std::uint64_t Start = 1;       ///< Differs after a restart.
  std::uint64_t RestartedAt = 0; ///< Event.
  std::uint64_t ResumedAt = 0;   ///< Event.
  std::optional<std::size_t> Predecessor; ///< Its id before its return.
};

/// Returns a bit for each commit in \p Log.
inline std::uint32_t commitsIn(const std::vector<Entry> &Log) {
  std::uint32_t Commits = 0;
  for (const Entry &E : Log)
    Commits |= 1U << E.Commit;
  return Commits;
}

/// Time limit of a call. A sender that runs gives the call up by then.
inline constexpr Duration CallLimit = milliseconds(700);
/// Time after that limit by which the kernel of a suspended sender has given
/// the connection up, because data is not acknowledged (TCP_USER_TIMEOUT, which
/// is set to the limit of the call, and its timer).
inline constexpr Duration KernelSlack = milliseconds(300);
/// Time for which a holder waits for the effect of its order.
inline constexpr Duration EffectTimeout = milliseconds(2500);

struct Order {
  std::size_t Target = 0;
  std::size_t Vm = 0;
  std::uint64_t Fence = 0;
  TimePoint ArrivedAt{};
  std::uint64_t TookEffectAt = 0; ///< Event.
  /// It arrived after the time limit of its call, or this order or an earlier
  /// one took effect after its holder's wait.
  bool Late = false;
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

/// The replica that a commit was acknowledged with, and when it received it.
struct Witness {
  std::size_t Replica = 0;
  std::uint64_t At = 0;
  bool Unheard = false;  ///< The observer had not heard of its last restart.
  bool Draining = false; ///< The observer knew that it leaves.
};

/// A commit, as its writer knows it.
struct Commit {
  LogPosition Position;
  std::size_t Primary = 0;
  std::uint64_t SentAt = 0; ///< Event.
  Term RemovedBy = 0;       ///< Promotion that has removed it last.
  Witness Acknowledged;     ///< By the primary.
  Witness Passed;           ///< On to the caller.
};

/// What the observer knows of a server.
struct Observed {
  bool Listed = false;
  bool Primary = false; ///< As it has registered.
  /// It has registered as a primary and not reported since.
  bool LedUnknownTerm = false;
  bool Draining = false;
  std::uint64_t Start = 0;
  std::uint64_t Since = 0;   ///< Event at which it heard of the registration.
  std::size_t LogLength = 0; ///< When it heard that the server leaves.
  LogPosition End;           ///< Reported as a replica while it was listed.
  Term ProvedTerm = 0;       ///< Lowest of a proof since then; 0 if none.
  Term Led = 0;              ///< Reported as a primary while it was listed.
  LogPosition UnlistedEnd;   ///< Reported while it was not.
};

/// A proof that an entry VM is making.
struct Proving {
  std::size_t Leader = 0;
  std::uint64_t Since = 0; ///< Event at which it was begun.
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
  bool Waiting = false;       ///< It waits for the answer to a held-up call.
  bool WaitsForOrder = false; ///< That call is an order.
  std::size_t Asked = 0;      ///< The server of that call.
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
  explicit TakeoverModel(const ExplorerOptions &Options);

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
  /// Returns whether the acknowledgement of the last commit has been passed on.
  bool isLastPassed() const {
    return (this->Passed & (1U << (this->Commits - 1U))) != 0;
  }
  /// Returns for how long the order \p Index has been pending.
  Duration pendingFor(std::size_t Index) const {
    return this->Now - this->Orders[Index].ArrivedAt;
  }
  std::size_t vms() const { return this->Vms.size(); }
  std::string describe(const ExplorerEvent &E) const;

  std::string Violation; ///< The name of the invariant, a colon, and the case.
  std::optional<TakeoverGap> Gap;
  std::optional<FoundFault> Fault; ///< That is skipped.
  /// Returns whether there is a violation that counts.
  bool isBroken() const {
    return !this->Violation.empty() && !this->Gap && !this->Fault;
  }
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
  bool mayLeave(std::size_t S) const;
  /// Returns whether a running replica other than \p S has the first \p Length
  /// entries of its log.
  bool isTransferred(std::size_t S, std::size_t Length) const;
  /// Returns whether a server that joins is registered in the same event.
  bool registersAtOnce() const {
    const auto Limit = this->Options->Limits.find(Kind::Register);
    return Limit != this->Options->Limits.end() && Limit->second == 0;
  }
  /// Returns whether the store has a registration of \p S.
  bool isListed(std::size_t S) const {
    const Server &X = this->Servers[S];
    return X.Registered && (!X.Gone || X.Expiring);
  }
  /// Returns the primary that the registrations show.
  std::optional<std::size_t> registeredPrimary() const;
  /// Returns whether \p S is the old primary of \p O, under any id.
  bool isOld(std::size_t S, const Order &O) const {
    return O.Old && (O.Old == S || O.Old == this->Servers[S].Predecessor);
  }
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
  void comeBack(std::size_t S);
  void die(std::size_t V);
  /// Lets the primary \p S append a commit.
  void commit(std::size_t S);
  /// Starts a server with the log of \p Primary.
  void join(std::size_t Primary);
  /// Gives \p To the log of \p From.
  void receive(std::size_t To, std::size_t From);
  /// Acknowledges all commits of \p Primary, whose log \p Replica has now.
  void acknowledge(std::size_t Primary, std::size_t Replica);
  /// Reports a violation if the holder that has superseded \p Primary of the
  /// term \p Led could reach it, and so could end its acknowledgement of \p C.
  void checkSuperseded(std::size_t Primary, Term Led, std::size_t C);
  /// Returns whether the acknowledgement of \p C counts when it is passed on.
  bool isJudgedLater(std::size_t C, std::size_t Primary) const;
  /// Returns what the observer would know of the registration of \p S.
  Observed registration(std::size_t S) const;
  bool mayHear(std::size_t S) const;
  bool mayReport(std::size_t S) const;
  void hear(std::size_t S);
  void reportToObserver(std::size_t S);
  void observeProof(Term T, std::uint64_t At);
  /// Lets the observer learn what it learns at once, and pass on what it may.
  void observe();
  void pass(std::size_t C, std::size_t Holder);
  /// Returns whether \p S restarted or was resumed after the last read of the
  /// registrations for \p O.
  bool isReleased(std::size_t S, const Order &O) const {
    return std::max(this->Servers[S].RestartedAt, this->Servers[S].ResumedAt) >
           O.LastRead;
  }
  /// Calls \p What with each order, and with what is known for the next ones.
  template <typename Call> void forEachOrder(const Call &What) const {
    for (const Order &O : this->Orders)
      What(O);
    for (const Vm &V : this->Vms)
      if (V.Now == Doing::Acting)
        What(V.Given);
  }
  /// Returns whether another acknowledgement may be passed on.
  bool mayPassMore() const;
  /// Adds what the observer knows to \p Hash.
  void mixObserver(std::size_t &Hash) const;
  /// Returns the time that stands for the event \p At.
  static TimePoint timeOf(std::uint64_t At) {
    return TimePoint(Duration(static_cast<Duration::rep>(At)));
  }
  void takeEffect(Order &O);
  /// Returns whether the holder has heard nothing of \p W since it received the
  /// commit.
  static bool isUnseen(const Witness &W, const Order &O) {
    return O.Answered[W.Replica] < W.At;
  }
  /// Returns the gap in which \p Lost may be lost by \p O.
  std::optional<TakeoverGap> gapOf(Invariant What, std::uint32_t Lost,
                                   const Order &O) const;
  /// Returns whether no registered server but the old primary has any of
  /// \p Lost.
  bool isHeldByNone(std::uint32_t Lost, const Order &O) const;
  /// Returns the open fault by which \p Lost are lost by \p O.
  std::optional<FoundFault> faultOf(std::uint32_t Lost, const Order &O) const;
  /// Records a violation by a fault that is open.
  void violate(FoundFault What, Invariant Broken, const std::string &Text);
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
  std::array<Commit, MaxCommits> Written{};
  std::uint32_t Acknowledged = 1; ///< A bit for each commit.
  std::uint32_t Answered = 1;     ///< Those that their first primary answered.
  std::uint32_t Passed = 1;       ///< Those whose callers have been told.
  std::uint32_t Counted = 1;      ///< Those that a proved primary must have.
  std::uint32_t Removed = 0;      ///< Those that a promotion has removed.
  std::uint32_t Stray = 0;        ///< Those of superseded primaries.
  std::uint64_t OldRestarted = 0; ///< Last restart of Leader.
  std::array<Observed, MaxServers> View{};         ///< Of the observer.
  std::shared_ptr<const AcknowledgementRule> Rule; ///< Of the observer.
  std::map<std::uint64_t, std::size_t> OrderedBy;  ///< Entry VM by version.
  std::optional<Order> LastOrder; ///< That arrived, whatever the answer.
  bool LateEffect = false; ///< An order took effect after its holder's wait.
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
