#include "bench/soak/Callers.h"

#include <sstream>

namespace amaranthspur::bench::soak {
namespace {

/// Limits of a caller for READY after CONNECT and for a statement.
constexpr Duration ConnectTimeout = std::chrono::seconds(2);
constexpr Duration StatementTimeout = std::chrono::seconds(4);
/// Pause before another VM is tried.
constexpr Duration RetryPause = milliseconds(30);
/// Pause between the statements of a transaction.
constexpr Duration TransactionPause = milliseconds(150);
constexpr unsigned WritesPerTransaction = 3;
/// Pause between the operations of a caller while its workspace surges.
constexpr Duration SurgePause = milliseconds(5);
/// Callers that send only in a surge, for all workspaces together.
constexpr unsigned SurgeReaders = 18;
/// Interval of the connections to the probed database.
constexpr Duration RouteProbeInterval = milliseconds(150);

bool isPromise(const std::string &Code) {
  for (const char *Promise : {"BUSY", "ABORTED", "LAGGING", "READONLY",
                              "WRONGNODE", "TOOMANY", "NOAUTH"})
    if (Code == Promise)
      return true;
  return false;
}

std::string makeId(Random &Generator) {
  std::ostringstream Out;
  Out << std::hex << std::setw(16) << std::setfill('0')
      << Generator.below(~0ULL);
  return Out.str();
}

/// Returns a random VM that answers the readiness probe, or null.
EntryVm *chooseVm(CallerContext &Context) {
  std::vector<EntryVm *> Ready;
  for (const auto &Vm : Context.Vms)
    if (Vm->ready())
      Ready.push_back(Vm.get());
  return Ready.empty() ? nullptr : Ready[Context.Generator.below(Ready.size())];
}

/// Sends single writes.
class Writer final : public Caller {
public:
  using Caller::Caller;

protected:
  QCoro::Task<bool> operate() override {
    const std::string Item = std::to_string(this->number());
    co_await this->send(StatementKind::Write, "WRITE w" + Item + " data");
    co_return this->usable();
  }
  Duration pause() const override { return milliseconds(60); }
};

/// Sends single reads while its workspace surges. Statements take some 20 ms,
/// so that shorter pauses of the other callers alone do not make seven times
/// the usual rate.
class SurgeReader final : public Caller {
public:
  using Caller::Caller;

protected:
  QCoro::Task<bool> operate() override {
    if (this->surges())
      co_await this->send(StatementKind::Read,
                          "READ s" + std::to_string(this->number()));
    co_return this->usable();
  }
  Duration pause() const override { return milliseconds(100); }
};

/// Sends transactions with pauses.
class Transactor final : public Caller {
public:
  using Caller::Caller;

protected:
  QCoro::Task<bool> operate() override {
    Outcome Last = co_await this->begin("BEGIN");
    const std::string Item = "WRITE t" + std::to_string(this->number()) + "-";
    for (unsigned I = 0; I < WritesPerTransaction && Last == Outcome::Success;
         ++I) {
      co_await sleepFor(TransactionPause);
      Last = co_await this->send(StatementKind::Write,
                                 Item + std::to_string(I) + " data");
    }
    if (Last == Outcome::Success) {
      co_await sleepFor(TransactionPause);
      co_await this->send(StatementKind::Commit, "COMMIT");
    }
    if (this->usable() && this->inTransaction())
      co_await this->send(StatementKind::Other, "ROLLBACK");
    co_return this->usable();
  }
  Duration pause() const override { return milliseconds(100); }
};

/// Sends reads by a prepared statement, whose name all sessions share but whose
/// shape is the session's own; on a route that shows a session its own writes,
/// also writes.
class Reader final : public Caller {
public:
  Reader(CallerContext &Context, unsigned Number, unsigned Group,
         RouteType Route)
      : Caller(Context, Number, Group, Route),
        Writes(Route == RouteType::ReadYourWrites) {}

protected:
  QCoro::Task<bool> beginSession() override {
    const Outcome End = co_await this->send(StatementKind::Other,
                                            "PREPARE s1 READ " + this->shape());
    co_return End == Outcome::Success;
  }
  QCoro::Task<bool> operate() override {
    const std::string Item = " r" + std::to_string(this->number());
    if (this->Writes)
      co_await this->send(StatementKind::Write, "WRITE" + Item + " data");
    if (this->usable() && !this->inTransaction())
      co_await this->send(StatementKind::Read, "EXECUTE s1" + Item,
                          this->shape());
    co_return this->usable();
  }
  Duration pause() const override { return milliseconds(90); }

private:
  std::string shape() const { return "q" + std::to_string(this->number()); }

