#include "testing/fake-backend/Group.h"

#include <cassert>

namespace amaranthspur::fake {
namespace {

/// SQLSTATE object_not_in_prerequisite_state.
constexpr const char *WrongState = "55000";

SqlError refuse(std::string Message) {
  return {WrongState, std::move(Message)};
}

/// Returns the statements as one text that sqlite3_exec takes.
std::string joined(const std::vector<std::string> &Statements) {
  std::string Text;
  for (const std::string &Sql : Statements) {
    if (!Text.empty())
      Text += ";\n";
    Text += Sql;
  }
  return Text;
}

} // namespace

Group::Group(ServerId Self, Database &Storage)
    : Self(std::move(Self)), Storage(Storage) {}

void Group::startPrimary(Term T) {
  this->Role = ServerRole::Primary;
  this->Adopted = T;
  this->Log.append(T, {});
}

void Group::startReplica(Term T, std::optional<Upstream> From) {
  this->Role = ServerRole::Replica;
  this->Adopted = T;
  this->From = std::move(From);
}

ServerId Group::primary() const {
  if (this->isPrimary())
    return this->Self;
  return this->From ? this->From->Id : ServerId();
}

void Group::adopt(Term T) {
  this->Storage.rollback();
  this->Adopted = T;
  this->Role = ServerRole::Replica;
  this->From.reset();
}

SqlResult<LogPosition> Group::adoptTerm(Term T) {
  if (T <= this->Adopted)
    return refuse("term " + std::to_string(this->Adopted) +
                  " is already adopted");
  this->adopt(T);
  this->OnChange();
  return this->end();
}

SqlResult<std::monostate> Group::promote(Term T) {
  if (T != this->Adopted)
    return refuse("adopted term is " + std::to_string(this->Adopted));
  if (this->isPrimary())
    return refuse("server is already the primary of this term");
  if (this->From)
    return refuse("server follows the primary of this term");
  if (this->end().TermNumber >= T)
    return refuse("server has entries of this term");
  this->Storage.copyToWorking();
  this->Role = ServerRole::Primary;
  this->Log.append(T, {});
  this->OnChange();
  return std::monostate();
}

SqlResult<std::monostate> Group::follow(Term T, Upstream From) {
  if (T < this->Adopted)
    return refuse("adopted term is " + std::to_string(this->Adopted));
  if (this->leads(T))
    return refuse("server is the primary of this term");
  if (From.Id == this->Self)
    return refuse("server cannot follow itself");
  if (this->follows(T, From))
    return std::monostate();
  if (T > this->Adopted)
    this->adopt(T);
  this->From = std::move(From);
  this->OnChange();
  return std::monostate();
}

SqlResult<std::monostate>
Group::commit(const std::vector<std::string> &Statements) {
  assert(this->isPrimary() && "only a primary commits");
  if (auto Done = this->Storage.commit(); errorIn(Done) != nullptr)
    return Done;
  if (Statements.empty())
    return std::monostate();
  std::string Sql = joined(Statements);
  this->Storage.apply(Image::Committed, Sql);
  this->Log.append(this->Adopted, std::move(Sql));
  this->Storage.noteApplied(this->end().Index);
  this->OnAppend();
  return std::monostate();
}

bool Group::beginStream(Term T, const Upstream &Source, std::uint64_t Common) {
  if (!this->follows(T, Source) || Common > this->end().Index)
    return false;
  if (Common == this->end().Index)
    return true;
  this->Log.truncate(Common);
  const std::uint64_t Restored = this->Storage.restore(Common);
  std::vector<const std::string *> Kept;
  Kept.reserve(Common - Restored);
  for (std::uint64_t Index = Restored + 1; Index <= Common; ++Index)
    Kept.push_back(&this->Log.at(Index).Sql);
  this->Storage.replay(Kept);
  return true;
}

bool Group::receive(Term T, const Upstream &Source, std::uint64_t Index,
                    LogEntry Entry) {
  if (!this->follows(T, Source) || Index != this->end().Index + 1 ||
      Entry.TermNumber < this->end().TermNumber || Entry.TermNumber > T)
    return false;
  this->Storage.apply(Image::Committed, Entry.Sql);
  this->Log.append(Entry.TermNumber, std::move(Entry.Sql));
  this->Storage.noteApplied(this->end().Index);
  this->OnAppend();
  return true;
}

} // namespace amaranthspur::fake
