#include "testing/fault-proxy/LinkRules.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <optional>
#include <utility>

namespace amaranthspur::fault {
namespace {

std::string textOf(const QJsonValue &Value) {
  return Value.toString().toStdString();
}

/// Reads one field of a `set` command into \p Rule; returns whether the field
/// is known and its value has the right type.
bool readField(LinkRule &Rule, const std::string &Name,
               const QJsonValue &Value) {
  const std::pair<const char *, std::string LinkRule::*> Texts[] = {
      {"from", &LinkRule::From}, {"to", &LinkRule::To}};
  for (const auto &[Field, Member] : Texts)
    if (Name == Field) {
      Rule.*Member = textOf(Value);
      return Value.isString();
    }
  const std::pair<const char *, bool LinkRule::*> Flags[] = {
      {"cut", &LinkRule::Cut},
      {"silent", &LinkRule::Silent},
      {"drop_forward", &LinkRule::DropForward},
      {"drop_backward", &LinkRule::DropBackward}};
  for (const auto &[Field, Member] : Flags)
    if (Name == Field) {
      Rule.*Member = Value.toBool();
      return Value.isBool();
    }
  const qint64 Number = Value.toInteger(-1);
  if (Number < 0)
    return false;
  if (Name == "delay_us")
    Rule.Delay = Duration(Number);
  else if (Name == "jitter_us")
    Rule.Jitter = Duration(Number);
  else if (Name == "bandwidth_kbit")
    Rule.BandwidthKbit = static_cast<std::uint64_t>(Number);
  else
    return false;
  return true;
}

} // namespace

TimePoint LinkRule::arrival(Direction Which, std::size_t Bytes, TimePoint Now) {
  if (this->BandwidthKbit == 0)
    return Now + this->Delay;
  // At N kbit/s, sending a byte takes 8000 / N µs.
  constexpr std::uint64_t MicrosecondsPerByteAtOneKbit = 8000;
  const Duration Time(Bytes * MicrosecondsPerByteAtOneKbit /
                      this->BandwidthKbit);
  TimePoint &Free = this->FreeAt[static_cast<std::size_t>(Which)];
  Free = std::max(Free, Now) + Time;
  return Free + this->Delay;
}

Result<Command> parseCommand(const QByteArray &Line) {
  const QJsonDocument Document = QJsonDocument::fromJson(Line);
  if (!Document.isObject())
    return Error{"command is not a JSON object"};
  const QJsonObject Fields = Document.object();
  const auto Kind = parseName<CommandKind>(textOf(Fields.value("command")));
  if (!Kind)
    return Error{"command is not one of " + allNames<CommandKind>()};
  Command Parsed;
  Parsed.Kind = *Kind;
  for (auto Field = Fields.begin(); Field != Fields.end(); ++Field) {
    const std::string Name = Field.key().toStdString();
    if (Name == "command")
      continue;
    if (*Kind != CommandKind::Set ||
        !readField(Parsed.Rule, Name, Field.value()))
      return Error{"field \"" + Name + "\" is unknown or has a wrong type"};
  }
  return Parsed;
}

void LinkRules::set(LinkRule Rule) {
  Rule.Serial = this->nextSerial();
  for (LinkRule &Present : this->Rules)
    if (Present.From == Rule.From && Present.To == Rule.To) {
      Present = std::move(Rule);
      return;
    }
  this->Rules.push_back(std::move(Rule));
}

LinkRule *LinkRules::find(const std::string &Client, const std::string &Link) {
  LinkRule *Best = nullptr;
  const auto Rank = [](const LinkRule &Rule) {
    return std::pair(Rule.To.size(), Rule.From.size());
  };
  for (LinkRule &Rule : this->Rules)
    if (Rule.matches(Client, Link) &&
        (Best == nullptr || Rank(Rule) > Rank(*Best)))
      Best = &Rule;
  return Best;
}

} // namespace amaranthspur::fault
