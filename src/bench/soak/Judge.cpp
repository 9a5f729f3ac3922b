#include "bench/soak/Judge.h"

#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace amaranthspur::bench::soak {
namespace {

/// A process is in touch once nothing has disrupted it for this long
/// (stable-window-ms of the users' pages).
constexpr double StableWindowMs = 4000;
/// Shortest time between the orders of two holders. The pages in force do not
/// give lease-ms; this is the lease of a claim.
constexpr double AssumedLeaseMs = 4000;
/// A statement that ends unanswered sooner after it was sent, and that no
/// server has run, may not have been read (loss-slack-ms).
constexpr double LossSlackMs = 200;
/// From a SIGTERM to the SIGKILL (grace-s).
constexpr double GraceMs = 6000;
/// Planned work lasts until this long after the grace time.
constexpr double AfterGraceMs = 1000;
/// Statements that are sent at most this long after a SIGTERM may still be
/// at work in the last sixth of the grace time.
constexpr double LateWorkMs = 3000;
/// Bound of a change of the configuration (config-apply-ms).
constexpr double ConfigurationMs = 3000;
/// A server that drains may be used for this long (drain-ms).
constexpr double DrainMs = 7000;
/// A statement with a withdrawn key may run when it is sent at most this long
/// after the acknowledgement (config-apply-ms of deployments with workspaces).
constexpr double KeyMs = 5000;
/// Sliding window of a quota, and what may run beyond it (quota-window-s,
/// quota-excess, quota-slack).
constexpr double QuotaWindowMs = 5000;
constexpr double QuotaExcess = 0.1;
constexpr double QuotaSlack = 20;
/// A lowered quota binds one window after all entry VMs have been in contact
/// for this long (config-apply-ms).
constexpr double QuotaContactMs = 5000;
/// A VM that was held up in this time before a commit is not charged with it
/// (thaw-slack-ms).
constexpr double ThawSlackMs = 300;

bool isPlanned(FaultKind Kind) {
  return Kind == FaultKind::HangUp || Kind == FaultKind::Configuration ||
         Kind == FaultKind::Keys || Kind == FaultKind::Quota ||
         Kind == FaultKind::Surge || Kind == FaultKind::Release ||
         Kind == FaultKind::Terminate || Kind == FaultKind::Start;
}

/// Returns whether the subject of such a fault, an entry VM or the store, is
/// out of contact meanwhile.
bool endsContact(FaultKind Kind) {
  return Kind == FaultKind::Kill || Kind == FaultKind::Freeze ||
         Kind == FaultKind::Cut || Kind == FaultKind::Store ||
         Kind == FaultKind::StoreReturn || Kind == FaultKind::PowerLoss;
}

std::string ms(double Time) {
  return std::to_string(static_cast<long long>(Time)) + " ms";
}

/// Looks up the parts of a history and collects violations.
class Judgement {
public:
  explicit Judgement(const History &Seen) : Seen(Seen) {
    for (const Statement &S : Seen.Statements)
      this->ById[S.Id] = &S;
    for (const StatementRun &R : Seen.Runs)
      this->RunIds.insert(R.Id);
  }

  std::vector<Violation> run() {
    this->checkPromotedLogs();
    this->checkUnanswered();
    this->checkStops();
    this->checkOrders();
    this->checkReads();
    this->checkKeptWrites();
    this->checkConnections();
    this->checkDraining();
    this->checkRoutes();
    this->collectKeys();
    this->checkKeys();
    this->checkQuotas();
    return std::move(this->Found);
  }

private:
  void add(Rule Broken, std::string Text) {
    this->Found.push_back({Broken, std::move(Text)});
  }

  const Statement *find(const std::string &Id) const {
    const auto At = this->ById.find(Id);
    return At == this->ById.end() ? nullptr : At->second;
  }

  const Statement *acknowledged(const Commit &C) const {
    const Statement *S = this->find(C.Id);
    return S != nullptr && S->End == Outcome::Success ? S : nullptr;
  }

