#include "testing/fake-backend/GroupMember.h"

#include <cassert>

namespace amaranthspur::fake {
namespace {

/// The SQLSTATE object_not_in_prerequisite_state.
constexpr const char *PreconditionSqlState = "55000";

SqlError preconditionError(std::string Message) {
  return {PreconditionSqlState, std::move(Message)};
}

/// Joins the statements into one string for sqlite3_exec.
std::string joinStatements(const std::vector<std::string> &Statements) {
  std::string Text;
  for (const std::string &Sql : Statements) {
    if (!Text.empty())
      Text += ";\n";
    Text += Sql;
  }
  return Text;
}

} // namespace

GroupMember::GroupMember(ServerId Self, Database &Storage)
    : Self(std::move(Self)), Storage(Storage) {}

void GroupMember::startPrimary(Term T) {
  this->Role = ServerRole::Primary;
  this->Adopted = T;
  this->Log.append(T, {});
}

void GroupMember::startReplica(Term T, std::optional<Upstream> From) {
  this->Role = ServerRole::Replica;
  this->Adopted = T;
  this->From = std::move(From);
}

ServerId GroupMember::primary() const {
  if (this->isPrimary())
    return this->Self;
  return this->From ? this->From->Id : ServerId();
}

void GroupMember::adopt(Term T) {
  this->Storage.rollback();
  this->Adopted = T;
  this->Role = ServerRole::Replica;
  this->From.reset();
}

SqlResult<LogPosition> GroupMember::adoptTerm(Term T) {
  if (T <= this->Adopted)
    return preconditionError("term " + std::to_string(this->Adopted) +
                             " is already adopted");
  this->adopt(T);
  this->OnChange();
  return this->end();
}

SqlResult<std::monostate> GroupMember::promote(Term T) {
  if (T != this->Adopted)
    return preconditionError("adopted term is " +
                             std::to_string(this->Adopted));
  if (this->isPrimary())
    return preconditionError("server is already the primary of this term");
  if (this->From)
    return preconditionError("server follows the primary of this term");
  if (this->end().TermNumber >= T)
    return preconditionError("server already has entries of this term");
  this->Storage.copyToWorking();
  this->Role = ServerRole::Primary;
  this->Log.append(T, {});
  this->OnChange();
  return std::monostate();
}

SqlResult<std::monostate> GroupMember::follow(Term T, Upstream From) {
  if (T < this->Adopted)
    return preconditionError("adopted term is " +
                             std::to_string(this->Adopted));
  if (this->leads(T))
    return preconditionError("server is the primary of this term");
  if (From.Id == this->Self)
    return preconditionError("server cannot follow itself");
  if (this->follows(T, From))
    return std::monostate();
  if (T > this->Adopted)
    this->adopt(T);
  this->From = std::move(From);
  this->OnChange();
  return std::monostate();
}

SqlResult<std::monostate>
GroupMember::commit(const std::vector<std::string> &Statements) {
  assert(this->isPrimary() && "only a primary commits");
  if (auto Done = this->Storage.commit(); errorIn(Done) != nullptr)
    return Done;
  if (Statements.empty())
    return std::monostate();
  std::string Sql = joinStatements(Statements);
  this->Storage.apply(Image::Committed, Sql);
  this->Log.append(this->Adopted, std::move(Sql));
  this->Storage.recordApplied(this->end().Index);
  this->OnAppend();
  return std::monostate();
}

bool GroupMember::beginStream(Term T, const Upstream &Source,
                              std::uint64_t Common) {
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

bool GroupMember::receive(Term T, const Upstream &Source, std::uint64_t Index,
                          LogEntry Entry) {
  if (!this->follows(T, Source) || Index != this->end().Index + 1 ||
      Entry.TermNumber < this->end().TermNumber || Entry.TermNumber > T)
    return false;
  this->Storage.apply(Image::Committed, Entry.Sql);
  this->Log.append(Entry.TermNumber, std::move(Entry.Sql));
  this->Storage.recordApplied(this->end().Index);
  this->OnAppend();
  return true;
}

} // namespace amaranthspur::fake
