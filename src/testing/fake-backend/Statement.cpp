#include "testing/fake-backend/Statement.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace amaranthspur::fake {
namespace {

bool isWhitespace(char C) {
  return std::isspace(static_cast<unsigned char>(C)) != 0;
}

bool isWordCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '_';
}

std::size_t findEndOf(std::string_view Text, std::string_view Part,
                      std::size_t At) {
  const std::size_t Found = Text.find(Part, At);
  return Found == std::string_view::npos ? Text.size() : Found + Part.size();
}

/// Returns the end of the quoted string or comment that starts at \p At, or
/// \p At if none starts there. A doubled quote is treated as the end of one
/// string and the start of the next.
std::size_t skipQuotedOrComment(std::string_view Text, std::size_t At) {
  const char C = Text[At];
  if (C == '\'' || C == '"' || C == '`')
    return findEndOf(Text, std::string_view(&C, 1), At + 1);
  if (Text.substr(At, 2) == "--")
    return findEndOf(Text, "\n", At + 2);
  if (Text.substr(At, 2) == "/*")
    return findEndOf(Text, "*/", At + 2);
  return At;
}

std::string_view skipWhitespaceAndComments(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    if (isWhitespace(Text[At])) {
      ++At;
      continue;
    }
    const bool Comment =
        Text.substr(At, 2) == "--" || Text.substr(At, 2) == "/*";
    if (!Comment)
      break;
    At = skipQuotedOrComment(Text, At);
  }
  return Text.substr(At);
}

/// Consumes a word, number, quoted string or single character. The quotes of a
/// string are removed.
/// \returns std::nullopt at the end of \p Rest.
std::optional<std::string> consumeToken(std::string_view &Rest) {
  Rest = skipWhitespaceAndComments(Rest);
  if (Rest.empty())
    return std::nullopt;
  std::size_t End = 1;
  if (Rest.front() == '\'') {
    End = skipQuotedOrComment(Rest, 0);
    std::string Text(Rest.substr(1, End > 1 ? End - 2 : 0));
    Rest.remove_prefix(End);
    return Text;
  }
  if (isWordCharacter(Rest.front()))
    End = static_cast<std::size_t>(
        std::find_if_not(Rest.begin(), Rest.end(), isWordCharacter) -
        Rest.begin());
  std::string Token(Rest.substr(0, End));
  Rest.remove_prefix(End);
  return Token;
}

std::string toUpper(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return Text;
}

std::string consumeWord(std::string_view &Rest) {
  return toUpper(consumeToken(Rest).value_or(""));
}

/// Parses `SELECT [* FROM] group_name(argument, ...)`.
std::optional<ControlCall> parseControl(std::string_view Rest) {
  std::string Name = consumeToken(Rest).value_or("");
  if (Name == "*") {
    if (consumeWord(Rest) != "FROM")
      return std::nullopt;
    Name = consumeToken(Rest).value_or("");
  }
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  const auto Function = parseName<ControlFunction>(Name);
  if (!Function || consumeToken(Rest) != "(")
    return std::nullopt;
  ControlCall Call{*Function, {}};
  std::optional<std::string> Token = consumeToken(Rest);
  while (Token && Token != ")") {
    if (Token != ",")
      Call.Arguments.push_back(*Token);
    Token = consumeToken(Rest);
  }
  if (Token != ")" || !skipWhitespaceAndComments(Rest).empty())
    return std::nullopt;
  return Call;
}

/// The statement form that a first keyword implies.
struct FirstKeyword {
  std::string_view Word;
  StatementForm Form;
};

constexpr auto FirstKeywords = std::to_array<FirstKeyword>({
    {"SELECT", StatementForm::Read},
    {"INSERT", StatementForm::Write},
    {"UPDATE", StatementForm::Write},
    {"DELETE", StatementForm::Write},
    {"REPLACE", StatementForm::Write},
    {"CREATE", StatementForm::Write},
    {"DROP", StatementForm::Write},
    {"ALTER", StatementForm::Write},
    {"BEGIN", StatementForm::Begin},
    {"START", StatementForm::Begin},
    {"COMMIT", StatementForm::Commit},
    {"END", StatementForm::Commit},
    {"ROLLBACK", StatementForm::Rollback},
    {"ABORT", StatementForm::Rollback},
    {"SET", StatementForm::Setting},
    {"RESET", StatementForm::Setting},
    {"DISCARD", StatementForm::Setting},
    {"DEALLOCATE", StatementForm::Setting},
});

StatementForm formOfKeyword(std::string_view Word) {
  for (const FirstKeyword &Entry : FirstKeywords)
    if (Entry.Word == Word)
      return Entry.Form;
  return StatementForm::Read;
}

std::string tagOf(StatementForm Form, const std::string &Word,
                  std::string_view Rest) {
  switch (Form) {
  case StatementForm::Begin:
    return "BEGIN";
  case StatementForm::Commit:
    return "COMMIT";
  case StatementForm::Rollback:
    return "ROLLBACK";
  default:
    break;
  }
  if (Word == "CREATE" || Word == "DROP" || Word == "ALTER" ||
      Word == "DISCARD")
    return Word + " " + consumeWord(Rest);
  if (Word == "INSERT" || Word == "REPLACE")
    return "INSERT 0";
  return Form == StatementForm::Read ? "SELECT" : Word;
}

} // namespace

std::string_view consumeStatement(std::string_view &Rest) {
  Rest = skipWhitespaceAndComments(Rest);
  std::string_view Words = Rest;
  if (consumeWord(Words) == "CREATE" && consumeWord(Words) == "TRIGGER")
    return std::exchange(Rest, {});
  std::size_t At = 0;
  while (At < Rest.size() && Rest[At] != ';')
    At = std::max(skipQuotedOrComment(Rest, At), At + 1);
  const std::string_view Text = Rest.substr(0, At);
  Rest.remove_prefix(std::min(At + 1, Rest.size()));
  return Text;
}

Statement parseStatement(std::string_view Text) {
  Statement Parsed;
  Parsed.Text = skipWhitespaceAndComments(Text);
  std::string_view Rest = Parsed.Text;
  const std::string Word = consumeWord(Rest);
  if (Word.empty())
    return Parsed;
  Parsed.Form = formOfKeyword(Word);
  Parsed.Tag = tagOf(Parsed.Form, Word, Rest);
  if (Word != "SELECT")
    return Parsed;
  if (auto Call = parseControl(Rest)) {
    Parsed.Form = StatementForm::Control;
    Parsed.Call = std::move(*Call);
  }
  return Parsed;
}

} // namespace amaranthspur::fake
