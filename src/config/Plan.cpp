#include "config/Plan.h"

#include "config/Generation.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace amaranthspur::config {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// Describes the consequence of one kind of risk to the operator.
struct RiskText {
  Risk Kind;
  std::string_view Text;
};

constexpr auto RiskTexts = std::to_array<RiskText>({
    {Risk::ServiceRemoved, "its callers are refused at once"},
    {Risk::ServerRemoved, "it is removed without having been drained"},
    {Risk::ServerMoved, "its address changes; open work on the old one ends"},
    {Risk::MajorityLeaving,
     "half or more of its backend servers are leaving; a failover may lack a "
     "majority"},
    {Risk::EvenGroup,
     "an even number of backend servers tolerates no more failures than one "
     "fewer"},
    {Risk::CapacityReduced, "its slots fall by more than a quarter"},
    {Risk::DeadlineShortened,
     "its deadline falls to less than half; more work is refused"},
    {Risk::StalenessRaised,
     "its reads may show data ten times as old as before, or older"},
    {Risk::StalenessUnreachable,
     "its tolerance is below 250 ms, so that replicas can rarely serve it"},
    {Risk::WritesBecomeRepeatable,
     "its writes may run twice from now on after an unknown outcome"},
    {Risk::CallerRemoved, "it is refused at its next connection"},
});

/// Smallest staleness tolerance that replicas can regularly satisfy. Servers
/// are polled every 200 ms while a group is idle, so the bound on the age of a
/// replica's data is rarely lower than this.
constexpr std::uint32_t MinSatisfiableStalenessMs = 250;

/// Returns the name of \p Field with spaces for underscores. The names of lists
/// of entries are converted to the singular: `backend_servers` gives
/// `backend server`.
std::string displayName(const FieldDescriptor &Field) {
  std::string Text = Field.name();
  std::replace(Text.begin(), Text.end(), '_', ' ');
  const bool IsEntryList =
      Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE ||
      Field.name() == "data_centres" || Field.name() == "drained_entry_vms";
  if (!Field.is_repeated() || !IsEntryList)
    return Text;
  if (Text.ends_with("sses"))
    return Text.substr(0, Text.size() - 2);
  return Text.substr(0, Text.size() - 1);
}

std::string number(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

std::string valueText(const Message &M, const FieldDescriptor &Field) {
  const Reflection &R = *M.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    return R.GetString(M, &Field);
  case FieldDescriptor::CPPTYPE_BOOL:
    return R.GetBool(M, &Field) ? "yes" : "no";
  case FieldDescriptor::CPPTYPE_UINT32:
    return std::to_string(R.GetUInt32(M, &Field));
  default:
    return number(R.GetDouble(M, &Field));
  }
}

/// Returns the key that identifies \p M in its list: its name, its identifier
/// or its pair of data centres.
std::string keyOf(const Message &M) {
  const auto &Type = *M.GetDescriptor();
  for (const char *Name : {"name", "id"})
    if (const FieldDescriptor *Field = Type.FindFieldByName(Name))
      return valueText(M, *Field);
  return valueText(M, *Type.FindFieldByName("from")) + " - " +
         valueText(M, *Type.FindFieldByName("to"));
}

/// Returns \p Subject followed by the kind and the name of an entry.
std::string entryName(std::string Subject, const FieldDescriptor &Field,
                      const std::string &Name) {
  Subject.append(displayName(Field)).append(" ").append(Name);
  return Subject;
}

/// Collects the differences between two messages of the same type.
class DiffCollector {
public:
  std::vector<PlannedChange> Changes;

