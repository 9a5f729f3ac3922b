#include "ctl/Explain.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthspur::ctl {
namespace {

/// Changes of belief that are printed of one process at most. The newest are
/// kept: they are the ones that were in force.
constexpr std::size_t MaxChanges = 12;

QString text(const std::string &S) { return QString::fromStdString(S); }

bool isStatement(const LogRecord &R) {
  return R.Event == "statement-answered" || R.Event == "statement-refused";
}

/// Events about a service that other entry VMs log as well, in the order in
/// which one takeover brings them.
constexpr auto TakeoverEvents = std::to_array<std::string_view>(
    {"promotion-started", "promotion-refused", "promotion-ordered",
     "promotion-finished", "adoption-undone", "primary-changed"});

std::size_t takeoverRank(const LogRecord &R) {
  return static_cast<std::size_t>(
      std::find(TakeoverEvents.begin(), TakeoverEvents.end(), R.Event) -
      TakeoverEvents.begin());
}

/// Events of a process that concern every service.
constexpr auto ProcessEvents = std::to_array<std::string_view>(
    {"starting", "stopping", "drain-started", "readiness-changed",
     "platform-unreachable", "platform-reachable", "plan-accepted",
     "plan-rejected", "event-loop-paused", "lines-dropped"});

bool concerns(const LogRecord &R, const std::string &Service) {
  if (isStatement(R))
    return false;
  if (R.field("service") == Service)
    return true;
  return std::find(ProcessEvents.begin(), ProcessEvents.end(), R.Event) !=
         ProcessEvents.end();
}

/// A word of the log in plain words.
struct WordMeaning {
  std::string_view Word;
  std::string_view Words;
};

/// What an outcome says about the statement.
constexpr auto Outcomes = std::to_array<WordMeaning>({
    {"ok", "It succeeded."},
    {"busy", "It has not run; the caller was told when to come back."},
    {"lagging", "It has not run: no server was known to hold the position "
                "that its route asks for."},
    {"read-only", "It has not run: the server does not lead its service."},
    {"wrong-server", "It has not run: another server has that address."},
    {"too-many-connections", "It has not run: the server had no connection "
                             "left."},
    {"aborted", "Nothing of its transaction is kept."},
    {"outcome-unknown", "It was sent and may have run: its connection ended "
                        "before the answer."},
    {"timeout", "Its time ended before the answer; it may have run."},
    {"failed", "It ran and failed, or no server answered it in time."},
    {"unknown-database", "The configuration in force names no such database."},
    {"unknown-statement", "Its session has prepared no such name."},
});

/// What one word of the trail says about the server that was tried.
constexpr auto TrailWords = std::to_array<WordMeaning>({
    {"lagging", "had not reached the position that the statement needs"},
    {"busy", "had no slot free"},
    {"no-connection", "had no connection free for this entry VM"},
    {"unreachable", "could not be connected to"},
    {"lost", "ended the connection before its answer"},
    {"read-only", "does not lead its service"},
    {"wrong-server", "is another server at that address"},
    {"gone", "had left when its turn came"},
    {"not-prepared", "could not prepare the session's names"},
    {"not-proved", "was not shown to lead while the statement ran"},
    {"too-many-connections", "had no connection left"},
    {"failed", "ran the statement and failed"},
    {"timeout", "did not answer in time"},
});

template <std::size_t N>
std::string_view meaningOf(const std::array<WordMeaning, N> &Table,
                           std::string_view Word, std::string_view Else) {
  const auto Found =
      std::find_if(Table.begin(), Table.end(),
                   [Word](const WordMeaning &M) { return M.Word == Word; });
  return Found == Table.end() ? Else : Found->Words;
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

std::uint64_t termOf(const LogRecord &R) {
  const std::string &Text = R.field("term");
  std::uint64_t Term = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Term);
  return Term;
}

/// A record as one line: time, event, and its fields in the order of their
/// names.
std::string brief(const LogRecord &R) {
  std::string Line = R.Time + " " + R.Event;
  for (const auto &[Key, Value] : R.Fields)
    if (Key != "level" && !Value.empty())
      Line.append(" ").append(Key).append("=").append(Value);
  return Line;
}

/// Writes the explanation of one record.
class Explainer {
public:
  Explainer(const std::vector<LogRecord> &Records, std::size_t Of, Report &Out)
      : Records(Records), Of(Of), Subject(Records[Of]), Out(Out) {}

