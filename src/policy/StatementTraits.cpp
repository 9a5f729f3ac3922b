#include "policy/StatementTraits.h"

#include <array>
#include <cctype>

namespace amaranthspur {
namespace {

constexpr std::string_view SettingPrefix = "amaranthspur.";
constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

bool isSpace(char C) {
  return std::isspace(static_cast<unsigned char>(C)) != 0;
}

bool isWordPart(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '_' ||
         C == '.' || C == '$';
}

std::string upper(std::string_view Text) {
  std::string Out(Text);
  for (char &C : Out)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Out;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && isSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

std::string unquote(std::string_view Text) {
  Text = trim(Text);
  if (Text.size() >= 2 && (Text.front() == '\'' || Text.front() == '"') &&
      Text.back() == Text.front())
    Text = Text.substr(1, Text.size() - 2);
  return std::string(Text);
}

/// Appends the `amaranthspur.name=value` assignments in the text of a comment
/// to \p Settings.
void parseSettings(std::string_view Comment,
                   std::vector<SettingAssignment> &Settings) {
  while (!Comment.empty()) {
    const std::size_t End = Comment.find_first_of(", \t\n");
    const std::string_view Assignment = Comment.substr(0, End);
    const std::size_t Equals = Assignment.find('=');
    if (Assignment.starts_with(SettingPrefix) &&
        Equals != std::string_view::npos)
      Settings.push_back(
          {std::string(Assignment.substr(SettingPrefix.size(),
                                         Equals - SettingPrefix.size())),
           unquote(Assignment.substr(Equals + 1))});
    if (End == std::string_view::npos)
      break;
    Comment.remove_prefix(End + 1);
  }
}

/// Splits a text into words, literals and symbols. A quoted identifier is a
/// word.
class Tokenizer {
public:
  explicit Tokenizer(std::string_view Text) : Remaining(Text) {}

  struct Token {
    enum class Kind { Word, Literal, Symbol, End } Type;
    std::string_view Text;
  };

  /// Returns the next token. Comments and white space are skipped.
  Token next() {
    this->skipSpaceAndComments(nullptr);
    if (this->Remaining.empty())
      return {Token::Kind::End, {}};
    const char C = this->Remaining.front();
    if (C == '\'')
      return this->take(Token::Kind::Literal, this->quotedLength('\''));
    if (C == '"')
      return this->take(Token::Kind::Word, this->quotedLength('"'));
    if (C == '$' && this->dollarQuotedLength() > 0)
      return this->take(Token::Kind::Literal, this->dollarQuotedLength());
    if (std::isdigit(static_cast<unsigned char>(C)) != 0)
      return this->take(Token::Kind::Literal, this->wordLength());
    if (isWordPart(C))
      return this->take(Token::Kind::Word, this->wordLength());
    return this->take(Token::Kind::Symbol, 1);
  }

  /// Skips white space and comments. Settings in block comments are appended to
  /// \p Settings unless it is null.
  void skipSpaceAndComments(std::vector<SettingAssignment> *Settings) {
    for (;;) {
      while (!this->Remaining.empty() && isSpace(this->Remaining.front()))
        this->Remaining.remove_prefix(1);
      if (this->Remaining.starts_with("/*")) {
        const std::size_t Length = this->blockCommentLength();
        if (Settings && Length >= 4)
          parseSettings(trim(this->Remaining.substr(2, Length - 4)), *Settings);
        this->Remaining.remove_prefix(Length);
      } else if (this->Remaining.starts_with("--")) {
        this->Remaining.remove_prefix(
            std::min(this->Remaining.find('\n'), this->Remaining.size()));
      } else {
        return;
      }
    }
  }

  std::string_view rest() const { return this->Remaining; }

private:
  Token take(Token::Kind Type, std::size_t Length) {
    const std::string_view Text = this->Remaining.substr(0, Length);
    this->Remaining.remove_prefix(Length);
    return {Type, Text};
  }

  std::size_t wordLength() const {
    std::size_t Length = 0;
    while (Length < this->Remaining.size() &&
           isWordPart(this->Remaining[Length]))
      ++Length;
    return Length;
  }

  /// Returns the length of a quoted text, in which a doubled quote is an
  /// escaped quote.
  std::size_t quotedLength(char Quote) const {
    std::size_t Pos = 1;
    while (Pos < this->Remaining.size()) {
      if (this->Remaining[Pos] != Quote)
        ++Pos;
      else if (Pos + 1 < this->Remaining.size() &&
               this->Remaining[Pos + 1] == Quote)
        Pos += 2;
      else
        return Pos + 1;
    }
    return this->Remaining.size();
  }

  /// Returns the length of a dollar-quoted text (`$tag$ ... $tag$`), or 0 if
  /// none starts here.
  std::size_t dollarQuotedLength() const {
    std::size_t TagEnd = 1;
    while (TagEnd < this->Remaining.size() &&
           (std::isalpha(static_cast<unsigned char>(this->Remaining[TagEnd])) !=
                0 ||
            this->Remaining[TagEnd] == '_'))
      ++TagEnd;
    if (TagEnd >= this->Remaining.size() || this->Remaining[TagEnd] != '$')
      return 0;
    const std::string_view Tag = this->Remaining.substr(0, TagEnd + 1);
    const std::size_t Close = this->Remaining.find(Tag, Tag.size());
    return Close == std::string_view::npos ? this->Remaining.size()
                                           : Close + Tag.size();
  }

  /// Returns the length of a block comment. Block comments nest in PostgreSQL.
  std::size_t blockCommentLength() const {
    unsigned Depth = 0;
    std::size_t Pos = 0;
    while (Pos + 1 < this->Remaining.size()) {
      const std::string_view Pair = this->Remaining.substr(Pos, 2);
      if (Pair == "/*") {
        ++Depth;
        Pos += 2;
      } else if (Pair == "*/") {
        --Depth;
        Pos += 2;
        if (Depth == 0)
          return Pos;
      } else {
        ++Pos;
      }
    }
    return this->Remaining.size();
  }

  std::string_view Remaining;
};

struct KeywordTraits {
  std::string_view Word;
  StatementKind Kind;
  Access InferredAccess;
};

constexpr auto Keywords = std::to_array<KeywordTraits>({
    {"SELECT", StatementKind::Plain, Access::Read},
    {"VALUES", StatementKind::Plain, Access::Read},
    {"TABLE", StatementKind::Plain, Access::Read},
    {"SHOW", StatementKind::Plain, Access::Read},
    {"BEGIN", StatementKind::Begin, Access::Write},
    {"START", StatementKind::Begin, Access::Write},
    {"COMMIT", StatementKind::End, Access::Write},
    {"END", StatementKind::End, Access::Write},
    {"ROLLBACK", StatementKind::End, Access::Write},
    {"ABORT", StatementKind::End, Access::Write},
    {"SET", StatementKind::SessionState, Access::Write},
    {"RESET", StatementKind::SessionState, Access::Write},
    {"DISCARD", StatementKind::SessionState, Access::Write},
    {"LISTEN", StatementKind::SessionState, Access::Write},
    {"UNLISTEN", StatementKind::SessionState, Access::Write},
    {"PREPARE", StatementKind::SessionState, Access::Write},
    {"EXECUTE", StatementKind::SessionState, Access::Write},
    {"DEALLOCATE", StatementKind::SessionState, Access::Write},
    {"DECLARE", StatementKind::SessionState, Access::Write},
    {"LOAD", StatementKind::SessionState, Access::Write},
});

void classifySet(std::string_view Remaining, StatementTraits &Traits) {
  Tokenizer Tokens(Remaining);
  Tokenizer::Token Name = Tokens.next();
  const std::string ScopeOrName = upper(Name.Text);
  if (ScopeOrName == "LOCAL" || ScopeOrName == "TRANSACTION") {
    // The setting ends with the transaction, so it leaves no session state.
    Traits.Kind = StatementKind::Plain;
    return;
  }
  if (ScopeOrName == "SESSION")
    Name = Tokens.next();
  if (!Name.Text.starts_with(SettingPrefix))
    return;
  std::string_view Value = trim(Tokens.rest());
  if (Value.starts_with('='))
    Value.remove_prefix(1);
  else if (upper(Value.substr(0, 3)) == "TO ")
    Value.remove_prefix(3);
  while (!Value.empty() && (isSpace(Value.back()) || Value.back() == ';'))
    Value.remove_suffix(1);
  Traits.Kind = StatementKind::SetProxySetting;
  Traits.Settings.push_back(
      {std::string(Name.Text.substr(SettingPrefix.size())), unquote(Value)});
}

void classifyKeyword(std::string_view Word, std::string_view Remaining,
                     StatementTraits &Traits) {
  const std::string Name = upper(Word);
  for (const KeywordTraits &Keyword : Keywords) {
    if (Keyword.Word != Name)
      continue;
    Traits.Kind = Keyword.Kind;
    Traits.InferredAccess = Keyword.InferredAccess;
  }
  if (Name == "SET")
    classifySet(Remaining, Traits);
  if (Name == "SHOW" && trim(Remaining).starts_with(SettingPrefix)) {
    Traits.Kind = StatementKind::ShowProxySetting;
    std::string_view Shown = trim(Remaining).substr(SettingPrefix.size());
    while (!Shown.empty() && (isSpace(Shown.back()) || Shown.back() == ';'))
      Shown.remove_suffix(1);
    Traits.Settings.push_back({std::string(Shown), {}});
  }
}

/// Updates the traits for a word after the first one.
void classifyLaterWord(std::string_view Text, StatementTraits &Traits) {
  const std::string Word = upper(Text);
  // SELECT ... FOR UPDATE and FOR SHARE take locks; SELECT ... INTO creates a
  // table.
  if (Word == "UPDATE" || Word == "SHARE" || Word == "INTO")
    Traits.InferredAccess = Access::Write;
  if (Word == "TEMP" || Word == "TEMPORARY")
    Traits.Kind = StatementKind::SessionState;
}

void addToShape(std::uint64_t &Shape, std::string_view Text) {
  for (const char C : Text)
    Shape = (Shape ^ static_cast<unsigned char>(
                         std::tolower(static_cast<unsigned char>(C)))) *
            FnvPrime;
  Shape = (Shape ^ ' ') * FnvPrime;
}

} // namespace

StatementTraits classify(std::string_view Text) {
  StatementTraits Traits;
  Tokenizer Tokens(Text);
  Tokens.skipSpaceAndComments(&Traits.Settings);
  Tokenizer::Token First = Tokens.next();
  while (First.Type == Tokenizer::Token::Kind::Symbol &&
         (First.Text == ";" || First.Text == "("))
    First = Tokens.next();
  if (First.Type == Tokenizer::Token::Kind::End) {
    Traits.Kind = StatementKind::Empty;
    return Traits;
  }
  classifyKeyword(First.Text, Tokens.rest(), Traits);
  Traits.Shape = FnvOffset;
  addToShape(Traits.Shape, First.Text);
  bool TerminatorSeen = false;
  for (Tokenizer::Token T = Tokens.next();
       T.Type != Tokenizer::Token::Kind::End; T = Tokens.next()) {
    Traits.Multiple = Traits.Multiple || (TerminatorSeen && T.Text != ";");
    TerminatorSeen = TerminatorSeen || T.Text == ";";
    if (T.Type == Tokenizer::Token::Kind::Word)
      classifyLaterWord(T.Text, Traits);
    addToShape(Traits.Shape,
               T.Type == Tokenizer::Token::Kind::Literal ? "?" : T.Text);
  }
  if (Traits.Multiple)
    Traits.InferredAccess = Access::Write;
  return Traits;
}

} // namespace amaranthspur