  void compare(const Message &From, const Message &To,
               const std::string &Subject) {
    const auto &Type = *From.GetDescriptor();
    for (int I = 0; I < Type.field_count(); ++I) {
      const FieldDescriptor &Field = *Type.field(I);
      const bool Nested = Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
      if (Field.is_repeated() && Nested)
        this->compareEntries(From, To, Field, Subject);
      else if (Field.is_repeated())
        this->compareNames(From, To, Field, Subject);
      else if (Nested)
        this->compare(From.GetReflection()->GetMessage(From, &Field),
                      To.GetReflection()->GetMessage(To, &Field),
                      Subject + displayName(Field) + ": ");
      else
        this->compareValue(From, To, Field, Subject);
    }
  }

private:
  /// Compares a single scalar field.
  void compareValue(const Message &From, const Message &To,
                    const FieldDescriptor &Field, const std::string &Subject) {
    const std::string Old = valueText(From, Field);
    const std::string New = valueText(To, Field);
    if (Old != New)
      this->Changes.push_back(
          {ChangeKind::Changed, Subject + displayName(Field), Old, New});
  }

  /// Compares a list of messages, matched by keyOf().
  void compareEntries(const Message &From, const Message &To,
                      const FieldDescriptor &Field,
                      const std::string &Subject) {
    const auto Old = entries(From, Field);
    const auto New = entries(To, Field);
    for (const auto &[Key, Entry] : Old)
      if (!New.contains(Key))
        this->Changes.push_back(
            {ChangeKind::Removed, entryName(Subject, Field, Key), Key, ""});
    for (const auto &[Key, Entry] : New) {
      const std::string Name = entryName(Subject, Field, Key);
      const auto Before = Old.find(Key);
      if (Before == Old.end())
        this->Changes.push_back({ChangeKind::Added, Name, "", Key});
      else
        this->compare(*Before->second, *Entry, Name + ": ");
    }
  }

  /// Compares a list of strings as a set.
  void compareNames(const Message &From, const Message &To,
                    const FieldDescriptor &Field, const std::string &Subject) {
    const auto Old = names(From, Field);
    const auto New = names(To, Field);
    for (const std::string &Name : Old)
      if (!New.contains(Name))
        this->Changes.push_back(
            {ChangeKind::Removed, entryName(Subject, Field, Name), Name, ""});
    for (const std::string &Name : New)
      if (!Old.contains(Name))
        this->Changes.push_back(
            {ChangeKind::Added, entryName(Subject, Field, Name), "", Name});
  }

  static std::map<std::string, const Message *>
  entries(const Message &M, const FieldDescriptor &Field) {
    std::map<std::string, const Message *> Entries;
    const Reflection &R = *M.GetReflection();
    for (int I = 0; I < R.FieldSize(M, &Field); ++I) {
      const Message &Entry = R.GetRepeatedMessage(M, &Field, I);
      Entries.emplace(keyOf(Entry), &Entry);
    }
    return Entries;
  }

  static std::set<std::string> names(const Message &M,
                                     const FieldDescriptor &Field) {
    std::set<std::string> Names;
    const Reflection &R = *M.GetReflection();
    for (int I = 0; I < R.FieldSize(M, &Field); ++I)
      Names.insert(R.GetRepeatedString(M, &Field, I));
    return Names;
  }
};

/// Returns the entry of \p In that has the same key as \p Wanted, or null.
template <typename Entries, typename Entry>
const Entry *findEntry(const Entries &In, const Entry &Wanted) {
  for (const Entry &E : In)
    if (keyOf(E) == keyOf(Wanted))
      return &E;
  return nullptr;
}

/// Returns the total slots of the servers of \p S that are not leaving.
std::uint64_t slotsOf(const ServiceAnswer &S) {
  std::uint64_t Slots = 0;
  for (const BackendServerAnswer &B : S.backend_servers())
    Slots += B.leaving() ? 0 : B.slots();
  return Slots;
}

/// Collects the risks of a change, one service at a time.
class RiskCollector {
public:
  std::vector<Warning> Warnings;