  /// Returns whether \p Subject was disrupted between \p From and \p To. A stop
  /// or a start counts for rules that ask whether a process is in touch.
  bool disrupted(const std::string &Subject, double From, double To,
                 bool StopCounts) const {
    return std::ranges::any_of(
        this->Seen.Disruptions, [&](const Disruption &D) {
          const bool Stop =
              D.Kind == FaultKind::Terminate || D.Kind == FaultKind::Start;
          const bool Counts = !isPlanned(D.Kind) || (StopCounts && Stop);
          return Counts && D.Subject == Subject && D.From <= To && D.To >= From;
        });
  }

  /// Returns whether \p Vm and the store were calm in the stable window before
  /// \p At.
  bool inTouch(const std::string &Vm, double At) const {
    return !this->disrupted(Vm, At - StableWindowMs, At, true) &&
           !this->disrupted("store", At - StableWindowMs, At, true);
  }

  static std::string describe(const Commit &C, const Statement &S) {
    return C.Id + ", committed as " + std::to_string(C.Term) + "." +
           std::to_string(C.Number) + " at " + C.Server + " at " + ms(C.At) +
           ", acknowledged at " + ms(S.EndedAt) + " through " + S.Vm;
  }

  void checkPromotedLogs() {
    for (const Effect &E : this->Seen.Effects) {
      std::set<unsigned> Held;
      if (E.Log.Entries)
        Held.insert(E.Log.Entries->begin(),
                    E.Log.Entries->begin() +
                        static_cast<std::ptrdiff_t>(E.Log.Count));
      for (unsigned I = 0; I < this->Seen.Commits.size(); ++I) {
        const Commit &C = this->Seen.Commits[I];
        if (C.Group != E.Group || C.Term >= E.Term)
          continue;
        // A commit that an earlier promotion rolled back was reported then.
        if (Held.contains(I) || !this->RolledBack.insert(I).second)
          continue;
        const Statement *S = this->acknowledged(C);
        if (S == nullptr)
          continue;
        const std::string What = describe(C, *S);
        if (C.At < E.At)
          this->add(Rule::Lost, What + ", is not in the log of " + E.Server +
                                    ", promoted at " + ms(E.At));
        if (C.At >= E.At &&
            !this->disrupted(S->Vm, S->SentAt - ThawSlackMs, C.At, false))
          this->add(Rule::One, What + ", after the promotion of " + E.Server +
                                   " at " + ms(E.At));
      }
    }
  }

  /// Returns for how long the soak handled no events between \p From and \p To.
  double stalledBetween(double From, double To) const {
    double Sum = 0;
    for (const Stall &Each : this->Seen.Stalls)
      Sum += std::max(0.0, std::min(To, Each.To) - std::max(From, Each.From));
    return Sum;
  }

  /// Returns the stop or the reload of its VM around which \p S ended, unless
  /// the pages excuse the missing answer.
  const Disruption *cutByPlannedWork(const Statement &S, bool Ran) const {
    for (const Disruption &D : this->Seen.Disruptions) {
      if (D.Subject != S.Vm || S.EndedAt < D.From)
        continue;
      if (D.Kind == FaultKind::HangUp && S.SentAt <= D.From + ConfigurationMs)
        return &D;
      const bool AtWork = Ran && S.SentAt <= D.From + LateWorkMs &&
                          S.EndedAt >= D.From + GraceMs * 5 / 6;
      if (D.Kind == FaultKind::Terminate && !AtWork &&
          S.EndedAt <= D.From + GraceMs + AfterGraceMs)
        return &D;
    }
    return nullptr;
  }

