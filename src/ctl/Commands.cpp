#include "ctl/Commands.h"

#include "config/AnswersJson.h"
#include "config/Generation.h"
#include "config/Plan.h"
#include "config/Validation.h"
#include "core/Async.h"
#include "ctl/Explain.h"
#include "ctl/Revisions.h"
#include "ctl/RouteReport.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iterator>

namespace amaranthspur::ctl {
namespace {

/// Maximum number of attempts of a drain. If another change is accepted first,
/// the drain is attempted again from the newer revision.
constexpr unsigned MaxDrainAttempts = 5;

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

QJsonObject toJson(const config::Head &H) {
  return {{"revision", static_cast<qint64>(H.Revision)},
          {"hash", text(H.Hash)},
          {"operation", text(H.Operation)},
          {"author", text(H.Author)},
          {"accepted_at", text(H.AcceptedAt)}};
}

std::string describe(const config::Head &H) {
  return "revision " + std::to_string(H.Revision) + " by " + H.Author + " at " +
         H.AcceptedAt + ", operation " + H.Operation;
}

/// Appends the changes and warnings of \p Plan to the report.
void addPlan(const config::Plan &Plan, Report &To) {
  QJsonArray Changes;
  for (const config::PlannedChange &C : Plan.Changes) {
    To.line("  " + config::text(C));
    Changes.append(QJsonObject{{"kind", text(nameOf(C.Kind))},
                               {"subject", text(C.Subject)},
                               {"from", text(C.From)},
                               {"to", text(C.To)}});
  }
  QJsonArray Warnings;
  for (const config::Warning &W : Plan.Warnings) {
    To.line("  warning: " + config::text(W));
    Warnings.append(QJsonObject{{"risk", text(nameOf(W.Kind))},
                                {"subject", text(W.Subject)},
                                {"text", text(config::text(W))}});
  }
  if (Plan.Changes.empty())
    To.line("  nothing changes");
  To.Json["changes"] = Changes;
  To.Json["warnings"] = Warnings;
}

/// The answers from a file, or the report of why they cannot be used.
struct FileAnswers {
  config::Questionnaire Answers;
  /// Set if the file cannot be read or has mistakes. Answers is empty then.
  std::optional<Report> Failure;
};

/// Reads and checks the answers in the file \p Path.
FileAnswers readAnswersFile(const std::string &Path,
                            const CommandContext &Context) {
  const Result<std::string> Text = Context.ReadFile(Path);
  if (!succeeded(Text))
    return {{}, failure(ExitStatus::Invalid, errorOf(Text))};
  config::ParsedAnswers Parsed = config::parseAnswers(valueOf(Text));
  if (Parsed.Mistakes.empty())
    return {std::move(Parsed.Answers), std::nullopt};
  Report R;
  R.Status = ExitStatus::Invalid;
  QJsonArray Mistakes;
  for (const config::Mistake &M : Parsed.Mistakes) {
    R.line(config::text(M));
    Mistakes.append(QJsonObject{{"path", text(M.Path)},
                                {"value", text(M.Value)},
                                {"allowed", text(M.Allowed)}});
  }
  R.line(std::to_string(Parsed.Mistakes.size()) + " mistakes in " + Path);
  R.Json["mistakes"] = Mistakes;
  return {{}, std::move(R)};
}

/// Runs one command and holds its state until it ends.
class CommandRunner {
public:
  CommandRunner(Options O, CommandContext Context)
      : O(std::move(O)), Context(std::move(Context)),
        Deadline(steadyNow() + this->O.Timeout) {}