  bool Writes;
};

} // namespace

std::string databaseOf(unsigned Group, RouteType Type) {
  return "db" + std::to_string(Group) + "-" +
         std::to_string(static_cast<int>(Type));
}

Caller::Caller(CallerContext &Context, unsigned Number, unsigned Group,
               RouteType Route)
    : Context(Context), Number(Number), Group(Group), Route(Route) {}

bool Caller::surges() const {
  return !this->Context.Surging.empty() &&
         this->Context.Surging ==
             this->Context.WorkspaceList.nameOf(this->Number);
}

bool Caller::usable() const { return this->Stream && this->Stream->isOpen(); }

QCoro::Task<> Caller::run() {
  const TaskGroup::Guard Counted(this->Context.Tasks);
  while (!this->Context.Stopping) {
    bool Usable = this->usable();
    if (!Usable)
      Usable = co_await this->open();
    if (!Usable) {
      this->Stream.reset();
      co_await sleepFor(RetryPause);
      continue;
    }
    Usable = co_await this->operate();
    if (!Usable)
      this->Stream.reset();
    co_await sleepFor(this->surges() ? SurgePause : this->pause());
  }
  this->Stream.reset();
}

QCoro::Task<bool> Caller::open() {
  this->Vm = chooseVm(this->Context);
  if (this->Vm == nullptr)
    co_return false;
  const TimePoint Deadline = steadyNow() + ConnectTimeout;
  QTcpSocket *Socket = co_await openSocket(this->Vm->callerAddress(), Deadline);
  if (Socket == nullptr)
    co_return false;
  this->Stream = std::make_unique<TextStream>(Socket);
  this->State = 'I';
  this->Value.clear();
  this->Transaction = 0;
  const bool Anonymous = isAnonymous(this->Group, this->Route);
  this->Key = Anonymous ? ""
                        : this->Context.WorkspaceList.keyFor(
                              this->Number, this->Context.Generator);
  this->Stream->write(
      "CONNECT " + databaseOf(this->Group, this->Route) + " " +
      (Anonymous ? "c" + std::to_string(this->Number) : this->Key) + "\r\n");
  const std::optional<std::string> Line =
      co_await this->Stream->readLine(Deadline);
  if (!Line || !Line->starts_with("READY"))
    co_return false;
  const std::string Value = "v" + std::to_string(this->Number);
  const Outcome Set =
      co_await this->send(StatementKind::Other, "SET zone " + Value);
  this->Value = Value;
  if (Set != Outcome::Success)
    co_return false;
  co_return co_await this->beginSession();
}

QCoro::Task<Outcome> Caller::begin(std::string Text) {
  static unsigned LastTransaction = 0;
  this->Transaction = ++LastTransaction;
  this->FirstInTransaction = true;
  this->OperationAt = this->Context.Events.now();
  const Outcome End = co_await this->send(StatementKind::Begin, Text);
  if (End != Outcome::Success)
    this->Transaction = 0;
  co_return End;
}

QCoro::Task<Outcome> Caller::send(StatementKind Kind, std::string Text,
                                  std::string Shape) {
  Statement S;
  S.Id = makeId(this->Context.Generator);
  S.Group = this->Group;
  S.Vm = this->Vm->name();
  S.Session = this->Number;
  S.Transaction = this->Transaction;
  S.Kind = Kind;
  S.Route = this->Route;
  S.SentAt = this->Context.Events.now();
  S.OperationAt = this->Transaction == 0 ? S.SentAt : this->OperationAt;
  S.SessionValue = this->Value;
  S.Shape = std::move(Shape);
  S.Key = this->Key;
  // BEGIN may be answered without a server; the first read or write is then the
  // statement that opens the transaction there.
  S.First = this->Transaction == 0 ||
            (Kind != StatementKind::Begin && this->FirstInTransaction);
  if (Kind != StatementKind::Begin)
    this->FirstInTransaction = false;
  this->Context.Events.note("c" + std::to_string(this->Number) + ": sends " +
                            S.Id + " " + Text + " to " + S.Vm);
  this->Stream->write("QUERY " + S.Id + " " + Text + "\r\n");
  co_await this->receive(S);
  S.EndedAt = this->Context.Events.now();
  this->Context.Events.note("c" + std::to_string(this->Number) + ": " + S.Id +
                            " ends with " + std::string(nameOf(S.End)) + " " +
                            S.Code);
  if (this->State == 'I' && Kind != StatementKind::Begin)
    this->Transaction = 0;
  const Outcome End = S.End;
  if (End == Outcome::TimedOut)
    this->Stream->abort();
  this->Context.Events.Seen.Statements.push_back(std::move(S));
  co_return End;
}

QCoro::Task<> Caller::receive(Statement &S) {
  const TimePoint Deadline = steadyNow() + StatementTimeout;
  S.End = Outcome::Success;
  for (;;) {
    const std::optional<std::string> Line =
        co_await this->Stream->readLine(Deadline);
    if (!Line) {
      S.End = this->Stream->isOpen() ? Outcome::TimedOut : Outcome::Closed;
      co_return;
    }
    // The digest of a stand-in server is d.SERVER.ID.
    const std::string_view Digest = "COMPLETE d.";
    if (Line->starts_with(Digest))
      S.Server = Line->substr(Digest.size(),
                              Line->find('.', Digest.size()) - Digest.size());
    if (Line->starts_with("ERROR ")) {
      const std::size_t Start = std::string_view("ERROR ").size();
      S.Code = Line->substr(Start, Line->find(' ', Start) - Start);
      S.End = isPromise(S.Code) ? Outcome::Promise : Outcome::Failure;
    }
    if (Line->starts_with("READY ")) {
      this->State = Line->at(std::string_view("READY ").size());
      co_return;
    }
  }
}

std::vector<std::unique_ptr<Caller>>
makeCallers(CallerContext &Context, unsigned Group, unsigned Groups) {
  // About 30 callers in all, and those that send only in a surge.
  const unsigned Writers = 10 / Groups;
  const unsigned Transactors = 9 / Groups;
  const unsigned Readers = 4 / Groups + 1;
  std::vector<std::unique_ptr<Caller>> Made;
  unsigned Number = Group * 100;
  for (unsigned I = 0; I < Writers; ++I)
    Made.push_back(
        std::make_unique<Writer>(Context, ++Number, Group, RouteType::Primary));
  for (unsigned I = 0; I < Transactors; ++I)
    Made.push_back(std::make_unique<Transactor>(Context, ++Number, Group,
                                                RouteType::Primary));
  for (unsigned I = 0; I < SurgeReaders / Groups; ++I)
    Made.push_back(std::make_unique<SurgeReader>(Context, ++Number, Group,
                                                 RouteType::ReadYourWrites));
  for (const auto &[Type, Name] : EnumNames<RouteType>::Entries)
    for (unsigned I = 0; I < Readers; ++I)
      Made.push_back(std::make_unique<Reader>(Context, ++Number, Group, Type));
  return Made;
}

QCoro::Task<> probeRoutes(CallerContext &Context) {
  const TaskGroup::Guard Counted(Context.Tasks);
  while (!Context.Stopping) {
    co_await sleepFor(RouteProbeInterval);
    EntryVm *Vm = chooseVm(Context);
    if (Vm == nullptr)
      continue;
    const TimePoint Deadline = steadyNow() + ConnectTimeout;
    QTcpSocket *Socket = co_await openSocket(Vm->callerAddress(), Deadline);
    if (Socket == nullptr)
      continue;
    TextStream Stream(Socket);
    RouteProbe Probe;
    Probe.Vm = Vm->name();
    Probe.SentAt = Context.Events.now();
    Stream.write(std::string("CONNECT ") + ProbedDatabase + " probe\r\n");
    const std::optional<std::string> Line = co_await Stream.readLine(Deadline);
    if (!Line)
      continue;
    Probe.Accepted = Line->starts_with("READY");
    if (Probe.Accepted || Line->starts_with("ERROR NODB"))
      Context.Events.Seen.RouteProbes.push_back(Probe);
  }
}

} // namespace amaranthspur::bench::soak
