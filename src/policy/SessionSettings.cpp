#include "policy/SessionSettings.h"

#include <charconv>
#include <utility>

namespace amaranthspur {
namespace {

std::string fullName(SessionSetting Setting) {
  return "amaranthspur." + std::string(nameOf(Setting));
}

Error invalid(SessionSetting Setting, std::string_view Value,
              const std::string &Allowed) {
  return Error{"setting " + fullName(Setting) + " is \"" + std::string(Value) +
               "\"; allowed: " + Allowed};
}

Result<Duration> parseMilliseconds(SessionSetting Setting,
                                   std::string_view Value, std::int64_t Min) {
  const std::int64_t Max =
      std::chrono::duration_cast<milliseconds>(MaxSettableTime).count();
  std::int64_t Count = 0;
  const char *End = Value.data() + Value.size();
  const auto [Rest, Status] = std::from_chars(Value.data(), End, Count);
  if (Status != std::errc() || Rest != End || Count < Min || Count > Max)
    return invalid(Setting, Value,
                   std::to_string(Min) + " to " + std::to_string(Max));
  return Duration(milliseconds(Count));
}

template <typename E>
Result<Success> assignName(SessionSetting Setting, std::string_view Value,
                           std::optional<E> &Field) {
  const std::optional<E> Parsed = parseName<E>(Value);
  if (!Parsed)
    return invalid(Setting, Value, allNames<E>());
  Field = Parsed;
  return Success();
}

Result<Success> assignDuration(SessionSetting Setting, std::string_view Value,
                               std::int64_t Min,
                               std::optional<Duration> &Field) {
  const Result<Duration> Parsed = parseMilliseconds(Setting, Value, Min);
  if (!succeeded(Parsed))
    return Error{errorOf(Parsed)};
  Field = valueOf(Parsed);
  return Success();
}

Result<SessionSetting> parseSettingName(std::string_view Name) {
  const auto Setting = parseName<SessionSetting>(Name);
  if (!Setting)
    return Error{
        "setting amaranthspur." + std::string(Name) +
        " does not exist; available settings: " + allNames<SessionSetting>()};
  return *Setting;
}

std::string inMilliseconds(const std::optional<Duration> &D) {
  if (!D)
    return {};
  return std::to_string(std::chrono::duration_cast<milliseconds>(*D).count());
}

template <typename E> std::string nameOrEmpty(const std::optional<E> &Value) {
  return Value ? std::string(nameOf(*Value)) : std::string();
}

} // namespace

Result<Success> SessionSettings::apply(std::string_view Name,
                                       std::string_view Value) {
  const Result<SessionSetting> Setting = parseSettingName(Name);
  if (!succeeded(Setting))
    return Error{errorOf(Setting)};
  switch (valueOf(Setting)) {
  case SessionSetting::Session:
    this->Token = std::string(Value);
    return Success();
  case SessionSetting::Class:
    if (Value.empty())
      return invalid(SessionSetting::Class, Value, "a class of the service");
    this->Class = ClassName(std::string(Value));
    return Success();
  case SessionSetting::MaxStalenessMs:
    return assignDuration(SessionSetting::MaxStalenessMs, Value, 0,
                          this->MaxStaleness);
  case SessionSetting::Repeatable:
    return assignName(SessionSetting::Repeatable, Value, this->Repeatability);
  case SessionSetting::DeadlineMs:
    return assignDuration(SessionSetting::DeadlineMs, Value, 1, this->Deadline);
  case SessionSetting::Access:
    return assignName(SessionSetting::Access, Value, this->RequestedAccess);
  }
  return Error{"setting is not in the table of names"};
}

Result<std::string> SessionSettings::show(std::string_view Name) const {
  const Result<SessionSetting> Setting = parseSettingName(Name);
  if (!succeeded(Setting))
    return Error{errorOf(Setting)};
  switch (valueOf(Setting)) {
  case SessionSetting::Session:
    return this->Token.value_or("");
  case SessionSetting::Class:
    return this->Class ? this->Class->str() : std::string();
  case SessionSetting::MaxStalenessMs:
    return inMilliseconds(this->MaxStaleness);
  case SessionSetting::Repeatable:
    return nameOrEmpty(this->Repeatability);
  case SessionSetting::DeadlineMs:
    return inMilliseconds(this->Deadline);
  case SessionSetting::Access:
    return nameOrEmpty(this->RequestedAccess);
  }
  return Error{"setting is not in the table of names"};
}

Result<std::vector<SettingAssignment>>
settingsFromOptions(std::string_view Options) {
  constexpr std::string_view Prefix = "amaranthspur.";
  std::vector<std::string> Arguments;
  bool InArgument = false;
  for (std::size_t I = 0; I < Options.size(); ++I) {
    const bool Escaped = Options[I] == '\\' && I + 1 < Options.size();
    if (!Escaped && Options[I] == ' ') {
      InArgument = false;
      continue;
    }
    if (!std::exchange(InArgument, true))
      Arguments.emplace_back();
    Arguments.back() += Escaped ? Options[++I] : Options[I];
  }
  std::vector<SettingAssignment> Settings;
  for (std::size_t I = 0; I < Arguments.size(); ++I) {
    std::string_view Text = Arguments[I];
    if (Text == "-c" && I + 1 < Arguments.size())
      Text = Arguments[++I];
    else if (Text.starts_with("-c") || Text.starts_with("--"))
      Text.remove_prefix(2);
    else
      Text = {};
    const std::size_t Equals = Text.find('=');
    if (!Text.starts_with(Prefix) || Equals == std::string_view::npos)
      return Error{"option \"" + Arguments[I] +
                   "\" is not supported; allowed: -c amaranthspur.NAME=VALUE"};
    Settings.push_back(
        {std::string(Text.substr(Prefix.size(), Equals - Prefix.size())),
         std::string(Text.substr(Equals + 1))});
  }
  return Settings;
}

Result<EffectiveSettings> resolveSettings(const SessionSettings &Session,
                                          const StatementTraits &Traits,
                                          const ServiceConfig &Service,
                                          const CallerConfig &Caller,
                                          bool InTransaction) {
  ClassName Wanted = Session.Class.value_or(Caller.DefaultClass);
  if (Wanted.empty())
    Wanted = Service.Classes.front().Name;
  const ClassConfig *Class = nullptr;
  for (const ClassConfig &Candidate : Service.Classes)
    if (Candidate.Name == Wanted)
      Class = &Candidate;
  if (!Class)
    return Error{"class \"" + Wanted.str() + "\" does not exist in service \"" +
                 Service.Name.str() + "\""};
  EffectiveSettings Effective;
  Effective.Class = Class->Name;
  Effective.MaxStaleness = Session.MaxStaleness.value_or(Class->MaxStaleness);
  Effective.Repeatability =
      Session.Repeatability.value_or(Class->Repeatability);
  Effective.Deadline = Session.Deadline.value_or(Class->Deadline);
  Effective.RequestedAccess =
      Session.RequestedAccess.value_or(Traits.InferredAccess);
  if (InTransaction)
    Effective.RequestedAccess = Access::Write;
  return Effective;
}

} // namespace amaranthspur
