#include "bench/soak/EntryVm.h"

#include "bench/soak/Servers.h"
#include "bench/soak/TextStream.h"
#include "testing/Processes.h"

#include <fstream>
#include <sstream>

namespace amaranthspur::bench::soak {
namespace {

/// From SIGTERM to SIGKILL (grace-s).
constexpr Duration GraceTime = std::chrono::seconds(6);
/// Interval and limit of the readiness probe.
constexpr Duration ProbeInterval = milliseconds(250);
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
/// A process that was started counts as disrupted for this long.
constexpr double StartMs = 1000;

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
}

/// Returns `zone=region` for all data centres, separated by commas.
std::string zoneList() {
  std::string List;
  for (std::size_t I = 0; I < DataCentres.size(); ++I)
    List += std::string(I == 0 ? "" : ",") + DataCentres[I] + "=" + Regions[I];
  return List;
}

} // namespace

Result<std::string> readRunLine(const std::string &DeployFile) {
  std::ifstream In(DeployFile);
  std::string Line;
  bool InRole = false;
  const std::string Start = "run = \"";
  while (std::getline(In, Line)) {
    if (Line.starts_with("["))
      InRole = Line == "[roles.entry]";
    const std::size_t End = Line.rfind('"');
    if (InRole && Line.starts_with(Start) && End > Start.size())
      return Line.substr(Start.size(), End - Start.size());
  }
  return Error{"no run line of the role entry in " + DeployFile};
}

std::string fillPlaceholders(std::string Template,
                             const std::map<std::string, std::string> &Values,
                             const std::string &Zones) {
  const std::string Open = "{{#zones}}";
  const std::string Close = "{{/zones}}";
  const std::size_t From = Template.find(Open);
  const std::size_t To = Template.find(Close);
  if (From != std::string::npos && To != std::string::npos)
    Template.replace(From, To + Close.size() - From, Zones);
  for (const auto &[Name, Value] : Values)
    replaceAll(Template, "{{" + Name + "}}", Value);
  return Template;
}

EntryVm::EntryVm(std::string Name, unsigned DataCentre, std::string Host,
                 const Address &Platform, const DeployCommand &Command,
                 Record &Events, TaskGroup &Tasks, std::string LogDirectory)
    : Name(std::move(Name)), Callers{Host, freePort(Host)},
      Readiness{Host, freePort(Host)}, Program(Command.Program), Events(Events),
      Tasks(Tasks), LogDirectory(std::move(LogDirectory)) {
  this->StoreLink = std::make_unique<LinkListener>(
      Tasks, Host, Platform, &this->ToStore, nullptr, NeverDropped);
  this->PromotionLink = std::make_unique<LinkListener>(
      Tasks, Host, Platform, &this->ToPromotions, nullptr, NeverDropped);
  const std::map<std::string, std::string> Values = {
      {"node", this->Name},
      {"zone", DataCentres[DataCentre]},
      {"listen.front", this->Callers.str()},
      {"listen.readiness", this->Readiness.str()},
      {"ip", Host},
      {"platform.address", this->StoreLink->address().str()},
      {"cloud.address", this->PromotionLink->address().str()},
      {"internal-ports.0", std::to_string(freePort(Host))},
      {"limits.cpu-share", "0.25"},
      {"bounds.config-apply-ms", "3000"},
      {"bounds.quota-window-s", "5"},
      {"bounds.quota-excess", "0.1"},
      {"bounds.quota-slack", "20"}};
  std::istringstream Words(
      fillPlaceholders(Command.Arguments, Values, zoneList()));
  std::string Word;
  while (Words >> Word)
    this->Arguments.push_back(Word);
}

void EntryVm::start() {
  this->Process = std::make_unique<ChildProcess>(
      this->Program, this->Arguments,
      this->LogDirectory.empty()
          ? ""
          : this->LogDirectory + "/" + this->Name + ".err");
  this->Process->launch();
  this->Events.disrupt(FaultKind::Start, this->Name, StartMs);
}