  void checkUnanswered() {
    for (const Statement &S : this->Seen.Statements) {
      if (S.End != Outcome::Closed)
        continue;
      const bool Ran = this->RunIds.contains(S.Id);
      // The connection may have been closed at any time of a stall.
      const double Seen =
          S.EndedAt - S.SentAt - this->stalledBetween(S.SentAt, S.EndedAt);
      if (!Ran && Seen <= LossSlackMs)
        continue;
      if (this->disrupted(S.Vm, S.SentAt - StableWindowMs, S.EndedAt, false))
        continue;
      if (const Disruption *Work = this->cutByPlannedWork(S, Ran))
        this->add(Rule::Lost,
                  S.Id + ", a " + std::string(nameOf(S.Kind)) +
                      (S.Transaction == 0 ? "" : " in a transaction") +
                      ", sent to " + S.Vm + " at " + ms(S.SentAt) +
                      (Ran ? " and run by a server" : "") + ", ends at " +
                      ms(S.EndedAt) + " without an answer, after the " +
                      std::string(nameOf(Work->Kind)) + " at " +
                      ms(Work->From));
    }
  }

  void checkStops() {
    for (const LateStop &Late : this->Seen.LateStops)
      if (!this->disrupted(Late.Vm, Late.At - StableWindowMs, Late.At + GraceMs,
                           false))
        this->add(Rule::Lost, Late.Vm + ", told to stop at " + ms(Late.At) +
                                  ", was killed at the end of its grace time");
  }

  void checkOrders() {
    std::map<unsigned, std::vector<const Order *>> ByGroup;
    for (const Order &O : this->Seen.Orders) {
      auto &Earlier = ByGroup[O.Group];
      for (const Order *Before : Earlier)
        this->checkOrderPair(*Before, O);
      Earlier.push_back(&O);
    }
  }

  void checkOrderPair(const Order &A, const Order &B) {
    const std::string What =
        "orders of group " + std::to_string(A.Group) + ": " + A.Holder +
        " fence " + std::to_string(A.Fence) + " promotes " + A.Target + " at " +
        ms(A.At) + "; " + B.Holder + " fence " + std::to_string(B.Fence) +
        " promotes " + B.Target + " at " + ms(B.At);
    if (B.Fence < A.Fence)
      return this->add(Rule::One, "lower fence in " + What);
    if (A.Holder == B.Holder)
      return;
    if (B.Fence == A.Fence)
      return this->add(Rule::One, "same fence in " + What);
    if (B.At - A.At < AssumedLeaseMs && this->inTouch(A.Holder, A.At) &&
        this->inTouch(B.Holder, B.At))
      this->add(Rule::One, "two holders within the lease in " + What);
  }

  void checkReads() {
    std::map<unsigned, std::vector<unsigned>> ByGroup;
    for (unsigned I = 0; I < this->Seen.Commits.size(); ++I)
      if (!this->RolledBack.contains(I) &&
          this->acknowledged(this->Seen.Commits[I]) != nullptr)
        ByGroup[this->Seen.Commits[I].Group].push_back(I);
    for (const StatementRun &R : this->Seen.Runs) {
      const Statement *S = this->find(R.Id);
      if (S == nullptr || S->Kind != StatementKind::Read ||
          S->End != Outcome::Success || !R.View.Entries)
        continue;
      // The caller got the answer of one run; an entry VM discards that of a
      // server whose lead it cannot prove, and runs the read again elsewhere.
      if (!S->Server.empty() && S->Server != R.Server)
        continue;
      const std::unordered_set<unsigned> Held(
          R.View.Entries->begin(),
          R.View.Entries->begin() + static_cast<std::ptrdiff_t>(R.View.Count));
      for (const unsigned I : ByGroup[S->Group])
        if (!Held.contains(I) && this->mustSee(*S, I)) {
          const Commit &C = this->Seen.Commits[I];
          this->add(Rule::Stale,
                    "read " + S->Id + " on " + std::string(nameOf(S->Route)) +
                        ", sent at " + ms(S->OperationAt) + " through " +
                        S->Vm + ", ran at " + R.Server + ", whose log lacked " +
                        describe(C, *this->acknowledged(C)));
          break;
        }
    }
  }

  bool mustSee(const Statement &Read, unsigned Index) const {
    const Statement *S = this->acknowledged(this->Seen.Commits[Index]);
    const bool Own =
        Read.Route == RouteType::ReadYourWrites && S->Session == Read.Session;
    const double Allowed =
        Read.Route == RouteType::Primary || Own ? 0 : MaxStalenessMs;
    return S->EndedAt < Read.OperationAt - Allowed;
  }

