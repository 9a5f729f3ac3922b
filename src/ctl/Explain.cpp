#include "ctl/Explain.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace amaranthspur::ctl {
namespace {

/// Maximum number of changes or lines of takeovers that one section prints. Of
/// the changes on the entry VM of the statement the newest are printed, because
/// they determined its state when the statement ran.
constexpr std::size_t MaxChanges = 12;

QString text(const std::string &S) { return QString::fromStdString(S); }

bool isStatement(const LogRecord &R) {
  return R.Event == "statement-answered" || R.Event == "statement-refused";
}

/// An event of a takeover, with its stage. Several entry VMs log events of the
/// same takeover. Within a stage the lines of an entry VM keep their order.
struct TakeoverEvent {
  std::string_view Name;
  std::size_t Stage;
};

constexpr auto TakeoverEvents =
    std::to_array<TakeoverEvent>({{"promotion-started", 0},
                                  {"promotion-refused", 1},
                                  {"takeover-step", 2},
                                  {"call-abandoned", 2},
                                  {"promotion-ordered", 2},
                                  {"promotion-finished", 3},
                                  {"adoption-undone", 4},
                                  {"primary-changed", 5}});

/// Returns the stage of the event of \p R, or nothing for other events.
std::optional<std::size_t> takeoverStage(const LogRecord &R) {
  for (const TakeoverEvent &E : TakeoverEvents)
    if (E.Name == R.Event)
      return E.Stage;
  return std::nullopt;
}

/// Events that affect all services of a process.
constexpr auto ProcessEvents = std::to_array<std::string_view>(
    {"starting", "stopping", "drain-started", "readiness-changed",
     "platform-unreachable", "platform-reachable", "plan-accepted",
     "plan-rejected", "event-loop-paused", "lines-dropped"});

/// Returns whether \p R reports a change that may affect \p Service.
bool concerns(const LogRecord &R, const std::string &Service) {
  if (isStatement(R))
    return false;
  if (R.field("service") == Service)
    return true;
  return std::find(ProcessEvents.begin(), ProcessEvents.end(), R.Event) !=
         ProcessEvents.end();
}

/// The description of a code that occurs in the log.
struct CodeMeaning {
  std::string_view Code;
  std::string_view Meaning;
};

/// Descriptions of the values of the log field `outcome`.
constexpr auto OutcomeCodes = std::to_array<CodeMeaning>({
    {"ok", "It succeeded."},
    {"busy", "It has not run; the caller was told when to come back."},
    {"lagging", "It has not run: no server was known to hold the position "
                "that its route asks for."},
    {"read-only",
     "It has not run: the server is not the primary of its service."},
    {"wrong-server", "It has not run: another server has that address."},
    {"too-many-connections", "It has not run: the server had no connection "
                             "left."},
    {"aborted", "Nothing of its transaction was committed."},
    {"outcome-unknown", "It was sent and may have run: its connection ended "
                        "before the answer."},
    {"timeout", "Its time ended before the answer; it may have run."},
    {"failed", "It ran and failed, or no server answered it in time."},
    {"unknown-database", "The configuration in force names no such database."},
    {"unknown-statement",
     "Its session has no prepared statement of that name."},
});

/// Descriptions of the results in the log field `trail`. The subject of each is
/// the server that was tried.
constexpr auto TrailCodes = std::to_array<CodeMeaning>({
    {"lagging", "had not reached the position that the statement needs"},
    {"busy", "had no slot free"},
    {"no-connection", "had no connection free for this entry VM"},
    {"unreachable", "could not be connected to"},
    {"lost", "ended the connection before its answer"},
    {"read-only", "is not the primary of its service"},
    {"wrong-server", "is another server at that address"},
    {"gone", "was removed before it could be tried"},
    {"not-prepared", "could not prepare the session's statements"},
    {"not-proved", "was not confirmed as primary while the statement ran"},
    {"too-many-connections", "had no connection left"},
    {"failed", "ran the statement and failed"},
    {"timeout", "did not answer in time"},
});

/// Descriptions of the reasons in the log field `required_by`. The server that
/// reported the end follows.
constexpr auto RequiredByCodes = std::to_array<CodeMeaning>({
    {"none", "no end was known"},
    {"reported", "reported by"},
    {"old-primary", "the end of the old primary at its step-down,"},
    {"after-loss", "the end of the old primary after the last loss of a log"},
    {"earlier-attempt", "required in an earlier attempt"},
    {"acknowledged", "a commit that this entry VM had reported to a caller"},
});

/// Returns the description of \p Code in \p Table, or \p Default if it has
/// none.
template <std::size_t N>
std::string_view meaningOf(const std::array<CodeMeaning, N> &Table,
                           std::string_view Code, std::string_view Default) {
  const auto Found =
      std::find_if(Table.begin(), Table.end(),
                   [Code](const CodeMeaning &M) { return M.Code == Code; });
  return Found == Table.end() ? Default : Found->Meaning;
}

std::vector<std::string> split(const std::string &List, char Separator) {
  std::vector<std::string> Parts;
  std::size_t From = 0;
  while (From < List.size()) {
    const std::size_t End = std::min(List.find(Separator, From), List.size());
    Parts.push_back(List.substr(From, End - From));
    From = End + 1;
  }
  return Parts;
}

/// Returns the number at the start of \p Text, or 0 if there is none.
std::uint64_t leadingNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// Returns the term in \p R, or 0 if it has none.
std::uint64_t termOf(const LogRecord &R) {
  return leadingNumber(R.field("term"));
}

/// Returns the description of a value of the log field `required_by`.
std::string requiredBy(const std::string &Value) {
  const std::size_t Colon = std::min(Value.find(':'), Value.size());
  const std::string Code = Value.substr(0, Colon);
  std::string Text(meaningOf(RequiredByCodes, Code, Code));
  if (Colon < Value.size())
    Text += " " + Value.substr(Colon + 1);
  return Text;
}

/// Returns \p R as one line: the time, the event, and the non-empty fields
/// except `level`, sorted by name.
std::string formatRecord(const LogRecord &R) {
  std::string Line = R.Time + " " + R.Event;
  for (const auto &[Key, Value] : R.Fields)
    if (Key != "level" && !Value.empty())
      Line.append(" ").append(Key).append("=").append(Value);
  return Line;
}

/// Appends the explanation of one statement record to a report.
class Explainer {
public:
  Explainer(const std::vector<LogRecord> &Records, std::size_t SubjectIndex,
            Report &Out)
      : Records(Records), SubjectIndex(SubjectIndex),
        Subject(Records[SubjectIndex]), Out(Out) {}