  QCoro::Task<Report> run() {
    switch (this->O.Command) {
    case CommandKind::Init:
      co_return this->init();
    case CommandKind::Check:
      co_return this->check();
    case CommandKind::Plan:
      co_return co_await this->plan();
    case CommandKind::Accept:
      co_return co_await this->accept();
    case CommandKind::History:
      co_return co_await this->history();
    case CommandKind::Show:
      co_return co_await this->show();
    case CommandKind::Status:
      co_return co_await this->status();
    case CommandKind::Route:
      co_return co_await this->route();
    case CommandKind::Drain:
      co_return co_await this->drain(true);
    case CommandKind::Undrain:
      co_return co_await this->drain(false);
    case CommandKind::Explain:
      co_return this->explainStatement();
    case CommandKind::Help:
      co_return plainReport(this->O.HelpText);
    case CommandKind::Version:
      co_return plainReport("amaranthspurctl " AMARANTHSPUR_VERSION "\n");
    }
    co_return failure(ExitStatus::Invalid, "unknown command");
  }

private:
  static Report plainReport(const std::string &Text) {
    Report R;
    R.Text = Text;
    R.Json["text"] = text(Text);
    return R;
  }

  static Report answersReport(const std::string &Json) {
    Report R;
    R.Text = Json;
    R.Json = QJsonDocument::fromJson(QByteArray::fromStdString(Json)).object();
    return R;
  }

  Report init() const {
    const auto Example = this->Context.Example(this->O.Arguments[0]);
    if (!Example)
      return failure(ExitStatus::Invalid,
                     "\"" + this->O.Arguments[0] +
                         "\" is not an example; allowed: engravers, "
                         "association");
    return answersReport(*Example);
  }

  Report check() const {
    FileAnswers Read = readAnswersFile(this->O.Arguments[0], this->Context);
    if (Read.Failure)
      return *Read.Failure;
    Report R;
    const std::string Hash = config::hashOf(config::contentOf(Read.Answers));
    R.line("no mistakes; content " + Hash);
    R.Json = {{"mistakes", QJsonArray()}, {"hash", text(Hash)}};
    return R;
  }