  void checkKeptWrites() {
    std::unordered_map<std::string, unsigned> Times;
    for (const LogView &Log : this->Seen.FinalLogs)
      for (std::size_t I = 0; I < Log.Count; ++I) {
        const Commit &C = this->Seen.Commits[(*Log.Entries)[I]];
        if (++Times[C.Id] == 2)
          this->add(Rule::Twice, C.Id + " is committed again as " +
                                     std::to_string(C.Term) + "." +
                                     std::to_string(C.Number) + " at " +
                                     C.Server + " at " + ms(C.At));
        const Statement *S = this->find(C.Id);
        if (S != nullptr && S->End == Outcome::Promise)
          this->add(Rule::Refused,
                    C.Id + ", committed at " + C.Server + " at " + ms(C.At) +
                        ", was answered with " + S->Code + " at " +
                        ms(S->EndedAt) + " through " + S->Vm);
      }
  }

  void checkConnections() {
    std::map<unsigned, const StatementRun *> FirstRun; // By transaction.
    std::map<unsigned, unsigned> Last; // Connection -> transaction.
    for (const StatementRun &R : this->Seen.Runs) {
      const Statement *S = this->find(R.Id);
      if (S == nullptr)
        continue;
      const std::string What = R.Id + " of session " +
                               std::to_string(S->Session) + " ran at " +
                               R.Server + " at " + ms(R.At);
      if (R.SessionValue != S->SessionValue)
        this->add(Rule::Pinned, What + " with the value \"" + R.SessionValue +
                                    "\" instead of \"" + S->SessionValue +
                                    "\"");
      if (R.Shape != S->Shape)
        this->add(Rule::Pinned, What + " with the shape \"" + R.Shape +
                                    "\" instead of \"" + S->Shape + "\"");
      if (R.InTransaction != (S->Transaction != 0))
        this->add(Rule::Pinned,
                  What + (R.InTransaction ? " inside a transaction"
                                          : " outside its transaction"));
      if (S->Transaction == 0)
        continue;
      const auto [At, New] = FirstRun.emplace(S->Transaction, &R);
      if (!New && At->second->Connection != R.Connection)
        this->add(Rule::Pinned,
                  What + " on another connection than " + At->second->Id);
      if (!New && At->second->Connection == R.Connection &&
          Last[R.Connection] != S->Transaction)
        this->add(Rule::Pinned, What + " after another transaction");
      Last[R.Connection] = S->Transaction;
    }
  }

  void checkDraining() {
    for (const DrainReport &D : this->Seen.DrainReports)
      for (const StatementRun &R : this->Seen.Runs) {
        const Statement *S = this->find(R.Id);
        if (R.Server != D.Server || R.At <= D.At + DrainMs || S == nullptr ||
            !S->First || !this->inTouch(S->Vm, R.At) ||
            this->disrupted("store", D.At - StableWindowMs, R.At, true))
          continue;
        this->add(Rule::Drain, R.Id + ", sent at " + ms(S->SentAt) +
                                   " through " + S->Vm + ", reached " +
                                   R.Server + " at " + ms(R.At) +
                                   ", draining since " + ms(D.At));
      }
  }

  void checkRoutes() {
    for (const RouteProbe &P : this->Seen.RouteProbes) {
      const RouteChange *Last = nullptr;
      for (const RouteChange &C : this->Seen.RouteChanges)
        if (C.At <= P.SentAt)
          Last = &C;
      if (Last == nullptr || Last->Present == P.Accepted ||
          P.SentAt - Last->At <= ConfigurationMs)
        continue;
      if (!this->inTouch(P.Vm, P.SentAt) ||
          this->disrupted("store", Last->At - StableWindowMs, P.SentAt, true))
        continue;
      this->add(Rule::Config,
                "a connection sent to " + P.Vm + " at " + ms(P.SentAt) +
                    (P.Accepted ? " was accepted" : " was refused") +
                    " against the version of " + ms(Last->At));
    }
  }

