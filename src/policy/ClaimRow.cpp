#include "policy/ClaimRow.h"

#include <charconv>
#include <sstream>
#include <vector>

namespace amaranthspur {
namespace {

constexpr std::string_view ClaimKeyPrefix = "takeover/";

constexpr std::string_view FinishedWord = "finished";
constexpr std::string_view UndoWord = "undo";

/// Returns the number that \p Word consists of; 0 if it is not one.
std::uint64_t parseNumber(const std::string &Word) {
  std::uint64_t T = 0;
  const char *End = Word.data() + Word.size();
  const auto [Rest, Status] = std::from_chars(Word.data(), End, T);
  return Status == std::errc() && Rest == End ? T : 0;
}

} // namespace

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
  for (std::string Word; Words.size() < 5 && Stream >> Word;)
    Words.push_back(Word);
  const std::size_t Count = Words.size();
  Row.State = ClaimState::Unknown;
  if (Count == 0 || Count > 4)
    return Row;
  if (Words[0] == FinishedWord) {
    const Term Last = Count == 2 ? parseNumber(Words[1]) : 0;
    if (Count == 1 || Last != 0)
      Row.State = ClaimState::Finished;
    Row.LastTerm = Last;
    return Row;
  }
  if (Count == 2 && Words[1] == UndoWord) {
    Row.State = ClaimState::Held;
    return Row;
  }
  if (Count == 1 || parseNumber(Words[1]) == 0)
    return Row;
  // Rows of an earlier version have no fourth word.
  const std::uint64_t ClaimedAs = Count == 4 ? parseNumber(Words[3]) : 0;
  if (Count == 4 && ClaimedAs == 0)
    return Row;
  Row.State = ClaimState::Held;
  Row.ClaimedAs = ClaimedAs;
  if (Count >= 3)
    Row.Target = ServerId(Words[2]);
  return Row;
}

std::string takeoverClaimValue(const EntryVmId &Holder, Term T) {
  return Holder.str() + " " + std::to_string(T);
}

std::string confirmedClaimValue(const EntryVmId &Holder, Term T,
                                const ServerId &Target,
                                std::uint64_t ClaimedAs) {
  return takeoverClaimValue(Holder, T) + " " + Target.str() + " " +
         std::to_string(ClaimedAs);
}

std::string undoClaimValue(const EntryVmId &Holder) {
  return Holder.str() + " " + std::string(UndoWord);
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
  std::string Value(FinishedWord);
  return Last == 0 ? Value : Value + " " + std::to_string(Last);
}

} // namespace amaranthspur