void EntryVm::saveOutput() {
  if (this->LogDirectory.empty() || !this->Process)
    return;
  std::ofstream File(this->LogDirectory + "/" + this->Name + ".log",
                     std::ios::app);
  File << this->Process->output();
}

QCoro::Task<> EntryVm::restartByKill(Duration Pause) {
  const TaskGroup::Guard Counted(this->Tasks);
  const std::size_t Index =
      this->Events.disrupt(FaultKind::Kill, this->Name, toMilliseconds(Pause));
  this->Process->kill();
  if (this->Changing)
    co_return; // The task that stops it starts it again.
  this->Changing = true;
  co_await this->startAfter(Pause, Index);
}

QCoro::Task<> EntryVm::restartByStop(Duration Pause) {
  const TaskGroup::Guard Counted(this->Tasks);
  const std::size_t Index =
      this->Events.disrupt(FaultKind::Terminate, this->Name);
  this->Changing = true;
  const TimePoint KillAt = steadyNow() + GraceTime;
  co_await this->Process->stop(KillAt);
  if (steadyNow() >= KillAt)
    this->Events.Seen.LateStops.push_back(
        {this->Name, this->Events.Seen.Disruptions[Index].From});
  this->Events.note(this->Name + ": process has ended");
  co_await this->startAfter(Pause, Index);
}

QCoro::Task<> EntryVm::startAfter(Duration Pause, std::size_t Disruption) {
  this->Ready = false;
  this->saveOutput();
  co_await sleepFor(Pause);
  this->Events.Seen.Disruptions[Disruption].To = this->Events.now();
  this->Changing = false;
  if (!this->Stopping)
    this->start();
}

QCoro::Task<> EntryVm::freeze(Duration Length) {
  const TaskGroup::Guard Counted(this->Tasks);
  const std::size_t Index = this->Events.disrupt(FaultKind::Freeze, this->Name,
                                                 toMilliseconds(Length));
  this->Frozen = true;
  this->Process->pause();
  co_await sleepFor(Length);
  this->Process->resume();
  this->Frozen = false;
  this->Events.Seen.Disruptions[Index].To = this->Events.now();
  this->Events.note(this->Name + ": is resumed");
}

void EntryVm::hangUp() {
  this->Events.disrupt(FaultKind::HangUp, this->Name);
  this->Process->hangUp();
}

QCoro::Task<> EntryVm::cut(std::vector<Path *> Paths, bool Forward,
                           bool Backward, Duration Length) {
  const TaskGroup::Guard Counted(this->Tasks);
  const std::size_t Index =
      this->Events.disrupt(FaultKind::Cut, this->Name, toMilliseconds(Length));
  for (Path *P : Paths)
    P->cut(Forward, Backward);
  co_await sleepFor(Length);
  for (Path *P : Paths)
    P->heal();
  this->Events.Seen.Disruptions[Index].To = this->Events.now();
  this->Events.note(this->Name + ": links heal");
}

QCoro::Task<> EntryVm::probe() {
  const TaskGroup::Guard Counted(this->Tasks);
  while (!this->Stopping) {
    const bool Answered = co_await this->isReady();
    this->Ready = Answered && !this->Frozen;
    co_await sleepFor(ProbeInterval);
  }
}

QCoro::Task<bool> EntryVm::isReady() {
  const TimePoint Deadline = steadyNow() + ProbeTimeout;
  QTcpSocket *Socket = co_await openSocket(this->Readiness, Deadline);
  if (Socket == nullptr)
    co_return false;
  TextStream Stream(Socket);
  Stream.write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::optional<std::string> Line = co_await Stream.readLine(Deadline);
  co_return Line && Line->find(" 200 ") != std::string::npos;
}

QCoro::Task<> EntryVm::stop() {
  this->Stopping = true;
  if (this->Process && this->Process->running())
    co_await this->Process->stop(steadyNow() + std::chrono::seconds(1));
  this->saveOutput();
  this->StoreLink->stop();
  this->PromotionLink->stop();
}

} // namespace amaranthspur::bench::soak