  void write() {
    this->addOutcome();
    this->addAssumptions();
    this->addTrail();
    this->addTransaction();
    this->addLocalChanges();
    this->addRemoteTakeovers();
    this->addCommit();
    QJsonArray All = this->Out.Json["statements"].toArray();
    All.append(this->Json);
    this->Out.Json["statements"] = All;
  }

private:
  const std::string &field(std::string_view Key) const {
    return this->Subject.field(Key);
  }

  /// Appends a section to the text, and to the JSON under \p Name. A section
  /// without lines is omitted.
  void addSection(const char *Title, const char *Name,
                  const std::vector<std::string> &Lines) {
    if (Lines.empty())
      return;
    this->Out.line(Title);
    QJsonArray Array;
    for (const std::string &Line : Lines) {
      this->Out.line("  " + Line);
      Array.append(text(Line));
    }
    this->Json[Name] = Array;
  }

  void addOutcome() {
    const std::string Meaning(meaningOf(OutcomeCodes, this->field("outcome"),
                                        "Its outcome is named above."));
    this->addSection(
        ("statement " + this->field("id")).c_str(), "outcome",
        {this->Subject.Time + " on " + this->Subject.Process + ": " +
             this->field("kind") + " on database " + this->field("database") +
             ", service " + this->field("service") + ", " +
             this->field("consistency"),
         "outcome " + this->field("outcome") + " after " + this->field("ms") +
             " ms, sent " + this->field("attempts") + " times" +
             (this->field("why").empty() ? "" : ": " + this->field("why")),
         Meaning});
  }

  /// Writes the configuration and the primary that the entry VM assumed.
  void addAssumptions() {
    std::vector<std::string> Lines;
    std::string Since = "before this log begins";
    for (std::size_t I = 0; I < this->SubjectIndex; ++I)
      if (this->Records[I].Process == this->Subject.Process &&
          this->Records[I].Event == "plan-accepted")
        Since = "since " + this->Records[I].Time;
    Lines.push_back("configuration revision " + this->field("plan") +
                    ", in force " + Since);
    Lines.push_back("primary " + this->field("primary") + " of term " +
                    this->field("term") + ", last confirmed " +
                    this->field("known_age_ms") + " ms before the answer");
    if (!this->field("floor").empty() && this->field("floor") != "-")
      Lines.push_back("a server had to hold position " + this->field("floor"));
    this->addSection("what it was decided by", "beliefs", Lines);
  }

