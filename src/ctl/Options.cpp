#include "ctl/Options.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace amaranthspur::ctl {
namespace {

/// Maximum length of an operation identifier and of an author.
constexpr std::size_t MaxTextLength = 100;

/// The arguments and the requirements of one command.
struct CommandInfo {
  CommandKind Command;
  /// The arguments in the usage line. A trailing "..." means that the last one
  /// may be repeated, and brackets that it may be left out.
  std::string_view Arguments;
  std::size_t Count; ///< The number of arguments that have to be given.
  bool NeedsPlatform;
  std::string_view Summary;
};

constexpr auto Commands = std::to_array<CommandInfo>({
    {CommandKind::Init, "engravers|association", 1, false,
     "print example answers to start from"},
    {CommandKind::Check, "FILE", 1, false,
     "report every mistake in the answers; - reads standard input"},
    {CommandKind::Plan, "FILE", 1, true,
     "show what accepting the answers would change, with warnings"},
    {CommandKind::Accept, "FILE", 1, true,
     "make the answers the next revision after --from-revision"},
    {CommandKind::History, "", 0, true, "list the accepted revisions"},
    {CommandKind::Show, "", 0, true,
     "print the answers of the newest or the given revision"},
    {CommandKind::Status, "", 0, false,
     "ask the entry VMs which revision they have in force"},
    {CommandKind::Route, "STATUS-ADDRESS DATABASE WORKSPACE [read|write]", 3,
     false, "explain where an entry VM would route a statement now"},
    {CommandKind::Drain, "backend-server|entry-vm ID", 2, true,
     "accept a revision in which it gets no new work"},
    {CommandKind::Undrain, "backend-server|entry-vm ID", 2, true,
     "accept a revision in which it gets work again"},
    {CommandKind::Explain, "ID FILE...", 2, false,
     "explain the outcome of a statement from the logs of entry VMs; - reads "
     "standard input"},
    {CommandKind::Help, "", 0, false, "print this text"},
    {CommandKind::Version, "", 0, false, "print the version"},
});

const CommandInfo &infoOf(CommandKind Command) {
  return *std::find_if(
      Commands.begin(), Commands.end(),
      [&](const CommandInfo &Info) { return Info.Command == Command; });
}

/// One flag with a value. Its environment variable is AMARANTHSPUR_ followed by
/// the name in upper case with `_` for `-`.
struct FlagInfo {
  std::string_view Name;
  std::string_view Value;
  std::string_view Summary;
};

constexpr auto Flags = std::to_array<FlagInfo>({
    {"platform-address", "HOST:PORT", "the platform's service"},
    {"admin-address", "HOST:PORT,...",
     "admin addresses of entry VMs for status, instead of the platform's list"},
    {"from-revision", "N", "the revision that the change was made from"},
    {"revision", "N", "the revision to show (default: the newest)"},
    {"operation", "ID",
     "identifier of the change; give it again to repeat a change whose outcome "
     "is unknown (default: a new one)"},
    {"author", "NAME", "who makes the change (default: $USER)"},
    {"limit", "N", "entries of the history (default: 20)"},
    {"timeout-ms", "N", "time for the whole command (default: 10000)"},
});

/// Returns the name of the environment variable of \p Flag.
std::string environmentVariableOf(std::string_view Flag) {
  std::string Name = "AMARANTHSPUR_";
  for (const char C : Flag)
    Name += C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return Name;
}

std::string helpText() {
  std::string Text =
      "Usage: amaranthspurctl COMMAND [ARGUMENT...] [OPTION...]\n\n"
      "Changes and shows the configuration of amaranthspur.\n\nCommands:\n";
  constexpr std::size_t Column = 38;
  const auto Entry = [&](std::string Left, std::string_view Summary) {
    Left.resize(std::max(Column, Left.size() + 1), ' ');
    Text.append(Left).append(Summary).append("\n");
  };
  for (const CommandInfo &Info : Commands) {
    std::string Left = "  ";
    Left.append(nameOf(Info.Command)).append(" ").append(Info.Arguments);
    Entry(std::move(Left), Info.Summary);
  }
  Text += "\nOptions:\n";
  for (const FlagInfo &Flag : Flags) {
    std::string Left = "  --";
    Left.append(Flag.Name).append(" ").append(Flag.Value);
    Entry(std::move(Left), Flag.Summary);
  }
  Entry("  --json", "print one JSON object instead of text");
  Text += "\nEach option --a-b can be set by the environment variable "
          "AMARANTHSPUR_A_B.\n\n"
          "Exit status:\n"
          "  0  done\n"
          "  1  refused: a conflict, or entry VMs that have not confirmed\n"
          "  2  bad usage, or mistakes in the answers\n"
          "  3  the platform is unreachable; a change may have taken effect\n";
  return Text;
}

/// Reads the values of options and collects the errors in them.
class OptionReader {
public:
  OptionReader(const cxxopts::ParseResult &Parsed, const Environment &Variables)
      : Parsed(Parsed), Variables(Variables) {}