  /// Adds the risks of the change of one service; \p From is null for a new
  /// service.
  void addServiceRisks(const ServiceAnswer *From, const ServiceAnswer &To) {
    const std::string Subject = "service " + To.name();
    const int Size = To.backend_servers_size();
    const auto Leaving =
        std::count_if(To.backend_servers().begin(), To.backend_servers().end(),
                      [](const BackendServerAnswer &B) { return B.leaving(); });
    if (Leaving > 0 && 2 * Leaving >= Size)
      this->add(Risk::MajorityLeaving, Subject);
    if (Size % 2 == 0)
      this->add(Risk::EvenGroup, Subject);
    for (const ClassAnswer &C : To.classes())
      this->addClassRisks(From ? findEntry(From->classes(), C) : nullptr, C,
                          Subject + ": class " + C.name());
    if (!From)
      return;
    if (4 * slotsOf(To) < 3 * slotsOf(*From))
      this->add(Risk::CapacityReduced, Subject);
    this->addServerRisks(*From, To, Subject);
    for (const CallerAnswer &C : From->callers())
      if (!findEntry(To.callers(), C))
        this->add(Risk::CallerRemoved, Subject + ": caller " + C.name());
  }

  void add(Risk Kind, std::string Subject) {
    this->Warnings.push_back({Kind, std::move(Subject)});
  }

private:
  void addServerRisks(const ServiceAnswer &From, const ServiceAnswer &To,
                      const std::string &Subject) {
    for (const BackendServerAnswer &Old : From.backend_servers()) {
      const BackendServerAnswer *New = findEntry(To.backend_servers(), Old);
      const std::string Server = Subject + ": backend server " + Old.id();
      if (!New && !Old.leaving())
        this->add(Risk::ServerRemoved, Server);
      if (New && (New->host() != Old.host() || New->port() != Old.port()))
        this->add(Risk::ServerMoved, Server);
    }
  }

  void addClassRisks(const ClassAnswer *From, const ClassAnswer &To,
                     const std::string &Subject) {
    if (To.max_staleness_ms() > 0 &&
        To.max_staleness_ms() < MinSatisfiableStalenessMs)
      this->add(Risk::StalenessUnreachable, Subject);
    if (!From)
      return;
    if (2 * std::uint64_t{To.deadline_ms()} < From->deadline_ms())
      this->add(Risk::DeadlineShortened, Subject);
    const bool Older =
        To.max_staleness_ms() > From->max_staleness_ms() &&
        To.max_staleness_ms() >= 10 * std::uint64_t{From->max_staleness_ms()};
    if (Older)
      this->add(Risk::StalenessRaised, Subject);
    if (From->unrepeatable_writes() && !To.unrepeatable_writes())
      this->add(Risk::WritesBecomeRepeatable, Subject);
  }
};

} // namespace

Plan planChange(const Questionnaire &Old, const Questionnaire &New) {
  const Questionnaire From = normalise(Old);
  const Questionnaire To = normalise(New);
  DiffCollector Differences;
  Differences.compare(From, To, "");
  RiskCollector Risks;
  for (const ServiceAnswer &S : From.services())
    if (!findEntry(To.services(), S))
      Risks.add(Risk::ServiceRemoved, "service " + S.name());
  for (const ServiceAnswer &S : To.services())
    Risks.addServiceRisks(findEntry(From.services(), S), S);
  return {std::move(Differences.Changes), std::move(Risks.Warnings)};
}

std::string text(const PlannedChange &Change) {
  std::string Line(Change.Subject);
  if (Change.Kind != ChangeKind::Changed)
    return Line + " is " + std::string(nameOf(Change.Kind));
  return Line + ": " + Change.From + " -> " + Change.To;
}

std::string text(const Warning &W) {
  for (const RiskText &Entry : RiskTexts)
    if (Entry.Kind == W.Kind)
      return W.Subject + ": " + std::string(Entry.Text) + " (" +
             std::string(nameOf(W.Kind)) + ")";
  return W.Subject;
}

} // namespace amaranthspur::config