  /// Writes the servers that were tried for the statement.
  void addTrail() {
    std::vector<std::string> Lines;
    for (const std::string &Try : split(this->field("trail"), ',')) {
      const std::size_t Colon = Try.find(':');
      if (Colon == std::string::npos)
        continue;
      const std::string Code = Try.substr(Colon + 1);
      Lines.push_back(Try.substr(0, Colon) + " " +
                      std::string(meaningOf(TrailCodes, Code, Code)));
    }
    if (this->Subject.Event == "statement-answered")
      Lines.push_back(this->field("server") + " answered");
    this->addSection("servers tried, in order", "tried", Lines);
  }

  /// Writes the earlier statements of the same transaction.
  void addTransaction() {
    // A statement outside a transaction has the number 0.
    const std::string &Number = this->field("transaction");
    std::vector<std::string> Lines;
    for (std::size_t I = 0; I < this->SubjectIndex && Number != "0"; ++I) {
      const LogRecord &R = this->Records[I];
      if (R.Process == this->Subject.Process && isStatement(R) &&
          R.field("session") == this->field("session") &&
          R.field("transaction") == Number)
        Lines.push_back(R.Time + " " + R.field("id") + " " + R.field("kind") +
                        " at " + R.field("server") + ": " + R.field("outcome"));
    }
    this->addSection("earlier in its transaction", "transaction", Lines);
  }

  /// Writes the changes that the entry VM of the statement logged before it.
  void addLocalChanges() {
    std::vector<std::string> Lines;
    for (std::size_t I = 0; I < this->SubjectIndex; ++I)
      if (this->Records[I].Process == this->Subject.Process &&
          concerns(this->Records[I], this->field("service")))
        Lines.push_back(formatRecord(this->Records[I]));
    if (Lines.size() > MaxChanges)
      Lines.erase(Lines.begin(),
                  Lines.end() - static_cast<std::ptrdiff_t>(MaxChanges));
    this->addSection("changes on that entry VM before it, oldest first",
                     "changes", Lines);
  }

  /// Writes the takeovers that other entry VMs logged for the term that the
  /// entry VM assumed and for the next one.
  void addRemoteTakeovers() {
    struct FoundEvent {
      const LogRecord *Record;
      std::uint64_t Term;
    };
    std::vector<FoundEvent> Found;
    const std::uint64_t AssumedTerm = termOf(this->Subject);
    // An order or a claim that was given up has a fence but no term. It belongs
    // to the takeover that its process logged last.
    std::map<std::string, std::uint64_t> LastTerm;
    for (const LogRecord &R : this->Records) {
      if (R.Process == this->Subject.Process || !takeoverStage(R) ||
          R.field("service") != this->field("service"))
        continue;
      std::uint64_t &Last = LastTerm[R.Process];
      Last = termOf(R) == 0 ? Last : termOf(R);
      if (Last >= std::max<std::uint64_t>(AssumedTerm, 2) &&
          Last <= AssumedTerm + 1)
        Found.push_back({&R, Last});
    }
    std::stable_sort(Found.begin(), Found.end(),
                     [](const FoundEvent &A, const FoundEvent &B) {
                       return std::pair(A.Term, takeoverStage(*A.Record)) <
                              std::pair(B.Term, takeoverStage(*B.Record));
                     });
    if (Found.size() > MaxChanges)
      Found.resize(MaxChanges);
    std::vector<std::string> Lines;
    Lines.reserve(Found.size());
    for (const FoundEvent &E : Found)
      Lines.push_back(E.Record->Process + " " + formatRecord(*E.Record));
    this->addSection(
        "takeovers on other entry VMs, by term (their clocks differ)",
        "takeovers", Lines);
  }

  /// Returns the records of \p Event, of the service of the statement, that
  /// name a later term than the one of its commit, by term.
  std::vector<const LogRecord *> laterTerms(std::string_view Event) const {
    const std::uint64_t CommitTerm = leadingNumber(this->field("position"));
    std::vector<const LogRecord *> Found;
    for (const LogRecord &R : this->Records)
      if (R.Event == Event && R.field("service") == this->field("service") &&
          termOf(R) > CommitTerm)
        Found.push_back(&R);
    std::stable_sort(Found.begin(), Found.end(),
                     [](const LogRecord *A, const LogRecord *B) {
                       return termOf(*A) < termOf(*B);
                     });
    if (Found.size() > MaxChanges)
      Found.resize(MaxChanges);
    return Found;
  }