  std::string Problems;

  void problem(std::string_view Text) {
    this->Problems.append(this->Problems.empty() ? "" : "\n").append(Text);
  }

  /// Returns the value of \p Flag or of its environment variable. An empty
  /// value counts as absent.
  std::optional<std::string> text(const std::string &Flag) {
    std::optional<std::string> Value;
    if (this->Parsed.count(Flag) > 0)
      Value = this->Parsed[Flag].as<std::string>();
    else
      Value = this->Variables(environmentVariableOf(Flag));
    if (Value && Value->empty())
      Value.reset();
    return Value;
  }

  /// Returns the value of \p Flag, which must be at most MaxTextLength
  /// printable characters without `/`: identifiers become part of object names.
  std::string shortText(const std::string &Flag) {
    std::string Value = this->text(Flag).value_or("");
    const bool Printable = std::all_of(Value.begin(), Value.end(), [](char C) {
      return static_cast<unsigned char>(C) >= ' ' && C != '/';
    });
    if (Value.size() > MaxTextLength || !Printable)
      this->problem("--" + Flag + ": at most " + std::to_string(MaxTextLength) +
                    " printable characters other than / are allowed");
    return Value;
  }

  std::optional<std::uint64_t> number(const std::string &Flag,
                                      std::uint64_t Min, std::uint64_t Max) {
    const std::optional<std::string> Value = this->text(Flag);
    if (!Value)
      return std::nullopt;
    std::uint64_t Number = 0;
    const char *End = Value->data() + Value->size();
    const auto [At, Status] = std::from_chars(Value->data(), End, Number);
    if (Status == std::errc() && At == End && Number >= Min && Number <= Max)
      return Number;
    this->problem("--" + Flag + ": \"" + *Value + "\" is not allowed; from " +
                  std::to_string(Min) + " to " + std::to_string(Max));
    return std::nullopt;
  }