  /// The time for which a workspace held a key.
  struct KeyTerm {
    std::string Workspace;
    double From = 0;
    double To = std::numeric_limits<double>::max();
  };

  void collectKeys() {
    std::map<std::string, std::string> Held; // Key -> workspace.
    for (const WorkspaceVersion &V : this->Seen.WorkspaceVersions) {
      std::map<std::string, std::string> Next;
      for (const WorkspaceEntry &W : V.Workspaces) {
        this->WorkspaceNames.insert(W.Name);
        for (const std::string &Key : W.Keys)
          Next[Key] = W.Name;
      }
      for (const auto &[Key, Name] : Held)
        if (!Next.contains(Key) || Next[Key] != Name)
          this->KeyTerms[Key].back().To = V.At;
      for (const auto &[Key, Name] : Next)
        if (!Held.contains(Key) || Held[Key] != Name)
          this->KeyTerms[Key].push_back({Name, V.At});
      Held = std::move(Next);
    }
  }

  /// Returns whether \p Vm or the store was cut off or frozen so shortly before
  /// \p At that the VM need not know the configuration. A start is no reason:
  /// the process must not use an older version then.
  bool mayMissKeys(const std::string &Vm, double At) const {
    return std::ranges::any_of(
        this->Seen.Disruptions, [&](const Disruption &D) {
          const bool OfVm = D.Subject == Vm && (D.Kind == FaultKind::Cut ||
                                                D.Kind == FaultKind::Freeze);
          return (OfVm || D.Subject == "store") && D.From <= At &&
                 D.To >= At - KeyMs;
        });
  }

  void checkKeys() {
    for (const KeySighting &K : this->Seen.KeySightings)
      this->add(Rule::Unasked,
                K.Server + " received a key at " + ms(K.At) + ": " + K.Line);
    for (const StatementRun &R : this->Seen.Runs) {
      const Statement *S = this->find(R.Id);
      if (S == nullptr)
        continue;
      const std::string What =
          R.Id + ", sent to " + S->Vm + " at " + ms(S->SentAt) +
          (S->Key.empty() ? " without a key" : " with " + S->Key) +
          ", ran at " + R.Server + " at " + ms(R.At) + " on a connection of " +
          R.Name;
      if (S->Key.empty()) {
        if (this->WorkspaceNames.contains(R.Name))
          this->add(Rule::Unasked, What);
        continue;
      }
      const auto Terms = this->KeyTerms.find(S->Key);
      if (Terms == this->KeyTerms.end() || Terms->second.front().From > R.At) {
        this->add(Rule::Route, What);
        continue;
      }
      this->checkKeyTerms(*S, R, Terms->second, What);
    }
  }

  /// \param Terms of the key of \p S; the first has begun when \p R ran.
  void checkKeyTerms(const Statement &S, const StatementRun &R,
                     const std::vector<KeyTerm> &Terms,
                     const std::string &What) {
    // The last that began before the statement was sent, else the first.
    const KeyTerm *Of = &Terms.front();
    for (const KeyTerm &T : Terms)
      if (T.From <= S.SentAt)
        Of = &T;
    if (Of->Workspace != R.Name)
      this->add(Rule::Unasked, What + " instead of " + Of->Workspace);
    if (S.SentAt > Of->To + KeyMs && !this->mayMissKeys(S.Vm, S.SentAt))
      this->add(Rule::Config,
                What + "; the key was withdrawn at " + ms(Of->To));
  }

  /// Returns from when on all windows must keep a quota that was acknowledged
  /// at \p At.
  double quotaBinds(double At) const {
    double InContactFrom = At;
    bool Changed = true;
    while (std::exchange(Changed, false))
      for (const Disruption &D : this->Seen.Disruptions)
        if (endsContact(D.Kind) && D.From <= InContactFrom + QuotaContactMs &&
            D.To > InContactFrom) {
          InContactFrom = D.To;
          Changed = true;
        }
    return InContactFrom + QuotaContactMs + QuotaWindowMs;
  }

