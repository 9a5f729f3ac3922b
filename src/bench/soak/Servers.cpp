#include "bench/soak/Servers.h"

#include <QJsonDocument>
#include <QTimer>

#include <utility>

namespace amaranthspur::bench::soak {
namespace {

/// From the order of a promotion to its effect.
constexpr Duration PromotionTime = milliseconds(600);
/// The old primary gives up this long after it can reach the new one.
constexpr Duration GiveUpTime = std::chrono::seconds(1);
/// From the receipt of a commit at a replica until its reads see it.
constexpr milliseconds ApplyLag(60);
/// One way, between data centres of a region and between regions.
constexpr Duration RegionDelay = milliseconds(1);
constexpr Duration RemoteDelay = milliseconds(8);
/// Unix time in ms at the start of the run; `born` counts from it.
constexpr double FirstBirth = 1700000000000.0;

} // namespace

DatabaseServer::DatabaseServer(ServerGroup &Group, std::string Id,
                               unsigned DataCentre, ServerRole Role)
    : Group(Group), Id(std::move(Id)), DataCentre(DataCentre), Role(Role),
      Front(std::make_unique<FrontEnd>(Group)) {
  this->BornAt = Group.Events.now();
}

void DatabaseServer::report() {
  const QString Text = QString::fromStdString(this->Id);
  const QJsonObject Entry{
      {"service", QString::fromStdString(this->Group.service())},
      {"address", QString::fromStdString(this->Front->Links->address().str())},
      {"zone", DataCentres[this->DataCentre]},
      {"version", "v1"},
      {"slots", 5},
      {"cold-ms", 0},
      {"state", this->Draining ? "draining" : "ready"},
      {"db-role", this->Role == ServerRole::Primary ? "primary" : "replica"},
      {"sequence", static_cast<qint64>(++this->Sequence)},
      {"born", static_cast<qint64>(FirstBirth + this->BornAt)}};
  const bool Drains = this->Draining;
  this->Group.Platform.putServer(
      this->Id, QJsonDocument(Entry).toJson(QJsonDocument::Compact),
      [this, Drains] {
        if (!Drains || std::exchange(this->DrainAccepted, true))
          return;
        this->Group.Events.Seen.DrainReports.push_back(
            {this->Id, this->Group.Events.now()});
      });
}

void DatabaseServer::drain() {
  this->Draining = true;
  this->report();
}

void DatabaseServer::crash() {
  this->Running = false;
  ++this->Starts;
  this->Listener->close();
  // An entry VM takes a server that accepts a connection for a running one.
  this->Front->Links->setRefusing(true);
  const auto Open = this->Streams;
  for (const auto &Stream : Open)
    Stream->abort();
  this->failPending();
}

void DatabaseServer::leave() {
  if (std::exchange(this->Left, true))
    return;
  this->crash();
  this->Front->Links->stop();
  this->Group.Platform.remove("servers", this->Id);
  this->Group.Events.note(this->Id + ": has left as " +
                          std::string(nameOf(this->Role)));
}

void DatabaseServer::replace(DatabaseServer &Crashed) {
  Crashed.Left = true;
  this->Front = std::move(Crashed.Front);
  this->Port = Crashed.Port;
  this->Log = Crashed.Log;
  this->Applied = this->Log->size();
  this->Term = Crashed.Term;
  this->LeastTerm = Crashed.LeastTerm;
}

void DatabaseServer::restart(bool KeepLog) {
  if (this->Left)
    return;
  this->Running = true;
  this->HeldTerm = 0;
  if (!KeepLog) {
    this->Log = std::make_shared<std::vector<unsigned>>();
    this->Applied = 0;
    this->Term = 1;
    this->LeastTerm = 0;
    this->Sequence = 0;
    this->Role = ServerRole::Replica;
  }
  this->BornAt = this->Group.Events.now();
  DatabaseServer *Primary = this->Group.primary();
  if (Primary != nullptr && Primary != this &&
      this->Role == ServerRole::Primary)
    this->Role = ServerRole::Replica;
  this->listen();
  this->report();
  this->Group.Events.note(this->Id + ": is back: " + this->status());
  if (Primary != nullptr && Primary != this)
    Primary->sendLog(*this);
  if (this->Role == ServerRole::Primary)
    for (DatabaseServer *Other : this->Group.running())
      if (Other != this)
        this->sendLog(*Other);
}

void DatabaseServer::setDeaf(bool Deaf) {
  this->Deaf = Deaf;
  DatabaseServer *Primary = this->Group.primary();
  if (!Deaf && Primary != nullptr && Primary != this)
    Primary->sendLog(*this);
}

void DatabaseServer::cutOff(const std::vector<DatabaseServer *> &Others) {
  this->CutOffFrom.insert(Others.begin(), Others.end());
}

void DatabaseServer::rejoin() {
  this->CutOffFrom.clear();
  DatabaseServer *Primary = this->Group.primary();
  if (Primary == nullptr || !this->Running)
    return;
  for (DatabaseServer *Other : this->Group.running())
    if (Other != Primary)
      Primary->sendLog(*Other);
  this->hear(Primary->Term);
}

bool DatabaseServer::reaches(const DatabaseServer &Other) const {
  return !this->CutOffFrom.contains(&Other) && !Other.CutOffFrom.contains(this);
}

void DatabaseServer::copyLog(const DatabaseServer &Primary) {
  this->Log = std::make_shared<std::vector<unsigned>>(*Primary.Log);
  this->Applied = this->Log->size();
  this->Term = Primary.Term;
}

void DatabaseServer::sendLog(DatabaseServer &To) {
  const unsigned SentTerm = this->Term;
  const LogView Sent = this->log();
  this->Group.after(
      this->DataCentre, To.DataCentre,
      [this, &To, SentTerm, Sent] { To.receive(*this, SentTerm, Sent); });
}

void DatabaseServer::receive(DatabaseServer &From, unsigned FromTerm,
                             const LogView &Sent) {
  if (!this->Running || this->Role != ServerRole::Replica || this->Deaf ||
      !this->reaches(From))
    return;
  if (FromTerm < std::max(this->Term, this->LeastTerm) ||
      (this->HeldTerm != 0 && FromTerm <= this->HeldTerm))
    return; // From an earlier primary, or paused.
  if (FromTerm > this->Term) {
    this->Term = FromTerm;
    this->HeldTerm = 0;
  }
  this->Leader = &From;
  std::size_t Common = std::min(this->Log->size(), Sent.Count);
  // Logs that share an entry share all entries before it.
  while (Common > 0 && (*this->Log)[Common - 1] != (*Sent.Entries)[Common - 1])
    --Common;
  if (Common < Sent.Count) {
    if (Common < this->Log->size()) {
      // Views that were taken before keep the entries that are dropped here.
      this->Log = std::make_shared<std::vector<unsigned>>(
          this->Log->begin(),
          this->Log->begin() + static_cast<std::ptrdiff_t>(Common));
      this->Applied = std::min(this->Applied, Common);
    }
    this->Log->insert(
        this->Log->end(),
        Sent.Entries->begin() + static_cast<std::ptrdiff_t>(Common),
        Sent.Entries->begin() + static_cast<std::ptrdiff_t>(Sent.Count));
    QTimer::singleShot(ApplyLag, Qt::PreciseTimer, &this->Group.Context,
                       [this, Count = Sent.Count] { this->apply(Count); });
  }
  this->Group.after(
      this->DataCentre, From.DataCentre,
      [&From, FromTerm, Count = Sent.Count] { From.confirm(FromTerm, Count); });
}

void DatabaseServer::apply(std::size_t Count) {
  this->Applied = std::min(std::max(this->Applied, Count), this->Log->size());
}

void DatabaseServer::confirm(unsigned OfTerm, std::size_t Count) {
  if (!this->Running || this->Role != ServerRole::Primary ||
      OfTerm != this->Term)
    return;
  for (Pending *P : this->Waiting)
    if (P->Number <= Count && !P->Held) {
      P->Held = true;
      P->Done.wake();
    }
}

void DatabaseServer::failPending() {
  for (Pending *P : this->Waiting)
    if (!P->Held) {
      P->Held = false;
      P->Done.wake();
    }
}

void DatabaseServer::lead(unsigned NewTerm) {
  this->Role = ServerRole::Primary;
  this->Term = NewTerm;
  this->HeldTerm = 0;
  this->Applied = this->Log->size();
  this->report();
  for (DatabaseServer *Other : this->Group.running()) {
    if (Other == this)
      continue;
    this->sendLog(*Other);
    this->Group.after(this->DataCentre, Other->DataCentre,
                      [this, Other, NewTerm] {
                        if (this->reaches(*Other))
                          Other->hear(NewTerm);
                      });
  }
}

void DatabaseServer::endPause(unsigned NewTerm) {
  if (this->HeldTerm == 0)
    return;
  this->HeldTerm = 0;
  this->LeastTerm = NewTerm;
}

void DatabaseServer::hear(unsigned NewTerm) {
  if (this->Role != ServerRole::Primary || NewTerm <= this->Term)
    return;
  QTimer::singleShot(std::chrono::duration_cast<milliseconds>(GiveUpTime),
                     Qt::PreciseTimer, &this->Group.Context,
                     [this, NewTerm] { this->stepDown(NewTerm); });
}

void DatabaseServer::stepDown(unsigned NewTerm) {
  if (!this->Running || this->Role != ServerRole::Primary ||
      this->Term >= NewTerm)
    return;
  this->Group.Events.note(this->Id + ": steps down for term " +
                          std::to_string(NewTerm));
  this->Role = ServerRole::Replica;
  this->failPending();
  this->report();
  if (DatabaseServer *Primary = this->Group.primary();
      Primary != nullptr && Primary != this)
    Primary->sendLog(*this);
}

ServerGroup::ServerGroup(unsigned Number, Store &Platform, Record &Events,
                         TaskGroup &Tasks,
                         std::function<Path *(const std::string &)> FindPath,
                         OwnerLookup FindOwner)
    : Number(Number), Platform(Platform), Events(Events), Tasks(Tasks),
      FindPath(std::move(FindPath)), FindOwner(std::move(FindOwner)) {}

std::string ServerGroup::service() const {
  return "ledger" + std::to_string(this->Number);
}

std::string ServerGroup::nextId() {
  return "i-" + std::to_string(this->Number) + "-" +
         std::to_string(++this->Created);
}

void ServerGroup::replace(DatabaseServer &Crashed) {
  const std::string Id = this->nextId();
  this->Servers.push_back(std::make_unique<DatabaseServer>(
      *this, Id, Crashed.dataCentre(), Crashed.role()));
  this->Events.note(Id + ": returns with the log of " + Crashed.id());
  this->Servers.back()->replace(Crashed);
  this->Servers.back()->restart(true);
}

DatabaseServer *ServerGroup::add(unsigned DataCentre, ServerRole Role) {
  const std::string Id = this->nextId();
  this->Servers.push_back(
      std::make_unique<DatabaseServer>(*this, Id, DataCentre, Role));
  DatabaseServer *Added = this->Servers.back().get();
  if (!Added->listen())
    return nullptr;
  DatabaseServer *Primary = this->primary();
  const DatabaseServer *Source = Primary;
  if (Source == nullptr)
    for (const DatabaseServer *S : this->running())
      if (S != Added &&
          (Source == nullptr || S->log().Count > Source->log().Count))
        Source = S;
  if (Role == ServerRole::Replica && Source != nullptr)
    Added->copyLog(*Source);
  Added->report();
  this->Events.note(Id + ": joins");
  if (Role == ServerRole::Replica && Primary != nullptr)
    Primary->sendLog(*Added);
  return Added;
}

DatabaseServer *ServerGroup::primary() {
  DatabaseServer *Found = nullptr;
  for (const auto &S : this->Servers)
    if (S->running() && S->role() == ServerRole::Primary &&
        (Found == nullptr || S->term() > Found->term()))
      Found = S.get();
  return Found;
}

DatabaseServer *ServerGroup::find(const std::string &Id) {
  for (const auto &S : this->Servers)
    if (S->id() == Id)
      return S.get();
  return nullptr;
}

std::vector<DatabaseServer *> ServerGroup::running() {
  std::vector<DatabaseServer *> Found;
  for (const auto &S : this->Servers)
    if (S->running())
      Found.push_back(S.get());
  return Found;
}

int ServerGroup::promote(const std::string &Target, Duration Late) {
  DatabaseServer *Server = this->find(Target);
  if (Server == nullptr || !Server->running())
    return 409;
  if (Late > Duration::zero())
    QTimer::singleShot(std::chrono::duration_cast<milliseconds>(Late),
                       Qt::PreciseTimer, &this->Context, [this, Target] {
                         this->promote(Target, Duration::zero());
                       });
  else if (Server != this->primary())
    QTimer::singleShot(std::chrono::duration_cast<milliseconds>(PromotionTime),
                       Qt::PreciseTimer, &this->Context,
                       [this, Server] { this->takeEffect(*Server); });
  return 200;
}

void ServerGroup::takeEffect(DatabaseServer &Target) {
  if (!Target.running())
    return;
  unsigned NewTerm = 0;
  for (const auto &S : this->Servers)
    NewTerm = std::max(NewTerm, S->term() + 1);
  // A pause lasts until a promotion. The replicas that it stopped take records
  // of the new primary only; the others learn of it from its records.
  for (const auto &S : this->Servers)
    S->endPause(NewTerm);
  Effect Taken;
  Taken.Group = this->Number;
  Taken.Server = Target.id();
  Taken.Term = NewTerm;
  Taken.At = this->Events.now();
  Taken.Log = Target.log();
  this->Events.note(Target.id() + ": leads term " + std::to_string(NewTerm) +
                    " with " + std::to_string(Taken.Log.Count) + " entries");
  this->Events.Seen.Effects.push_back(std::move(Taken));
  Target.lead(NewTerm);
}

void ServerGroup::after(unsigned From, unsigned To,
                        std::function<void()> Call) {
  Duration Delay = RemoteDelay;
  if (From == To)
    Delay = Duration::zero();
  else if (std::string_view(Regions[From]) == Regions[To])
    Delay = RegionDelay;
  QTimer::singleShot(std::chrono::duration_cast<milliseconds>(Delay),
                     Qt::PreciseTimer, &this->Context, std::move(Call));
}

void ServerGroup::stop() {
  for (const auto &S : this->Servers)
    S->leave();
}

} // namespace amaranthspur::bench::soak
