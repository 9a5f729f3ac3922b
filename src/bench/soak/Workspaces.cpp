#include "bench/soak/Workspaces.h"

#include <QJsonObject>

namespace amaranthspur::bench::soak {
namespace {

constexpr unsigned WorkspaceCount = 3;
constexpr unsigned FirstKeys = 2;
constexpr std::size_t MostKeys = 4;
/// A quota that no load of a soak reaches.
constexpr double AmpleRate = 100000;
/// The usual rate of a workspace is some 50 operations per second.
constexpr unsigned LeastRate = 10;
constexpr unsigned RateSpan = 90;
/// One in this many sessions of a caller begins with such a key.
constexpr unsigned WithdrawnKeyShare = 6;
constexpr unsigned UnknownKeyShare = 16;

} // namespace

Workspaces::Workspaces() : Withdrawn(WorkspaceCount) {
  for (unsigned W = 0; W < WorkspaceCount; ++W) {
    WorkspaceEntry Entry;
    Entry.Name = "ws-" + std::to_string(W + 1);
    Entry.RatePerS = AmpleRate;
    Entry.Burst = AmpleRate;
    for (unsigned K = 0; K < FirstKeys; ++K)
      Entry.Keys.push_back(KeyPrefix + std::to_string(++this->LastKey));
    this->Entries.push_back(std::move(Entry));
  }
}

QJsonArray Workspaces::document() const {
  QJsonArray List;
  for (const WorkspaceEntry &Entry : this->Entries) {
    QJsonArray Keys;
    for (const std::string &Key : Entry.Keys)
      Keys.append(QString::fromStdString(Key));
    List.append(QJsonObject{{"name", QString::fromStdString(Entry.Name)},
                            {"api-keys", Keys},
                            {"priority", 1},
                            {"rate-per-s", Entry.RatePerS},
                            {"burst", Entry.Burst}});
  }
  return List;
}

void Workspaces::changeKey(Random &Generator) {
  const std::uint64_t Index = Generator.below(this->Entries.size());
  std::vector<std::string> &Keys = this->Entries[Index].Keys;
  const bool Withdraw =
      Keys.size() >= MostKeys || (Keys.size() > 1 && Generator.below(2) == 0);
  if (!Withdraw) {
    Keys.push_back(KeyPrefix + std::to_string(++this->LastKey));
    return;
  }
  const auto Chosen =
      Keys.begin() + static_cast<std::ptrdiff_t>(Generator.below(Keys.size()));
  this->Withdrawn[Index].push_back(std::move(*Chosen));
  Keys.erase(Chosen);
}

void Workspaces::changeQuota(Random &Generator) {
  WorkspaceEntry &Entry = this->Entries[Generator.below(this->Entries.size())];
  Entry.RatePerS = static_cast<double>(LeastRate + Generator.below(RateSpan));
  Entry.Burst = Entry.RatePerS / 2;
}

const std::string &Workspaces::nameOf(unsigned Number) const {
  return this->Entries[Number % this->Entries.size()].Name;
}

std::string Workspaces::keyFor(unsigned Number, Random &Generator) const {
  const std::size_t Index = Number % this->Entries.size();
  const auto Draw = [&Generator](const std::vector<std::string> &From) {
    return From[Generator.below(From.size())];
  };
  if (Generator.below(UnknownKeyShare) == 0)
    return KeyPrefix + std::string("unknown");
  if (!this->Withdrawn[Index].empty() &&
      Generator.below(WithdrawnKeyShare) == 0)
    return Draw(this->Withdrawn[Index]);
  return Draw(this->Entries[Index].Keys);
}

bool isAnonymous(unsigned Group, RouteType Type) {
  return Group == 0 && Type == RouteType::BoundedStale;
}

} // namespace amaranthspur::bench::soak