  /// Returns the highest limit of \p Name that may be in force in the window
  /// from \p From.
  double quotaAt(const std::string &Name, double From) const {
    double Limit = 0;
    const auto &Versions = this->Seen.WorkspaceVersions;
    for (std::size_t I = 0; I < Versions.size(); ++I) {
      // A version is superseded once the next one binds.
      const bool Superseded =
          I + 1 < Versions.size() && this->QuotaBinds[I + 1] <= From;
      if (Versions[I].At > From + QuotaWindowMs || Superseded)
        continue;
      for (const WorkspaceEntry &W : Versions[I].Workspaces)
        if (W.Name == Name)
          Limit = std::max(Limit, W.RatePerS * QuotaWindowMs / 1000 + W.Burst);
    }
    return Limit * (1 + QuotaExcess) + QuotaSlack;
  }

  void checkQuotas() {
    // When an operation was sent and first run, by workspace.
    std::map<std::string, std::map<double, double>> Operations;
    std::unordered_set<std::string> Counted;
    for (const StatementRun &R : this->Seen.Runs) {
      const Statement *S = this->find(R.Id);
      if (S == nullptr || !S->First || !this->WorkspaceNames.contains(R.Name))
        continue;
      if (!Counted.insert(R.Id).second)
        continue;
      // Times are a few microseconds apart; equal ones must not be merged.
      double SentAt = S->SentAt;
      while (!Operations[R.Name].emplace(SentAt, R.At).second)
        SentAt = std::nextafter(SentAt, std::numeric_limits<double>::max());
    }
    for (const WorkspaceVersion &V : this->Seen.WorkspaceVersions)
      this->QuotaBinds.push_back(this->quotaBinds(V.At));
    for (const auto &[Name, Sent] : Operations)
      this->checkQuota(Name, Sent);
  }

  void checkQuota(const std::string &Name,
                  const std::map<double, double> &Sent) {
    double Reported = -QuotaWindowMs;
    for (auto First = Sent.begin(); First != Sent.end(); ++First) {
      const double From = First->first;
      if (From < Reported + QuotaWindowMs)
        continue;
      const auto Count = std::count_if(
          First, Sent.upper_bound(From + QuotaWindowMs),
          [&](const auto &Op) { return Op.second <= From + QuotaWindowMs; });
      if (static_cast<double>(Count) <= QuotaSlack)
        continue;
      const double Limit = this->quotaAt(Name, From);
      if (static_cast<double>(Count) <= Limit)
        continue;
      Reported = From;
      this->add(Rule::Quota, std::to_string(Count) + " operations of " + Name +
                                 " ran in the window from " + ms(From) +
                                 "; the limit is " +
                                 std::to_string(static_cast<int>(Limit)));
    }
  }

  const History &Seen;
  std::unordered_map<std::string, std::vector<KeyTerm>> KeyTerms;
  std::unordered_set<std::string> WorkspaceNames;
  std::vector<double> QuotaBinds; ///< By version; see quotaBinds().
  std::unordered_map<std::string, const Statement *> ById;
  std::unordered_set<std::string> RunIds;
  std::unordered_set<unsigned> RolledBack;
  std::vector<Violation> Found;
};

} // namespace

std::vector<Violation> judge(const History &Seen) {
  return Judgement(Seen).run();
}

double longestWriteGap(const History &Seen, unsigned Group) {
  std::vector<double> Times;
  for (const Statement &S : Seen.Statements)
    if (S.Group == Group && S.End == Outcome::Success &&
        (S.Kind == StatementKind::Write || S.Kind == StatementKind::Commit))
      Times.push_back(S.EndedAt);
  std::ranges::sort(Times);
  double Longest = 0;
  for (std::size_t I = 1; I < Times.size(); ++I)
    Longest = std::max(Longest, Times[I] - Times[I - 1]);
  return Longest;
}

} // namespace amaranthspur::bench::soak
