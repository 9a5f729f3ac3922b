#include "testing/fake-backend/ReplicatedLog.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace amaranthspur::fake {
namespace {

bool consumeNumber(std::string_view &Rest, std::uint64_t &Number) {
  const auto [End, Status] =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Status != std::errc())
    return false;
  Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()));
  return true;
}

bool consumeCharacter(std::string_view &Rest, char C) {
  if (Rest.empty() || Rest.front() != C)
    return false;
  Rest.remove_prefix(1);
  return true;
}

} // namespace

std::string formatTermEnds(const TermEnds &Ends) {
  std::string Text;
  const std::size_t Skipped =
      Ends.size() - std::min(Ends.size(), MaxFormattedTerms);
  for (std::size_t I = Skipped; I < Ends.size(); ++I) {
    if (!Text.empty())
      Text += ',';
    Text += std::to_string(Ends[I].TermNumber) + '/' +
            std::to_string(Ends[I].Index);
  }
  return Text;
}

Result<TermEnds> parseTermEnds(std::string_view Text) {
  TermEnds Ends;
  while (!Text.empty()) {
    LogPosition End;
    if (!consumeNumber(Text, End.TermNumber) || !consumeCharacter(Text, '/') ||
        !consumeNumber(Text, End.Index))
      return Error{"term ends of a log are malformed"};
    const bool Ascending =
        Ends.empty() || (Ends.back().TermNumber < End.TermNumber &&
                         Ends.back().Index < End.Index);
    if (!Ascending)
      return Error{"term ends of a log are not in ascending order"};
    Ends.push_back(End);
    if (!Text.empty() && !consumeCharacter(Text, ','))
      return Error{"term ends of a log are malformed"};
  }
  return Ends;
}

void ReplicatedLog::append(Term T, std::string Sql) {
  assert(T >= this->end().TermNumber && "terms of a log never decrease");
  this->Entries.push_back({T, std::move(Sql)});
  if (this->Ends.empty() || this->Ends.back().TermNumber != T)
    this->Ends.push_back({T, 0});
  this->Ends.back().Index = this->Entries.size();
}

std::uint64_t ReplicatedLog::commonIndex(const TermEnds &Other) const {
  // The highest term that both logs contain determines the common prefix: the
  // logs are equal before its first entry, and the entries of the term in one
  // log are a prefix of those in the other.
  for (auto OtherEnd = Other.rbegin(); OtherEnd != Other.rend(); ++OtherEnd)
    for (const LogPosition &Own : this->Ends)
      if (Own.TermNumber == OtherEnd->TermNumber)
        return std::min(Own.Index, OtherEnd->Index);
  return 0;
}

void ReplicatedLog::truncate(std::uint64_t Last) {
  if (Last >= this->Entries.size())
    return;
  this->Entries.resize(Last);
  while (!this->Ends.empty() && this->Ends.back().Index > Last) {
    const bool TermGone = Last == 0 || this->Entries.back().TermNumber <
                                           this->Ends.back().TermNumber;
    if (!TermGone) {
      this->Ends.back().Index = Last;
      break;
    }
    this->Ends.pop_back();
  }
}

} // namespace amaranthspur::fake