  std::vector<Address> addresses(const std::string &Flag) {
    std::vector<Address> Found;
    std::string Rest = this->text(Flag).value_or("");
    while (!Rest.empty()) {
      const std::size_t Comma = std::min(Rest.find(','), Rest.size());
      Result<Address> A = parseAddress(Rest.substr(0, Comma));
      if (succeeded(A))
        Found.push_back(valueOf(std::move(A)));
      else
        this->problem("--" + Flag + ": " + errorOf(A));
      Rest.erase(0, Comma + 1);
    }
    return Found;
  }

private:
  const cxxopts::ParseResult &Parsed;
  const Environment &Variables;
};

/// Reads the command and its arguments from \p Positionals into \p O.
void readCommand(const std::vector<std::string> &Positionals, Options &O,
                 OptionReader &Read) {
  if (Positionals.empty())
    return Read.problem("a command is needed; see --help");
  const std::optional<CommandKind> Command =
      parseName<CommandKind>(Positionals[0]);
  if (!Command)
    return Read.problem(
        "\"" + Positionals[0] +
        "\" is not a command; allowed: " + allNames<CommandKind>());
  O.Command = *Command;
  O.Arguments.assign(Positionals.begin() + 1, Positionals.end());
  const CommandInfo &Info = infoOf(*Command);
  const bool IsVariadic = Info.Arguments.ends_with("...");
  const std::size_t Most = Info.Count + (Info.Arguments.ends_with("]") ? 1 : 0);
  if (O.Arguments.size() < Info.Count ||
      (!IsVariadic && O.Arguments.size() > Most))
    return Read.problem("usage: amaranthspurctl " + Positionals[0] + " " +
                        std::string(Info.Arguments));
  if (Info.NeedsPlatform && !O.Platform)
    Read.problem(Positionals[0] + " needs --platform-address");
  if (*Command == CommandKind::Accept && !O.FromRevision)
    Read.problem("accept needs --from-revision, the revision that the answers "
                 "were made from (0 for the first)");
  if (*Command == CommandKind::Status && !O.Platform &&
      O.AdminAddresses.empty())
    Read.problem("status needs --platform-address or --admin-address");
  if (*Command != CommandKind::Drain && *Command != CommandKind::Undrain)
    return;
  const std::optional<DrainTarget> Target =
      parseName<DrainTarget>(O.Arguments[0]);
  if (!Target)
    return Read.problem("\"" + O.Arguments[0] + "\" cannot be drained; " +
                        "allowed: " + allNames<DrainTarget>());
  O.Target = *Target;
}

/// Reads all options except `--help` and `--version`.
Options readFlags(const cxxopts::ParseResult &Parsed,
                  const Environment &Variables, OptionReader &Read) {
  constexpr std::uint64_t MaxRevision = std::uint64_t{1} << 53U;
  constexpr std::uint64_t MaxLimit = 10'000;
  // acceptRevision() reserves 2 s to look up a change whose response was lost.
  // With a timeout below 3 s too little time would be left for the change.
  constexpr std::uint64_t MinTimeoutMs = 3000;
  constexpr std::uint64_t MaxTimeoutMs = 600'000;
  Options O;
  const std::vector<Address> Platform = Read.addresses("platform-address");
  if (!Platform.empty())
    O.Platform = Platform.front();
  O.AdminAddresses = Read.addresses("admin-address");
  O.FromRevision = Read.number("from-revision", 0, MaxRevision);
  O.Revision = Read.number("revision", 1, MaxRevision);
  O.Operation = Read.shortText("operation");
  O.Author = Read.shortText("author");
  if (O.Author.empty())
    O.Author = Variables("USER").value_or("unknown");
  O.Limit = Read.number("limit", 1, MaxLimit).value_or(20);
  O.Timeout = milliseconds(
      Read.number("timeout-ms", MinTimeoutMs, MaxTimeoutMs).value_or(10'000));
  const std::string Json = Variables("AMARANTHSPUR_JSON").value_or("");
  O.Json = Parsed.count("json") > 0 || Json == "1" || Json == "true";
  return O;
}

} // namespace

Result<Options> readOptions(const std::vector<std::string> &Arguments,
                            const Environment &Variables) {
  cxxopts::Options Parser("amaranthspurctl");
  for (const FlagInfo &Flag : Flags)
    Parser.add_options()(std::string(Flag.Name), std::string(Flag.Summary),
                         cxxopts::value<std::string>());
  Parser.add_options()("json", "")("help", "")("version", "")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  Parser.parse_positional({"words"});
  std::vector<const char *> Pointers = {"amaranthspurctl"};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(Argument.c_str());
  try {
    const cxxopts::ParseResult Parsed =
        Parser.parse(static_cast<int>(Pointers.size()), Pointers.data());
    OptionReader Read(Parsed, Variables);
    Options O = readFlags(Parsed, Variables, Read);
    O.HelpText = helpText();
    if (Parsed.count("help") > 0 || Parsed.count("version") > 0) {
      O.Command =
          Parsed.count("help") > 0 ? CommandKind::Help : CommandKind::Version;
      return O;
    }
    std::vector<std::string> Positionals;
    if (Parsed.count("words") > 0)
      Positionals = Parsed["words"].as<std::vector<std::string>>();
    readCommand(Positionals, O, Read);
    if (!Read.Problems.empty())
      return Error{Read.Problems};
    return O;
  } catch (const cxxopts::exceptions::exception &E) {
    return Error{E.what()};
  }
}

} // namespace amaranthspur::ctl
