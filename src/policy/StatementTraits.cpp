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

/// Reads `amaranthspur.name=value` settings out of a comment's text.
void readSettings(std::string_view Comment,
                  std::vector<SettingAssignment> &Settings) {
  while (!Comment.empty()) {
    const std::size_t End = Comment.find_first_of(", \t\n");
    const std::string_view Part = Comment.substr(0, End);
    const std::size_t Equals = Part.find('=');
    if (Part.starts_with(SettingPrefix) && Equals != std::string_view::npos)
      Settings.push_back(
          {std::string(Part.substr(SettingPrefix.size(),
                                   Equals - SettingPrefix.size())),
           unquote(Part.substr(Equals + 1))});
    if (End == std::string_view::npos)
      break;
    Comment.remove_prefix(End + 1);
  }
}

/// Cuts a text into words, literals and signs.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Rest(Text) {}

  struct Token {
    enum class Kind { Word, Literal, Sign, End } What;
    std::string_view Text;
  };

  /// Returns the next token; comments and white space are passed over.
  Token next() {
    this->skipBlank(nullptr);
    if (this->Rest.empty())
      return {Token::Kind::End, {}};
    const char C = this->Rest.front();
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
    return this->take(Token::Kind::Sign, 1);
  }

  /// Passes over white space and comments; comments go to \p Settings.
  void skipBlank(std::vector<SettingAssignment> *Settings) {
    for (;;) {
      while (!this->Rest.empty() && isSpace(this->Rest.front()))
        this->Rest.remove_prefix(1);
      if (this->Rest.starts_with("/*")) {
        const std::size_t Length = this->blockCommentLength();
        if (Settings && Length >= 4)
          readSettings(trim(this->Rest.substr(2, Length - 4)), *Settings);
        this->Rest.remove_prefix(Length);
      } else if (this->Rest.starts_with("--")) {
        this->Rest.remove_prefix(
            std::min(this->Rest.find('\n'), this->Rest.size()));
      } else {
        return;
      }
    }
  }

  std::string_view rest() const { return this->Rest; }

private:
  Token take(Token::Kind What, std::size_t Length) {
    const std::string_view Text = this->Rest.substr(0, Length);
    this->Rest.remove_prefix(Length);
    return {What, Text};
  }

  std::size_t wordLength() const {
    std::size_t Length = 0;
    while (Length < this->Rest.size() && isWordPart(this->Rest[Length]))
      ++Length;
    return Length;
  }

  /// Length of a quoted text; a doubled quote stands for itself.
  std::size_t quotedLength(char Quote) const {
    std::size_t At = 1;
    while (At < this->Rest.size()) {
      if (this->Rest[At] != Quote)
        ++At;
      else if (At + 1 < this->Rest.size() && this->Rest[At + 1] == Quote)
        At += 2;
      else
        return At + 1;
    }
    return this->Rest.size();
  }

  /// Length of `$tag$ ... $tag$`, or 0 if none starts here.
  std::size_t dollarQuotedLength() const {
    std::size_t TagEnd = 1;
    while (TagEnd < this->Rest.size() &&
           (std::isalpha(static_cast<unsigned char>(this->Rest[TagEnd])) != 0 ||
            this->Rest[TagEnd] == '_'))
      ++TagEnd;
    if (TagEnd >= this->Rest.size() || this->Rest[TagEnd] != '$')
      return 0;
    const std::string_view Tag = this->Rest.substr(0, TagEnd + 1);
    const std::size_t Close = this->Rest.find(Tag, Tag.size());
    return Close == std::string_view::npos ? this->Rest.size()
                                           : Close + Tag.size();
  }

  /// Block comments nest in PostgreSQL.
  std::size_t blockCommentLength() const {
    unsigned Depth = 0;
    std::size_t At = 0;
    while (At + 1 < this->Rest.size()) {
      const std::string_view Pair = this->Rest.substr(At, 2);
      if (Pair == "/*") {
        ++Depth;
        At += 2;
      } else if (Pair == "*/") {
        --Depth;
        At += 2;
        if (Depth == 0)
          return At;
      } else {
        ++At;
      }
    }
    return this->Rest.size();
  }

  std::string_view Rest;
};

