#include "policy/ClaimRow.h"

#include <charconv>
#include <sstream>
#include <vector>

namespace amaranthspur {
namespace {

constexpr std::string_view ClaimKeyPrefix = "takeover/";

constexpr std::string_view FinishedWord = "finished";
constexpr std::string_view UndoWord = "undo";
constexpr std::string_view UnknownTerm = "0";
/// Separates the entry VM and the time of a turn.
constexpr char TurnMark = '@';
/// Begins the word of a required log.
constexpr std::string_view RequiredMark = "end=";

/// Returns the number that \p Word consists of, or nothing if it is not one.
std::optional<std::uint64_t> parseDigits(std::string_view Word) {
  std::uint64_t T = 0;
  const char *End = Word.data() + Word.size();
  const auto [Rest, Status] = std::from_chars(Word.data(), End, T);
  return Status == std::errc() && Rest == End ? std::optional(T) : std::nullopt;
}

/// Returns the number that \p Word consists of; 0 if it is not one.
std::uint64_t parseNumber(const std::string &Word) {
  return parseDigits(Word).value_or(0);
}

/// Returns the word of \p Required with a space before it, or nothing.
std::string requiredSuffix(const std::optional<RequiredLog> &Required) {
  if (!Required)
    return "";
  return " " + std::string(RequiredMark) + std::to_string(Required->Of) + ":" +
         positionText(Required->End);
}

/// Returns the required log that \p Word consists of, or nothing if it is not
/// one.
std::optional<RequiredLog> parseRequired(std::string_view Word) {
  const std::size_t Colon = Word.find(':');
  const std::size_t Dot = Word.find('.', Colon + 1);
  if (Colon == std::string_view::npos || Dot == std::string_view::npos)
    return std::nullopt;
  const auto Of = parseDigits(
      Word.substr(RequiredMark.size(), Colon - RequiredMark.size()));
  const auto InTerm = parseDigits(Word.substr(Colon + 1, Dot - Colon - 1));
  const auto Index = parseDigits(Word.substr(Dot + 1));
  if (!Of || *Of == 0 || !InTerm || !Index)
    return std::nullopt;
  return RequiredLog{*Of, {*InTerm, *Index}};
}

std::string turnWord(const ClaimTurn &Turn) {
  return Turn.Holder.str() + TurnMark + std::to_string(Turn.WaitFromMs);
}

/// Returns the turn that \p Word consists of, or nothing if it is not one.
std::optional<ClaimTurn> parseTurn(const std::string &Word) {
  const std::size_t At = Word.rfind(TurnMark);
  if (At == std::string::npos || At == 0)
    return std::nullopt;
  const std::string Digits = Word.substr(At + 1);
  ClaimTurn Turn{EntryVmId(Word.substr(0, At)), 0};
  const char *End = Digits.data() + Digits.size();
  const auto [Rest, Status] =
      std::from_chars(Digits.data(), End, Turn.WaitFromMs);
  if (Status != std::errc() || Rest != End || Turn.WaitFromMs < 0)
    return std::nullopt;
  return Turn;
}

/// Reads the words of a finished row into \p Row.
void parseFinished(const std::vector<std::string> &Words, ClaimRow &Row) {
  const std::size_t Count = Words.size();
  const Term Last = Count > 1 ? parseNumber(Words[1]) : 0;
  std::optional<ClaimTurn> Turn;
  if (Count == 3 && (Last != 0 || Words[1] == UnknownTerm))
    Turn = parseTurn(Words[2]);
  if (Count != 1 && !(Count == 2 && Last != 0) && !Turn)
    return;
  Row.State = ClaimState::Finished;
  Row.LastTerm = Last;
  Row.Turn = std::move(Turn);
}

} // namespace

std::uint64_t fencingToken(StoreVersion Version) {
  constexpr std::uint64_t EraUnit = 1'000'000'000'000;
  return Version.era() * EraUnit + Version.number();
}

std::string claimKey(const ServiceName &Service) {
  return std::string(ClaimKeyPrefix) + Service.str();
}

std::string serviceOfClaimKey(std::string_view Key) {
  if (!Key.starts_with(ClaimKeyPrefix))
    return {};
  return std::string(Key.substr(ClaimKeyPrefix.size()));
}

ClaimRow parseClaimRow(std::uint64_t Version, const std::string &Value) {
  ClaimRow Row;
  if (Version == 0) {
    Row.LastTerm = FirstTerm;
    return Row;
  }
  std::istringstream Stream(Value);
  std::vector<std::string> Words;
  for (std::string Word; Words.size() < 6 && Stream >> Word;)
    Words.push_back(Word);
  Row.State = ClaimState::Unknown;
  if (!Words.empty() && Words.back().starts_with(RequiredMark)) {
    Row.Required = parseRequired(Words.back());
    if (!Row.Required)
      return Row;
    Words.pop_back();
  }
  const std::size_t Count = Words.size();
  if (Count == 0 || Count > 4)
    return Row;
  if (Words[0] == FinishedWord) {
    parseFinished(Words, Row);
    return Row;
  }
  if (Count == 2 && Words[1] == UndoWord) {
    Row.State = ClaimState::Held;
    Row.Turn = parseTurn(Words[0]);
    Row.Undoing = true;
    return Row;
  }
  if (Count == 1 || parseNumber(Words[1]) == 0)
    return Row;
  // Only earlier versions write the fourth word.
  const std::uint64_t ClaimedAs = Count == 4 ? parseNumber(Words[3]) : 0;
  if (Count == 4 && ClaimedAs == 0)
    return Row;
  Row.State = ClaimState::Held;
  Row.ClaimedAs = ClaimedAs;
  if (Count >= 3)
    Row.Target = ServerId(Words[2]);
  Row.Turn = parseTurn(Words[0]);
  return Row;
}

ClaimRow withoutStatement(ClaimRow Row) {
  if (Row.State == ClaimState::Missing)
    Row.State = ClaimState::Finished;
  Row.LastTerm = 0;
  return Row;
}

std::optional<RequiredLog>
stillRequired(const std::optional<RequiredLog> &Required, Term Led) {
  return Required && Required->Of >= Led ? Required : std::nullopt;
}

std::string takeoverClaimValue(const ClaimTurn &Turn, Term T,
                               const std::optional<RequiredLog> &Required) {
  return turnWord(Turn) + " " + std::to_string(T) + requiredSuffix(Required);
}

std::string confirmedClaimValue(const ClaimTurn &Turn, Term T,
                                const ServerId &Target,
                                const std::optional<RequiredLog> &Required) {
  return takeoverClaimValue(Turn, T) + " " + Target.str() +
         requiredSuffix(Required);
}

std::string undoClaimValue(const ClaimTurn &Turn,
                           const std::optional<RequiredLog> &Required) {
  return turnWord(Turn) + " " + std::string(UndoWord) +
         requiredSuffix(Required);
}

std::string finishedClaimValue(const ClaimOutcome &Outcome) {
  const ClaimRow &Before = Outcome.Before;
  const bool Settled = Before.State == ClaimState::Missing ||
                       Before.State == ClaimState::Finished;
  Term Last = 0;
  if (Settled && Outcome.Promoted)
    Last = Outcome.Highest;
  else if (Settled && !Outcome.Ordered && Outcome.Highest <= Before.LastTerm)
    Last = Before.LastTerm;
  // A claim without an order carries on the wait for the order before it. The
  // holder of a claim that was not released may have given one.
  const std::optional<ClaimTurn> Turn =
      Outcome.Ordered ? std::optional(Outcome.Turn) : Before.Turn;
  std::string Value(FinishedWord);
  if (Last != 0 || Turn)
    Value += " " + std::to_string(Last);
  if (Turn)
    Value += " " + turnWord(*Turn);
  return Outcome.Promoted ? Value : Value + requiredSuffix(Outcome.Required);
}

} // namespace amaranthspur
