#include "ctl/Commands.h"

#include "config/AnswersJson.h"
#include "config/Generation.h"
#include "config/Plan.h"
#include "config/Validation.h"
#include "core/Async.h"
#include "ctl/Explain.h"
#include "ctl/Revisions.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iterator>

namespace amaranthspur::ctl {
namespace {

/// A drain that loses a race starts again from the newer revision this often.
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

/// Answers from a file, or the report of what is wrong with them.
struct ReadAnswers {
  config::Questionnaire Answers;
  std::optional<Report> Refusal;
};

ReadAnswers readFile(const std::string &Path, const Surroundings &Around) {
  const Result<std::string> Text = Around.ReadFile(Path);
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

/// Runs the commands; lives as long as the command.
class Runner {
public:
  Runner(Options O, Surroundings Around)
      : O(std::move(O)), Around(std::move(Around)),
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
    const auto Example = this->Around.Example(this->O.Arguments[0]);
    if (!Example)
      return failure(ExitStatus::Invalid,
                     "\"" + this->O.Arguments[0] +
                         "\" is not an example; allowed: engravers, "
                         "association");
    return answersReport(*Example);
  }

  Report check() const {
    ReadAnswers Read = readFile(this->O.Arguments[0], this->Around);
    if (Read.Refusal)
      return *Read.Refusal;
    Report R;
    const std::string Hash = config::hashOf(config::contentOf(Read.Answers));
    R.line("no mistakes; content " + Hash);
    R.Json = {{"mistakes", QJsonArray()}, {"hash", text(Hash)}};
    return R;
  }

  QCoro::Task<Report> plan() {
    const ReadAnswers Read = readFile(this->O.Arguments[0], this->Around);
    if (Read.Refusal)
      co_return *Read.Refusal;
    const Result<HeadRow> Head =
        co_await readHead(*this->Around.Service, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const config::Head Newest = valueOf(Head).Head;
    const Result<config::Questionnaire> InForce = co_await readAnswers(
        *this->Around.Service, Newest.Hash, this->Deadline);
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
    const ReadAnswers Read = readFile(this->O.Arguments[0], this->Around);
    if (Read.Refusal)
      co_return *Read.Refusal;
    const AcceptOutcome Outcome = co_await this->acceptAnswers(
        Read.Answers, this->O.FromRevision.value_or(0), this->O.Operation);
    co_return co_await this->acceptReport(Outcome);
  }

  /// Accepts \p Answers; an empty \p Operation stands for a new one.
  QCoro::Task<AcceptOutcome> acceptAnswers(config::Questionnaire Answers,
                                           std::uint64_t From,
                                           std::string Operation) {
    if (Operation.empty())
      Operation = this->Around.NewOperation();
    this->LastOperation = Operation;
    this->LastFrom = From;
    // Told before the change is sent: the operator needs it if this process
    // ends before the outcome is known.
    this->Around.Notice("operation " + Operation);
    AcceptRequest Request{std::move(Answers), From, Operation, this->O.Author,
                          this->Around.TimeOfDay()};
    co_return co_await acceptRevision(*this->Around.Service, std::move(Request),
                                      this->Deadline);
  }

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
      R.line("find out with the same command and --from-revision " +
             std::to_string(this->LastFrom) + " --operation " +
             this->LastOperation);
      R.Json["error"] = text(Outcome.Detail);
      break;
    }
    co_return R;
  }

