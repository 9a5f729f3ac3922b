// The line protocol of the servers of a soak.
#include "bench/soak/Servers.h"
#include "bench/soak/Workspaces.h"

#include "wire/Listener.h"

#include <cstdlib>
#include <sstream>

namespace amaranthspur::bench::soak {
namespace {

/// Time to open a connection and to run a statement.
constexpr Duration ConnectTime = milliseconds(12);
constexpr Duration WorkTime = milliseconds(9);
/// Statements and openings that a server runs at a time.
constexpr unsigned Slots = 5;
/// Connections that a server accepts from all VMs (max-conns).
constexpr std::size_t MaxConnections = 50;
/// A connection whose remote end is unreachable is dropped after this time.
constexpr Duration UnreachableTime = std::chrono::seconds(3);
/// Limit for the last bytes of a connection to be sent.
constexpr Duration CloseTime = std::chrono::seconds(1);

std::vector<std::string> split(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Words;
  std::string Word;
  while (In >> Word)
    Words.push_back(Word);
  return Words;
}

/// Returns TERM.NUMBER as a pair, which is ordered as positions are.
std::pair<unsigned long, unsigned long> parsePosition(const std::string &Text) {
  const std::size_t Dot = Text.find('.');
  return {std::strtoul(Text.c_str(), nullptr, 10),
          Dot == std::string::npos
              ? 0
              : std::strtoul(Text.c_str() + Dot + 1, nullptr, 10)};
}

unsigned nextConnection() {
  static unsigned Last = 0;
  return ++Last;
}

} // namespace

bool DatabaseServer::listen() {
  auto Listening =
      listenAt(Address{"127.0.0.1", this->Port}, [this](QTcpSocket *Socket) {
        auto Stream = std::make_shared<TextStream>(Socket);
        this->Streams.insert(Stream);
        this->serve(Stream);
      });
  if (!succeeded(Listening))
    return false;
  this->Listener = std::move(valueOf(Listening));
  this->Port = this->Listener->serverPort();
  std::unique_ptr<LinkListener> &Links = this->Front->Links;
  if (Links) {
    Links->setRefusing(false);
    return Links->valid();
  }
  // The entry VMs learn one address per server from each other, so that all use
  // one listener. CONNECT may name a workspace, so that only the owner of the
  // socket tells whose connection it is.
  Links = std::make_unique<LinkListener>(
      this->Group.Tasks, "127.0.0.1", Address{"127.0.0.1", this->Port}, nullptr,
      [Front = this->Front.get()](std::string_view Bytes,
                                  std::uint16_t From) -> Path * {
        if (Bytes.find("\r\n") == std::string_view::npos)
          return nullptr;
        return Front->find(
            Front->Group.FindOwner(From, Front->Links->address().Port));
      },
      UnreachableTime);
  return Links->valid();
}

Path *DatabaseServer::FrontEnd::find(const std::string &Vm) {
  Path *Whole = this->Group.FindPath(Vm);
  return Whole == nullptr ? nullptr
                          : &this->Paths.try_emplace(Vm, Whole).first->second;
}

QCoro::Task<> DatabaseServer::serve(std::shared_ptr<TextStream> Stream) {
  const TaskGroup::Guard Counted(this->Group.Tasks);
  Conversation C;
  C.Stream = Stream;
  C.Number = nextConnection();
  C.Start = this->Starts;
  const std::optional<std::string> First = co_await Stream->readLine();
  if (First)
    this->noteKey(*First);
  bool Open = First && this->alive(C) && this->welcome(C, *First);
  if (Open) {
    co_await sleepFor(ConnectTime);
    Open = this->reply(C, "");
  }
  while (Open) {
    std::optional<std::string> Line = co_await Stream->readLine();
    Open = Line && Line->starts_with("QUERY ") && this->alive(C);
    if (Line)
      this->noteKey(*Line);
    if (Open)
      Open = co_await this->answer(C, std::move(*Line));
  }
  this->Streams.erase(Stream);
  Stream->close();
  co_await Stream->waitClosed(steadyNow() + CloseTime);
}

bool DatabaseServer::welcome(Conversation &C, const std::string &Line) {
  const std::vector<std::string> Words = split(Line);
  const bool Right = Words.size() > 2 && Words[0] == "CONNECT" &&
                     Words[1] == this->Group.service() &&
                     (Words.size() < 4 || Words[3] == this->Id);
  const bool Room = this->Streams.size() <= MaxConnections;
  if (!Right || !Room) {
    C.Stream->write(std::string("ERROR ") +
                    (Right ? "TOOMANY " : "WRONGNODE ") + this->Id + "\r\n");
    return false;
  }
  C.Name = Words[2];
  return true;
}

void DatabaseServer::noteKey(const std::string &Line) {
  if (Line.find(KeyPrefix) != std::string::npos)
    this->Group.Events.Seen.KeySightings.push_back(
        {this->Id, Line, this->Group.Events.now()});
}

bool DatabaseServer::alive(const Conversation &C) const {
  return this->Running && C.Start == this->Starts;
}

std::string DatabaseServer::positionOf(std::size_t Count) const {
  // The position of an empty log is before all others, whatever the term of the
  // server: it may have heard of a later primary before it received anything.
  if (Count == 0)
    return "1.0";
  const auto &Commits = this->Group.Events.Seen.Commits;
  return std::to_string(Commits[(*this->Log)[Count - 1]].Term) + "." +
         std::to_string(Count);
}

std::string DatabaseServer::position() const {
  return this->positionOf(this->Role == ServerRole::Primary ? this->Log->size()
                                                            : this->Applied);
}

std::string DatabaseServer::status() const {
  return std::string(this->Role == ServerRole::Primary ? "primary "
                                                       : "replica ") +
         std::to_string(this->Term) + " " +
         this->positionOf(this->Log->size()) + " " +
         std::to_string(this->HeldTerm) + " 0 0 " +
         std::to_string(this->Streams.size());
}

bool DatabaseServer::reply(Conversation &C, const std::string &Lines) {
  const char *State = "I";
  if (C.Failed)
    State = "E";
  else if (C.InTransaction)
    State = "T";
  C.Stream->write(Lines + "READY " + State + " " + this->position() + "\r\n");
  return C.Stream->isOpen();
}

bool DatabaseServer::refuse(Conversation &C, const char *Code) {
  C.Failed = C.InTransaction;
  return this->reply(C, std::string("ERROR ") + Code + " " + this->Id + "\r\n");
}

QCoro::Task<bool> DatabaseServer::answer(Conversation &C, std::string Line) {
  std::vector<std::string> Words = split(Line);
  Words.erase(Words.begin());
  if (Words.size() < 2)
    co_return false;
  const std::string Query = Words.front();
  Words.erase(Words.begin());
  const bool Waits = Words.size() > 2 && Words[0] == "WAITFOR";
  if (Waits) {
    const std::string Floor = Words[1];
    Words.erase(Words.begin(), Words.begin() + 2);
    if (parsePosition(this->position()) < parsePosition(Floor))
      co_return this->refuse(C, "LAGGING");
  }
  const std::string &Verb = Words[0];
  if (Verb == "STATUS" || Verb == "PAUSE" || Verb == "RESUME" ||
      Verb == "STEPDOWN")
    co_return this->answerControl(C, Words);
  if (Verb == "SET" || Verb == "PREPARE" || Verb == "DEALLOC" ||
      Verb == "RESET" || Verb == "ROLLBACK")
    co_return this->answerLocal(C, Words);
  if (C.Failed) {
    C.Stream->write("ERROR MALFORMED failed transaction\r\n");
    co_return this->reply(C, "");
  }
  if (Verb == "BEGIN")
    co_return this->answerBegin(C, Words);
  co_return co_await this->runStatement(C, Query, Words);
}

bool DatabaseServer::answerControl(Conversation &C,
                                   const std::vector<std::string> &Words) {
  const unsigned Named =
      Words.size() > 1
          ? static_cast<unsigned>(std::strtoul(Words[1].c_str(), nullptr, 10))
          : 0;
  if (Words[0] == "PAUSE" && this->Role == ServerRole::Replica &&
      Named > this->Term && Named > this->HeldTerm)
    this->HeldTerm = Named;
  if (Words[0] == "RESUME" && this->HeldTerm != 0) {
    this->HeldTerm = 0;
    if (this->Leader != nullptr && this->Leader->running() &&
        this->Leader->role() == ServerRole::Primary)
      this->Leader->sendLog(*this);
  }
  if (Words[0] == "STEPDOWN")
    this->stepDown(Named);
  if (Words[0] != "STATUS")
    this->Group.Events.note(this->Id + ": " + Words[0] + " " +
                            std::to_string(Named) + " from " + C.Name +
                            "; now " + this->status());
  return this->reply(C, "ROW " + this->status() + "\r\nCOMPLETE -\r\n");
}

bool DatabaseServer::answerLocal(Conversation &C,
                                 const std::vector<std::string> &Words) {
  if (Words[0] == "SET" && Words.size() > 2)
    C.Value = Words[2];
  if (Words[0] == "PREPARE" && Words.size() > 3)
    C.Prepared[Words[1]] = {Words[2], Words[3]};
  if (Words[0] == "DEALLOC" && Words.size() > 1)
    C.Prepared.erase(Words[1]);
  if (Words[0] == "RESET") {
    C.Value.clear();
    C.Prepared.clear();
  }
  if (Words[0] == "ROLLBACK")
    C.InTransaction = C.Failed = C.Wrote = false;
  return this->reply(C, "COMPLETE -\r\n");
}

bool DatabaseServer::answerBegin(Conversation &C,
                                 const std::vector<std::string> &Words) {
  const bool ReadOnly = Words.size() > 1 && Words[1] == "READ";
  if (!ReadOnly && this->Role != ServerRole::Primary)
    return this->refuse(C, "READONLY");
  C.InTransaction = true;
  C.ReadOnly = ReadOnly;
  C.Wrote = false;
  return this->reply(C, "COMPLETE -\r\n");
}

QCoro::Task<bool> DatabaseServer::runStatement(Conversation &C,
                                               std::string Query,
                                               std::vector<std::string> Words) {
  std::string Verb = Words[0];
  std::string Shape;
  if (Verb == "EXECUTE") {
    const auto Prepared = C.Prepared.find(Words.size() > 1 ? Words[1] : "");
    if (Prepared == C.Prepared.end())
      co_return this->refuse(C, "NOSTMT");
    Verb = Prepared->second.first;
    Shape = Prepared->second.second;
  }
  const bool Led = this->Role == ServerRole::Primary;
  const bool Plain = C.InTransaction && !C.ReadOnly;
  const bool EmptyCommit = Verb == "COMMIT" && !C.Wrote;
  if (!Led && !EmptyCommit && (Verb == "WRITE" || Verb == "COMMIT" || Plain))
    co_return this->refuse(C, "READONLY");
  const std::size_t RunIndex = this->Group.Events.Seen.Runs.size();
  StatementRun Run;
  Run.Id = Query;
  Run.Server = this->Id;
  Run.Name = C.Name;
  Run.Connection = C.Number;
  Run.At = this->Group.Events.now();
  Run.InTransaction = C.InTransaction;
  Run.SessionValue = C.Value;
  Run.Shape = std::move(Shape);
  this->Group.Events.Seen.Runs.push_back(std::move(Run));
  this->Group.Events.note(this->Id + ": runs " + Query + " " + Words[0] +
                          " from " + C.Name);
  while (this->BusySlots >= Slots)
    co_await this->SlotFreed.wait();
  ++this->BusySlots;
  co_await sleepFor(WorkTime);
  --this->BusySlots;
  this->SlotFreed.notifyAll();
  if (!this->alive(C))
    co_return false;
  const std::string Complete = "COMPLETE d." + this->Id + "." + Query + "\r\n";
  if (Verb == "READ") {
    LogView View = this->log();
    if (this->Role == ServerRole::Replica)
      View.Count = this->Applied;
    this->Group.Events.Seen.Runs[RunIndex].View = View;
    co_return this->reply(C, "ROW r" + Query + "\r\n" + Complete);
  }
  if (Verb == "WRITE" && C.InTransaction) {
    C.Wrote = true;
    co_return this->reply(C, Complete);
  }
  const bool Writes = Verb == "WRITE" || C.Wrote;
  C.InTransaction = C.Wrote = false;
  if (Writes && this->Role != ServerRole::Primary)
    co_return this->refuse(C, "READONLY");
  if (Writes) {
    const bool Held = co_await this->commit(C, Query);
    if (!Held)
      co_return false; // The outcome is not known.
  }
  co_return this->reply(C, Complete);
}

QCoro::Task<bool> DatabaseServer::commit(Conversation &C, std::string Query) {
  auto &Commits = this->Group.Events.Seen.Commits;
  Commit Made;
  Made.Id = Query;
  Made.Group = this->Group.number();
  Made.Server = this->Id;
  Made.Term = this->Term;
  Made.Number = static_cast<unsigned>(this->Log->size() + 1);
  Made.At = this->Group.Events.now();
  this->Group.Events.note(this->Id + ": commits " + Query + " as " +
                          std::to_string(Made.Term) + "." +
                          std::to_string(Made.Number) + " for " + C.Name);
  Commits.push_back(std::move(Made));
  this->Log->push_back(static_cast<unsigned>(Commits.size() - 1));
  this->Applied = this->Log->size();
  Pending Wait;
  Wait.Number = this->Log->size();
  this->Waiting.insert(&Wait);
  for (DatabaseServer *Other : this->Group.running())
    if (Other != this)
      this->sendLog(*Other);
  while (!Wait.Held)
    co_await Wait.Done.wait();
  this->Waiting.erase(&Wait);
  co_return *Wait.Held;
}

} // namespace amaranthspur::bench::soak