  QCoro::Task<Report> plan() {
    const FileAnswers Read =
        readAnswersFile(this->O.Arguments[0], this->Context);
    if (Read.Failure)
      co_return *Read.Failure;
    const Result<HeadRow> Head =
        co_await readHead(*this->Context.Client, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const config::Head Newest = valueOf(Head).Head;
    const Result<config::Questionnaire> InForce = co_await readAnswers(
        *this->Context.Client, Newest.Hash, this->Deadline);
    if (!succeeded(InForce))
      co_return failure(ExitStatus::Unreachable, errorOf(InForce));
    Report R;
    const std::string Number = std::to_string(Newest.Revision);
    R.line("changes from revision " + Number + ":");
    R.Json["from_revision"] = static_cast<qint64>(Newest.Revision);
    addPlan(config::planChange(valueOf(InForce), Read.Answers), R);
    R.line("to accept: amaranthspurctl accept " + this->O.Arguments[0] +
           " --from-revision " + Number);
    co_return R;
  }

  QCoro::Task<Report> accept() {
    const FileAnswers Read =
        readAnswersFile(this->O.Arguments[0], this->Context);
    if (Read.Failure)
      co_return *Read.Failure;
    const AcceptOutcome Outcome = co_await this->acceptAnswers(
        Read.Answers, this->O.FromRevision.value_or(0), this->O.Operation);
    co_return co_await this->acceptReport(Outcome);
  }

  /// Tries to make \p Answers the revision after \p From. If \p Operation is
  /// empty, a new identifier is created.
  QCoro::Task<AcceptOutcome> acceptAnswers(config::Questionnaire Answers,
                                           std::uint64_t From,
                                           std::string Operation) {
    if (Operation.empty())
      Operation = this->Context.NewOperationId();
    this->LastOperation = Operation;
    this->LastFrom = From;
    // The identifier is printed before the change is sent, because the operator
    // needs it if this process ends before the outcome is known.
    this->Context.Notice("operation " + Operation);
    AcceptRequest Request{std::move(Answers), From, Operation, this->O.Author,
                          this->Context.CurrentTime()};
    co_return co_await acceptRevision(*this->Context.Client, std::move(Request),
                                      this->Deadline);
  }

  /// Reports the outcome of acceptAnswers().
  QCoro::Task<Report> acceptReport(AcceptOutcome Outcome) {
    Report R;
    R.Json["outcome"] = text(nameOf(Outcome.Result));
    R.Json["operation"] = text(this->LastOperation);
    switch (Outcome.Result) {
    case AcceptResult::Accepted:
      R.line("accepted: " + describe(Outcome.Accepted));
      R.Json["revision"] = static_cast<qint64>(Outcome.Accepted.Revision);
      break;
    case AcceptResult::Unchanged:
      R.line("unchanged: these answers are already " +
             describe(Outcome.Accepted));
      R.Json["revision"] = static_cast<qint64>(Outcome.Accepted.Revision);
      break;
    case AcceptResult::Conflict:
      R.Status = ExitStatus::Refused;
      co_await this->addConflict(Outcome, R);
      break;
    case AcceptResult::NotAttempted:
      R.Status = ExitStatus::Unreachable;
      R.line("this run changed nothing: " + Outcome.Detail);
      R.Json["error"] = text(Outcome.Detail);
      break;
    case AcceptResult::Unknown:
      R.Status = ExitStatus::Unreachable;
      R.line("outcome unknown; the change may have been accepted: " +
             Outcome.Detail);
      R.line("to find out, repeat the same command with --from-revision " +
             std::to_string(this->LastFrom) + " --operation " +
             this->LastOperation);
      R.Json["error"] = text(Outcome.Detail);
      break;
    }
    co_return R;
  }

  /// Adds the revisions that were accepted first and their changes to \p R.
  QCoro::Task<> addConflict(AcceptOutcome Outcome, Report &R) {
    R.line("not accepted: " + (Outcome.Detail.empty()
                                   ? "another change was accepted first"
                                   : Outcome.Detail));
    R.Json["error"] = text(Outcome.Detail);
    QJsonArray Winners;
    for (const config::Head &H : Outcome.Winners) {
      R.line("  " + describe(H));
      Winners.append(toJson(H));
    }
    R.Json["winners"] = Winners;
    if (Outcome.Winners.empty())
      co_return;
    const Result<config::Questionnaire> Base =
        co_await this->answersOf(this->LastFrom, Outcome.Winners.front());
    const Result<config::Questionnaire> Newest = co_await readAnswers(
        *this->Context.Client, Outcome.Winners.back().Hash, this->Deadline);
    if (!succeeded(Base) || !succeeded(Newest)) {
      R.line("their changes could not be read");
      co_return;
    }
    R.line("they changed:");
    addPlan(config::planChange(valueOf(Base), valueOf(Newest)), R);
  }

  /// Reads the answers of \p Revision. Returns an error if it is newer than
  /// \p Newest.
  QCoro::Task<Result<config::Questionnaire>> answersOf(std::uint64_t Revision,
                                                       config::Head Newest) {
    if (Revision == 0)
      co_return config::Questionnaire();
    if (Revision > Newest.Revision)
      co_return Error{"there is no revision " + std::to_string(Revision) +
                      "; the newest is " + std::to_string(Newest.Revision)};
    const Result<std::vector<config::Head>> Found =
        co_await readHistory(*this->Context.Client, Newest, Revision - 1,
                             Newest.Revision - Revision + 1, this->Deadline);
    if (!succeeded(Found))
      co_return Error{errorOf(Found)};
    co_return co_await readAnswers(*this->Context.Client,
                                   valueOf(Found).back().Hash, this->Deadline);
  }

  QCoro::Task<Report> history() {
    const Result<HeadRow> Head =
        co_await readHead(*this->Context.Client, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const Result<std::vector<config::Head>> Found =
        co_await readHistory(*this->Context.Client, valueOf(Head).Head, 0,
                             this->O.Limit, this->Deadline);
    if (!succeeded(Found))
      co_return failure(ExitStatus::Unreachable, errorOf(Found));
    Report R;
    QJsonArray Revisions;
    for (const config::Head &H : valueOf(Found)) {
      R.line(describe(H));
      Revisions.append(toJson(H));
    }
    if (valueOf(Found).empty())
      R.line("no revision has been accepted yet");
    R.Json["revisions"] = Revisions;
    co_return R;
  }

  QCoro::Task<Report> show() {
    const Result<HeadRow> Head =
        co_await readHead(*this->Context.Client, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const config::Head Newest = valueOf(Head).Head;
    const std::uint64_t Wanted = this->O.Revision.value_or(Newest.Revision);
    if (Wanted == 0 || Wanted > Newest.Revision)
      co_return failure(ExitStatus::Refused,
                        "this revision does not exist; the newest is " +
                            std::to_string(Newest.Revision));
    const Result<config::Questionnaire> Answers =
        co_await this->answersOf(Wanted, Newest);
    if (!succeeded(Answers))
      co_return failure(ExitStatus::Unreachable, errorOf(Answers));
    this->Context.Notice("revision " + std::to_string(Wanted));
    co_return answersReport(config::formatAnswers(valueOf(Answers)));
  }

  QCoro::Task<Report> status() {
    std::vector<PollTarget> Vms;
    Vms.reserve(this->O.AdminAddresses.size());
    for (const Address &A : this->O.AdminAddresses)
      Vms.push_back({"", A, false});
    std::optional<std::uint64_t> Newest;
    std::string Problem;
    // Half of the timeout is reserved for the requests to the entry VMs.
    const TimePoint PlatformDeadline = steadyNow() + this->O.Timeout / 2;
    if (this->Context.Client) {
      const Result<HeadRow> Head =
          co_await readHead(*this->Context.Client, PlatformDeadline);
      if (succeeded(Head))
        Newest = valueOf(Head).Head.Revision;
      else
        Problem = errorOf(Head);
    } else {
      Problem = "no --platform-address was given";
    }
    if (Vms.empty() && this->Context.Client) {
      const Result<std::vector<PlatformVm>> List =
          co_await this->Context.Client->listVms(PlatformDeadline);
      if (!succeeded(List))
        co_return statusReport(Newest, {}, errorOf(List));
      Vms = pollTargets(valueOf(List));
    }
    const std::vector<VmAnswer> Answers =
        co_await pollAll(*this->Context.Status, Vms, this->Deadline);
    co_return statusReport(Newest, Answers, Problem);
  }

  QCoro::Task<Report> route() {
    const std::vector<std::string> &Given = this->O.Arguments;
    const Result<Address> From = parseAddress(Given[0]);
    if (!succeeded(From))
      co_return failure(ExitStatus::Invalid, errorOf(From));
    RouteParameters Asked{Given[1], Given[2],
                          Given.size() > 3 ? Given[3] : "read"};
    const Result<QJsonObject> Answer =
        co_await this->Context.Status->fetchRoute(
            valueOf(From), std::move(Asked), this->Deadline);
    if (!succeeded(Answer))
      co_return failure(ExitStatus::Unreachable, errorOf(Answer));
    co_return routeReport(valueOf(Answer));
  }

  static std::vector<PollTarget>
  pollTargets(const std::vector<PlatformVm> &List) {
    std::vector<PollTarget> Vms;
    Vms.reserve(List.size());
    for (const PlatformVm &Vm : List) {
      const Result<Address> Admin = parseAddress(Vm.AdminAddress);
      Vms.push_back(
          {Vm.Id.str(),
           succeeded(Admin) ? std::optional(valueOf(Admin)) : std::nullopt,
           Vm.Leaving});
    }
    return Vms;
  }

  /// Accepts a revision in which only the drain state of one backend server or
  /// entry VM differs. If another change is accepted first, starts again from
  /// the newer revision, unless the operator named the revision or operation.
  QCoro::Task<Report> drain(bool Leaving) {
    Report R;
    for (unsigned Attempt = 0; Attempt < MaxDrainAttempts; ++Attempt) {
      const Result<HeadRow> Head =
          co_await readHead(*this->Context.Client, this->Deadline);
      if (!succeeded(Head))
        co_return failure(ExitStatus::Unreachable, errorOf(Head));
      const config::Head Newest = valueOf(Head).Head;
      // A repeated change must be based on the same revision as before, so that
      // it has the same content and is recognised.
      const std::uint64_t From = this->O.FromRevision.value_or(Newest.Revision);
      const Result<config::Questionnaire> InForce =
          co_await this->answersOf(From, Newest);
      if (!succeeded(InForce))
        co_return failure(ExitStatus::Unreachable, errorOf(InForce));
      config::Questionnaire Answers = valueOf(InForce);
      const std::string Problem =
          this->O.Target == DrainTarget::BackendServer
              ? setServerLeaving(Answers, this->O.Arguments[1], Leaving)
              : setEntryVmDrained(Answers, this->O.Arguments[1], Leaving);
      if (!Problem.empty())
        co_return failure(ExitStatus::Refused, Problem);
      const std::vector<config::Mistake> Mistakes = config::validate(Answers);
      if (!Mistakes.empty())
        co_return failure(ExitStatus::Refused, config::text(Mistakes));
      for (const config::Warning &W :
           config::planChange(valueOf(InForce), Answers).Warnings)
        this->Context.Notice("warning: " + config::text(W));
      const AcceptOutcome Outcome =
          co_await this->acceptAnswers(Answers, From, this->O.Operation);
      R = co_await this->acceptReport(Outcome);
      const bool Again = Outcome.Result == AcceptResult::Conflict &&
                         !this->O.FromRevision && this->O.Operation.empty();
      if (!Again)
        break;
    }
    co_return R;
  }

  Report explainStatement() const {
    std::vector<LogRecord> Records;
    for (std::size_t I = 1; I < this->O.Arguments.size(); ++I) {
      const Result<std::string> Text =
          this->Context.ReadFile(this->O.Arguments[I]);
      if (!succeeded(Text))
        return failure(ExitStatus::Invalid, errorOf(Text));
      std::vector<LogRecord> Read = parseLog(valueOf(Text));
      std::move(Read.begin(), Read.end(), std::back_inserter(Records));
    }
    return explain(this->O.Arguments[0], Records);
  }

  static std::string setServerLeaving(config::Questionnaire &Answers,
                                      const std::string &Id, bool Leaving) {
    for (config::ServiceAnswer &S : *Answers.mutable_services())
      for (config::BackendServerAnswer &B : *S.mutable_backend_servers())
        if (B.id() == Id) {
          B.set_leaving(Leaving);
          return {};
        }
    return "there is no backend server " + Id;
  }

  static std::string setEntryVmDrained(config::Questionnaire &Answers,
                                       const std::string &Id, bool Leaving) {
    if (!config::isName(Id))
      return "\"" + Id + "\" is not the name of an entry VM";
    auto &Drained = *Answers.mutable_drained_entry_vms();
    const auto Found = std::find(Drained.begin(), Drained.end(), Id);
    if (Leaving && Found == Drained.end())
      Answers.add_drained_entry_vms(Id);
    if (!Leaving && Found != Drained.end())
      Drained.erase(Found);
    return {};
  }

  Options O;
  CommandContext Context;
  TimePoint Deadline;
  std::string LastOperation;
  std::uint64_t LastFrom = 0;
};

} // namespace

QCoro::Task<Report> runCommand(Options O, CommandContext Context) {
  CommandRunner Command(std::move(O), std::move(Context));
  Report R = co_await Command.run();
  co_return R;
}

} // namespace amaranthspur::ctl