  void write() {
    this->outcome();
    this->beliefs();
    this->trail();
    this->transaction();
    this->changesHere();
    this->changesElsewhere();
    QJsonArray All = this->Out.Json["statements"].toArray();
    All.append(this->Json);
    this->Out.Json["statements"] = All;
  }

private:
  const std::string &field(std::string_view Key) const {
    return this->Subject.field(Key);
  }

  void section(const char *Title, const char *Name,
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

  void outcome() {
    const std::string Meaning(meaningOf(Outcomes, this->field("outcome"),
                                        "Its outcome is named above."));
    this->section(
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

  void beliefs() {
    std::vector<std::string> Lines;
    std::string Since = "before this log begins";
    for (std::size_t I = 0; I < this->Of; ++I)
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
    this->section("what it was decided by", "beliefs", Lines);
  }

  void trail() {
    std::vector<std::string> Lines;
    for (const std::string &Try : split(this->field("trail"), ',')) {
      const std::size_t Colon = Try.find(':');
      if (Colon == std::string::npos)
        continue;
      const std::string Word = Try.substr(Colon + 1);
      Lines.push_back(Try.substr(0, Colon) + " " +
                      std::string(meaningOf(TrailWords, Word, Word)));
    }
    if (this->Subject.Event == "statement-answered")
      Lines.push_back(this->field("server") + " answered");
    this->section("servers tried, in order", "tried", Lines);
  }

  void transaction() {
    // 0 stands for a statement outside a transaction.
    const std::string &Number = this->field("transaction");
    std::vector<std::string> Lines;
    for (std::size_t I = 0; I < this->Of && Number != "0"; ++I) {
      const LogRecord &R = this->Records[I];
      if (R.Process == this->Subject.Process && isStatement(R) &&
          R.field("session") == this->field("session") &&
          R.field("transaction") == Number)
        Lines.push_back(R.Time + " " + R.field("id") + " " + R.field("kind") +
                        " at " + R.field("server") + ": " + R.field("outcome"));
    }
    this->section("earlier in its transaction", "transaction", Lines);
  }

  void changesHere() {
    std::vector<std::string> Lines;
    for (std::size_t I = 0; I < this->Of; ++I)
      if (this->Records[I].Process == this->Subject.Process &&
          concerns(this->Records[I], this->field("service")))
        Lines.push_back(brief(this->Records[I]));
    if (Lines.size() > MaxChanges)
      Lines.erase(Lines.begin(),
                  Lines.end() - static_cast<std::ptrdiff_t>(MaxChanges));
    this->section("changes on that entry VM before it, oldest first", "changes",
                  Lines);
  }

  /// Takeovers to the believed term and the one after it.
  void changesElsewhere() {
    std::vector<const LogRecord *> Found;
    const std::uint64_t Believed = termOf(this->Subject);
    for (const LogRecord &R : this->Records)
      if (R.Process != this->Subject.Process &&
          takeoverRank(R) < TakeoverEvents.size() &&
          R.field("service") == this->field("service") &&
          termOf(R) >= std::max<std::uint64_t>(Believed, 2) &&
          termOf(R) <= Believed + 1)
        Found.push_back(&R);
    std::stable_sort(Found.begin(), Found.end(),
                     [](const LogRecord *A, const LogRecord *B) {
                       return std::pair(termOf(*A), takeoverRank(*A)) <
                              std::pair(termOf(*B), takeoverRank(*B));
                     });
    if (Found.size() > MaxChanges)
      Found.resize(MaxChanges);
    std::vector<std::string> Lines;
    Lines.reserve(Found.size());
    for (const LogRecord *R : Found)
      Lines.push_back(R->Process + " " + brief(*R));
    this->section("takeovers on other entry VMs, by term (their clocks differ)",
                  "takeovers", Lines);
  }

  const std::vector<LogRecord> &Records;
  std::size_t Of;
  const LogRecord &Subject;
  Report &Out;
  QJsonObject Json;
};

/// Takes the value at the start of \p Rest: up to a blank, or quoted with
/// backslashes before quotes and backslashes.
std::string takeValue(std::string_view &Rest) {
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
  const std::size_t Blank = Before.rfind(' ');
  R.Time = Blank == std::string_view::npos ? Before : Before.substr(Blank + 1);
  std::string_view Rest = Line.substr(Level + 1);
  while (!Rest.empty()) {
    const std::size_t Equals = Rest.find('=');
    if (Equals == std::string_view::npos)
      break;
    std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    std::string Value = takeValue(Rest);
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