  /// Writes where the commit of the statement was held, what later takeovers
  /// required of their targets, and which primaries lacked a commit.
  void addCommit() {
    if (this->field("holder").empty() || this->field("holder") == "-")
      return;
    this->addSection("its commit", "commit",
                     {"position " + this->field("position") +
                      ", acknowledged by " + this->field("server") +
                      ", held by " + this->field("holder")});
    std::vector<std::string> Orders;
    for (const LogRecord *R : this->laterTerms("promotion-ordered"))
      Orders.push_back(R->Process + " " + R->Time + " ordered " +
                       R->field("target") + " for term " + R->field("term") +
                       ": required " + R->field("required") + " (" +
                       requiredBy(R->field("required_by")) +
                       "), target's end " + R->field("target_end") + ", " +
                       R->field("outcome"));
    this->addSection("takeovers after it, by term", "orders", Orders);
    std::vector<std::string> Alarms;
    for (const LogRecord *R : this->laterTerms("acknowledged-commit-missing"))
      Alarms.push_back(R->Process + " " + formatRecord(*R));
    this->addSection("primaries that lack a commit, by term", "alarms", Alarms);
  }

  const std::vector<LogRecord> &Records;
  std::size_t SubjectIndex;
  const LogRecord &Subject;
  Report &Out;
  QJsonObject Json;
};

/// Removes the value at the start of \p Rest and returns it. A value ends at
/// the next space, or it is quoted, with quotes and backslashes escaped by a
/// backslash.
std::string consumeValue(std::string_view &Rest) {
  std::string Value;
  if (!Rest.starts_with('"')) {
    const std::size_t End = std::min(Rest.find(' '), Rest.size());
    Value = Rest.substr(0, End);
    Rest.remove_prefix(End);
    return Value;
  }
  Rest.remove_prefix(1);
  while (!Rest.empty() && Rest.front() != '"') {
    if (Rest.front() == '\\' && Rest.size() > 1)
      Rest.remove_prefix(1);
    Value += Rest.front();
    Rest.remove_prefix(1);
  }
  if (!Rest.empty())
    Rest.remove_prefix(1);
  return Value;
}

} // namespace

const std::string &LogRecord::field(std::string_view Key) const {
  static const std::string None;
  const auto Found = this->Fields.find(Key);
  return Found == this->Fields.end() ? None : Found->second;
}

std::optional<LogRecord> parseLogLine(std::string_view Line) {
  const std::size_t Level = Line.find(" level=");
  if (Level == std::string_view::npos)
    return std::nullopt;
  LogRecord R;
  const std::string_view Before = Line.substr(0, Level);
  const std::size_t Space = Before.rfind(' ');
  R.Time = Space == std::string_view::npos ? Before : Before.substr(Space + 1);
  std::string_view Rest = Line.substr(Level + 1);
  while (!Rest.empty()) {
    const std::size_t Equals = Rest.find('=');
    if (Equals == std::string_view::npos)
      break;
    std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    std::string Value = consumeValue(Rest);
    Rest.remove_prefix(std::min(Rest.find_first_not_of(' '), Rest.size()));
    if (Key == "process")
      R.Process = std::move(Value);
    else if (Key == "event")
      R.Event = std::move(Value);
    else
      R.Fields.insert_or_assign(std::move(Key), std::move(Value));
  }
  if (R.Event.empty() || R.Process.empty())
    return std::nullopt;
  return R;
}

std::vector<LogRecord> parseLog(std::string_view Text) {
  std::vector<LogRecord> Records;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    if (std::optional<LogRecord> R = parseLogLine(Text.substr(0, End)))
      Records.push_back(std::move(*R));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Records;
}

Report explain(const std::string &Id, const std::vector<LogRecord> &Records) {
  Report R;
  for (std::size_t I = 0; I < Records.size(); ++I)
    if (isStatement(Records[I]) && Records[I].field("id") == Id)
      Explainer(Records, I, R).write();
  if (!R.Text.empty())
    return R;
  const auto Dropped =
      std::count_if(Records.begin(), Records.end(), [](const LogRecord &L) {
        return L.Event == "lines-dropped";
      });
  return failure(
      ExitStatus::Refused,
      "no line names statement " + Id +
          "; lines read: " + std::to_string(Records.size()) +
          ", reports of dropped lines among them: " + std::to_string(Dropped));
}

} // namespace amaranthspur::ctl