  /// Adds who won and what they changed.
  QCoro::Task<> addConflict(AcceptOutcome Outcome, Report &R) {
    R.line("not accepted: " + (Outcome.Detail.empty()
                                   ? "another change came first"
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
        *this->Around.Service, Outcome.Winners.back().Hash, this->Deadline);
    if (!succeeded(Base) || !succeeded(Newest)) {
      R.line("what they changed could not be read");
      co_return;
    }
    R.line("they changed:");
    addPlan(config::planChange(valueOf(Base), valueOf(Newest)), R);
  }

  /// Reads the answers of \p Revision, which is \p Newest or came before it.
  QCoro::Task<Result<config::Questionnaire>> answersOf(std::uint64_t Revision,
                                                       config::Head Newest) {
    if (Revision == 0)
      co_return config::Questionnaire();
    if (Revision > Newest.Revision)
      co_return Error{"there is no revision " + std::to_string(Revision) +
                      "; the newest is " + std::to_string(Newest.Revision)};
    const Result<std::vector<config::Head>> Found =
        co_await readHistory(*this->Around.Service, Newest, Revision - 1,
                             Newest.Revision - Revision + 1, this->Deadline);
    if (!succeeded(Found))
      co_return Error{errorOf(Found)};
    co_return co_await readAnswers(*this->Around.Service,
                                   valueOf(Found).back().Hash, this->Deadline);
  }

  QCoro::Task<Report> history() {
    const Result<HeadRow> Head =
        co_await readHead(*this->Around.Service, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const Result<std::vector<config::Head>> Found =
        co_await readHistory(*this->Around.Service, valueOf(Head).Head, 0,
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
        co_await readHead(*this->Around.Service, this->Deadline);
    if (!succeeded(Head))
      co_return failure(ExitStatus::Unreachable, errorOf(Head));
    const config::Head Newest = valueOf(Head).Head;
    const std::uint64_t Wanted = this->O.Revision.value_or(Newest.Revision);
    if (Wanted == 0 || Wanted > Newest.Revision)
      co_return failure(ExitStatus::Refused,
                        "there is no such revision; the newest is " +
                            std::to_string(Newest.Revision));
    const Result<config::Questionnaire> Answers =
        co_await this->answersOf(Wanted, Newest);
    if (!succeeded(Answers))
      co_return failure(ExitStatus::Unreachable, errorOf(Answers));
    this->Around.Notice("revision " + std::to_string(Wanted));
    co_return answersReport(config::formatAnswers(valueOf(Answers)));
  }

  QCoro::Task<Report> status() {
    std::vector<AskedVm> Vms;
    Vms.reserve(this->O.AdminAddresses.size());
    for (const Address &A : this->O.AdminAddresses)
      Vms.push_back({"", A, false});
    std::optional<std::uint64_t> Newest;
    std::string Problem;
    // Time is kept for asking the entry VMs.
    const TimePoint PlatformDeadline = steadyNow() + this->O.Timeout / 2;
    if (this->Around.Service) {
      const Result<HeadRow> Head =
          co_await readHead(*this->Around.Service, PlatformDeadline);
      if (succeeded(Head))
        Newest = valueOf(Head).Head.Revision;
      else
        Problem = errorOf(Head);
    } else {
      Problem = "no --platform-address was given";
    }
    if (Vms.empty() && this->Around.Service) {
      const Result<std::vector<PlatformVm>> List =
          co_await this->Around.Service->listVms(PlatformDeadline);
      if (!succeeded(List))
        co_return statusReport(Newest, {}, errorOf(List));
      Vms = asked(valueOf(List));
    }
    const std::vector<VmAnswer> Answers =
        co_await pollAll(*this->Around.Status, Vms, this->Deadline);
    co_return statusReport(Newest, Answers, Problem);
  }

  static std::vector<AskedVm> asked(const std::vector<PlatformVm> &List) {
    std::vector<AskedVm> Vms;
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

  /// Accepts a revision that differs in one mark only, and starts again from
  /// the newer revision if another change comes first.
  QCoro::Task<Report> drain(bool Leaving) {
    Report R;
    for (unsigned Attempt = 0; Attempt < MaxDrainAttempts; ++Attempt) {
      const Result<HeadRow> Head =
          co_await readHead(*this->Around.Service, this->Deadline);
      if (!succeeded(Head))
        co_return failure(ExitStatus::Unreachable, errorOf(Head));
      const config::Head Newest = valueOf(Head).Head;
      // A repeated change is derived from the same revision as the first time,
      // so that it is recognised.
      const std::uint64_t From = this->O.FromRevision.value_or(Newest.Revision);
      const Result<config::Questionnaire> InForce =
          co_await this->answersOf(From, Newest);
      if (!succeeded(InForce))
        co_return failure(ExitStatus::Unreachable, errorOf(InForce));
      config::Questionnaire Answers = valueOf(InForce);
      const std::string Problem =
          this->O.Target == DrainTarget::BackendServer
              ? markServer(Answers, this->O.Arguments[1], Leaving)
              : markEntryVm(Answers, this->O.Arguments[1], Leaving);
      if (!Problem.empty())
        co_return failure(ExitStatus::Refused, Problem);
      const std::vector<config::Mistake> Mistakes = config::validate(Answers);
      if (!Mistakes.empty())
        co_return failure(ExitStatus::Refused, config::text(Mistakes));
      for (const config::Warning &W :
           config::planChange(valueOf(InForce), Answers).Warnings)
        this->Around.Notice("warning: " + config::text(W));
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
          this->Around.ReadFile(this->O.Arguments[I]);
      if (!succeeded(Text))
        return failure(ExitStatus::Invalid, errorOf(Text));
      std::vector<LogRecord> Read = parseLog(valueOf(Text));
      std::move(Read.begin(), Read.end(), std::back_inserter(Records));
    }
    return explain(this->O.Arguments[0], Records);
  }

  static std::string markServer(config::Questionnaire &Answers,
                                const std::string &Id, bool Leaving) {
    for (config::ServiceAnswer &S : *Answers.mutable_services())
      for (config::BackendServerAnswer &B : *S.mutable_backend_servers())
        if (B.id() == Id) {
          B.set_leaving(Leaving);
          return {};
        }
    return "there is no backend server " + Id;
  }

  static std::string markEntryVm(config::Questionnaire &Answers,
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
  Surroundings Around;
  TimePoint Deadline;
  std::string LastOperation;
  std::uint64_t LastFrom = 0;
};

} // namespace

QCoro::Task<Report> runCommand(Options O, Surroundings Around) {
  Runner Command(std::move(O), std::move(Around));
  Report R = co_await Command.run();
  co_return R;
}

} // namespace amaranthspur::ctl