struct KeywordKind {
  std::string_view Word;
  StatementKind Kind;
  Access Guess;
};

constexpr auto Keywords = std::to_array<KeywordKind>({
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

void classifySet(std::string_view Rest, StatementTraits &Traits) {
  Scanner Words(Rest);
  Scanner::Token Name = Words.next();
  const std::string Scope = upper(Name.Text);
  if (Scope == "LOCAL" || Scope == "TRANSACTION") {
    Traits.Kind = StatementKind::Plain; // Ends with the transaction.
    return;
  }
  if (Scope == "SESSION")
    Name = Words.next();
  if (!Name.Text.starts_with(SettingPrefix))
    return;
  std::string_view Value = trim(Words.rest());
  if (Value.starts_with('='))
    Value.remove_prefix(1);
  else if (upper(Value.substr(0, 3)) == "TO ")
    Value.remove_prefix(3);
  while (!Value.empty() && (isSpace(Value.back()) || Value.back() == ';'))
    Value.remove_suffix(1);
  Traits.Kind = StatementKind::SetOwn;
  Traits.Settings.push_back(
      {std::string(Name.Text.substr(SettingPrefix.size())), unquote(Value)});
}

void classifyKeyword(std::string_view Word, std::string_view Rest,
                     StatementTraits &Traits) {
  const std::string Name = upper(Word);
  for (const KeywordKind &Keyword : Keywords) {
    if (Keyword.Word != Name)
      continue;
    Traits.Kind = Keyword.Kind;
    Traits.Guess = Keyword.Guess;
  }
  if (Name == "SET")
    classifySet(Rest, Traits);
  if (Name == "SHOW" && trim(Rest).starts_with(SettingPrefix)) {
    Traits.Kind = StatementKind::ShowOwn;
    std::string_view Shown = trim(Rest).substr(SettingPrefix.size());
    while (!Shown.empty() && (isSpace(Shown.back()) || Shown.back() == ';'))
      Shown.remove_suffix(1);
    Traits.Settings.push_back({std::string(Shown), {}});
  }
}

/// Takes in a word behind the first one.
void classifyWord(std::string_view Text, StatementTraits &Traits) {
  const std::string Word = upper(Text);
  // SELECT ... FOR UPDATE takes locks, SELECT ... INTO makes a table.
  if (Word == "UPDATE" || Word == "SHARE" || Word == "INTO")
    Traits.Guess = Access::Write;
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
  Scanner Words(Text);
  Words.skipBlank(&Traits.Settings);
  Scanner::Token First = Words.next();
  while (First.What == Scanner::Token::Kind::Sign &&
         (First.Text == ";" || First.Text == "("))
    First = Words.next();
  if (First.What == Scanner::Token::Kind::End) {
    Traits.Kind = StatementKind::Empty;
    return Traits;
  }
  classifyKeyword(First.Text, Words.rest(), Traits);
  Traits.Shape = FnvOffset;
  addToShape(Traits.Shape, First.Text);
  bool Ended = false;
  for (Scanner::Token T = Words.next(); T.What != Scanner::Token::Kind::End;
       T = Words.next()) {
    Traits.Multiple = Traits.Multiple || (Ended && T.Text != ";");
    Ended = Ended || T.Text == ";";
    if (T.What == Scanner::Token::Kind::Word)
      classifyWord(T.Text, Traits);
    addToShape(Traits.Shape,
               T.What == Scanner::Token::Kind::Literal ? "?" : T.Text);
  }
  if (Traits.Multiple)
    Traits.Guess = Access::Write;
  return Traits;
}

} // namespace amaranthspur
