#include "policy/Durability.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace amaranthspur {
namespace {

class MajorityDurability final : public Durability {
public:
  void configure(const std::vector<ServerId> &Servers) override {
    this->Servers = Servers;
    std::erase_if(this->Latest, [&Servers](const auto &Entry) {
      return std::find(Servers.begin(), Servers.end(), Entry.first) ==
             Servers.end();
    });
  }

  void observe(const ServerId &Server, const ServerStatus &Status,
               TimePoint SentAt, TimePoint) override {
    if (std::find(this->Servers.begin(), this->Servers.end(), Server) ==
        this->Servers.end())
      return;
    this->Latest[Server] = {Status, SentAt};
    // The current term is the highest one with log entries. A term that was
    // only adopted does not count: it has no entries before its primary is
    // promoted.
    if (countsFor(Status, Status.AdoptedTerm))
      this->CurrentTerm = std::max(this->CurrentTerm, Status.AdoptedTerm);
    this->confirm();
  }

  LogPosition confirmed() const override { return this->Confirmed; }

  bool isConfirmed(LogPosition Position) const override {
    return Position.TermNumber == this->Confirmed.TermNumber &&
           Position.Index <= this->Confirmed.Index;
  }

  bool termEnded(Term T) const override {
    if (T < this->CurrentTerm)
      return true;
    std::size_t InLaterTerm = 0;
    for (const auto &[Server, Seen] : this->Latest)
      if (Seen.Status.AdoptedTerm > T)
        ++InLaterTerm;
    return !this->Servers.empty() &&
           InLaterTerm >= majorityOf(this->Servers.size());
  }

  bool acceptsWrites(TimePoint Now) const override {
    std::size_t Answering = 0;
    bool PrimaryAnswers = false;
    for (const auto &[Server, Seen] : this->Latest) {
      if (!countsFor(Seen.Status, this->CurrentTerm) ||
          Now - Seen.SentAt > MajorityAnswerLimit)
        continue;
      ++Answering;
      PrimaryAnswers =
          PrimaryAnswers || Seen.Status.Role == ServerRole::Primary;
    }
    return PrimaryAnswers && Answering >= majorityOf(this->Servers.size());
  }

private:
  struct Observation {
    ServerStatus Status;
    TimePoint SentAt;
  };

  /// Returns whether the adopted term and the term of the log are both \p T, as
  /// confirmation requires (design, section 8.1).
  static bool countsFor(const ServerStatus &Status, Term T) {
    return T > 0 && Status.AdoptedTerm == T && Status.LogEnd.TermNumber == T;
  }

  /// Returns the primary of the current term if it is known from any status.
  std::optional<ServerId> primary() const {
    for (const auto &[Server, Seen] : this->Latest) {
      if (!countsFor(Seen.Status, this->CurrentTerm))
        continue;
      if (Seen.Status.Role == ServerRole::Primary)
        return Server;
      if (!Seen.Status.Primary.empty())
        return Seen.Status.Primary;
    }
    return std::nullopt;
  }

  void confirm() {
    std::vector<std::uint64_t> Held;
    const std::optional<ServerId> Primary = this->primary();
    std::uint64_t Highest = 0;
    for (const auto &[Server, Seen] : this->Latest) {
      if (!countsFor(Seen.Status, this->CurrentTerm))
        continue;
      Highest = std::max(Highest, Seen.Status.LogEnd.Index);
      if (Server != Primary)
        Held.push_back(Seen.Status.LogEnd.Index);
    }
    // All entries of a term come from its primary, which appended them before
    // it adopted a later term. The primary therefore holds every entry of the
    // term that any server holds, even if its own last status is older.
    if (Primary && std::find(this->Servers.begin(), this->Servers.end(),
                             *Primary) != this->Servers.end())
      Held.push_back(Highest);
    const std::size_t Needed = majorityOf(this->Servers.size());
    if (Held.size() < Needed)
      return;
    std::sort(Held.begin(), Held.end(), std::greater<>());
    this->Confirmed = std::max(
        this->Confirmed, LogPosition{this->CurrentTerm, Held[Needed - 1]});
  }

  std::vector<ServerId> Servers;
  std::map<ServerId, Observation> Latest;
  Term CurrentTerm = 0; ///< Highest term for which a log was observed.
  LogPosition Confirmed;
};

class ImmediateDurability final : public Durability {
public:
  void configure(const std::vector<ServerId> &) override {}

  void observe(const ServerId &, const ServerStatus &Status, TimePoint,
               TimePoint) override {
    if (Status.Role == ServerRole::Primary)
      this->Confirmed = std::max(this->Confirmed, Status.LogEnd);
  }

  LogPosition confirmed() const override { return this->Confirmed; }
  bool isConfirmed(LogPosition) const override { return true; }
  bool termEnded(Term) const override { return false; }
  bool acceptsWrites(TimePoint) const override { return true; }

private:
  LogPosition Confirmed;
};

} // namespace

std::unique_ptr<Durability> makeMajorityDurability() {
  return std::make_unique<MajorityDurability>();
}

std::unique_ptr<Durability> makeImmediateDurability() {
  return std::make_unique<ImmediateDurability>();
}

} // namespace amaranthspur
