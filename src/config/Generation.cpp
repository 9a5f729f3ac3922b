#include "config/Generation.h"

#include "config/Limits.h"
#include "config/Mistake.h"
#include "config/Validation.h"

#include <google/protobuf/message.h>
#include <google/protobuf/unknown_field_set.h>

#include <QCryptographicHash>

#include <algorithm>
#include <cmath>

namespace amaranthspur::config {
namespace {

Duration fromMs(double Ms) {
  return Duration(static_cast<Duration::rep>(std::llround(Ms * 1000.0)));
}

template <typename Field, typename Key> void sortBy(Field *Entries, Key KeyOf) {
  std::sort(Entries->begin(), Entries->end(),
            [&](const auto &A, const auto &B) { return KeyOf(A) < KeyOf(B); });
}

/// Returns whether \p M or a nested message has fields that this version does
/// not define.
bool hasUnknownFields(const google::protobuf::Message &M) {
  const google::protobuf::Reflection &R = *M.GetReflection();
  if (!R.GetUnknownFields(M).empty())
    return true;
  std::vector<const google::protobuf::FieldDescriptor *> Fields;
  R.ListFields(M, &Fields);
  for (const google::protobuf::FieldDescriptor *Field : Fields) {
    if (Field->cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
      continue;
    if (!Field->is_repeated()) {
      if (hasUnknownFields(R.GetMessage(M, Field)))
        return true;
      continue;
    }
    for (int I = 0; I < R.FieldSize(M, Field); ++I)
      if (hasUnknownFields(R.GetRepeatedMessage(M, Field, I)))
        return true;
  }
  return false;
}

ServerConfig generateServer(const BackendServerAnswer &B) {
  ServerConfig Server;
  Server.Id = ServerId(B.id());
  Server.Host = B.host();
  Server.Port = static_cast<std::uint16_t>(B.port());
  Server.Location = DataCentre(B.data_centre());
  Server.Slots = B.slots();
  Server.ConnectionLimit = B.connection_limit();
  Server.Leaving = B.leaving();
  return Server;
}

ClassConfig generateClass(const ClassAnswer &C) {
  ClassConfig Class;
  Class.Name = ClassName(C.name());
  Class.Deadline = milliseconds(C.deadline_ms());
  Class.ExpectedLength = fromMs(C.expected_length_ms());
  Class.MaxStaleness = milliseconds(C.max_staleness_ms());
  const bool IsUnrepeatable =
      !C.has_unrepeatable_writes() || C.unrepeatable_writes();
  Class.Repeatability = IsUnrepeatable ? Repeatable::Off : Repeatable::On;
  return Class;
}

ServiceConfig generateService(const ServiceAnswer &S) {
  ServiceConfig Service;
  Service.Name = ServiceName(S.name());
  for (const BackendServerAnswer &B : S.backend_servers())
    Service.Servers.push_back(generateServer(B));
  for (const ClassAnswer &C : S.classes())
    Service.Classes.push_back(generateClass(C));
  for (const CallerAnswer &C : S.callers())
    Service.Callers.push_back(
        {CallerName(C.name()), C.weight(), ClassName(C.default_class())});
  return Service;
}

} // namespace

Questionnaire normalise(Questionnaire Answers) {
  const auto ByName = [](const auto &Entry) -> const std::string & {
    return Entry.name();
  };
  sortBy(Answers.mutable_regions(), ByName);
  for (RegionAnswer &R : *Answers.mutable_regions())
    std::sort(R.mutable_data_centres()->begin(),
              R.mutable_data_centres()->end());
  for (LatencyException &E : *Answers.mutable_latency()->mutable_exceptions())
    if (E.to() < E.from())
      E.mutable_from()->swap(*E.mutable_to());
  sortBy(Answers.mutable_latency()->mutable_exceptions(),
         [](const LatencyException &E) { return std::pair(E.from(), E.to()); });
  sortBy(Answers.mutable_services(), ByName);
  for (ServiceAnswer &S : *Answers.mutable_services()) {
    sortBy(S.mutable_backend_servers(),
           [](const BackendServerAnswer &B) { return B.id(); });
    sortBy(S.mutable_classes(), ByName);
    sortBy(S.mutable_callers(), ByName);
    for (ClassAnswer &C : *S.mutable_classes())
      if (!C.has_unrepeatable_writes())
        C.set_unrepeatable_writes(true);
  }
  std::sort(Answers.mutable_drained_entry_vms()->begin(),
            Answers.mutable_drained_entry_vms()->end());
  return Answers;
}

std::string contentOf(const Questionnaire &Answers) {
  // protobuf serialises known fields identically in every process unless one of
  // them is a map. No message here has a map field.
  return normalise(Answers).SerializeAsString();
}

std::string hashOf(std::string_view Content) {
  const QByteArrayView Bytes(Content.data(),
                             static_cast<qsizetype>(Content.size()));
  return QCryptographicHash::hash(Bytes.toByteArray(),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

Result<Questionnaire> answersFrom(std::string_view Content) {
  if (Content.size() > MaxContentBytes)
    return Error{"the content is larger than " +
                 std::to_string(MaxContentBytes) + " bytes"};
  Questionnaire Answers;
  if (!Answers.ParseFromArray(Content.data(), static_cast<int>(Content.size())))
    return Error{"the content is malformed"};
  // A field that this version does not define may change the meaning of the
  // other fields, so the content is rejected.
  if (hasUnknownFields(Answers))
    return Error{"the content has unknown fields"};
  const std::vector<Mistake> Mistakes = validate(Answers);
  if (!Mistakes.empty())
    return Error{"the content has mistakes: " + text(Mistakes.front())};
  if (contentOf(Answers) != Content)
    return Error{"the content is not in its normal form"};
  return Answers;
}

Configuration generate(const Questionnaire &Given, std::uint64_t Revision) {
  const Questionnaire Answers = normalise(Given);
  Configuration Config;
  Config.Revision = Revision;
  std::vector<std::string> Names;
  for (const RegionAnswer &R : Answers.regions())
    Names.insert(Names.end(), R.data_centres().begin(), R.data_centres().end());
  for (const RegionAnswer &R : Answers.regions())
    for (const std::string &Name : R.data_centres()) {
      DataCentreConfig Place{DataCentre(Name), Region(R.name()), {}};
      for (const std::string &Other : Names)
        if (Other != Name)
          Place.LatencyTo[DataCentre(Other)] =
              fromMs(latencyBetween(Answers, Name, Other));
      Config.DataCentres.push_back(std::move(Place));
    }
  for (const ServiceAnswer &S : Answers.services())
    Config.Services.push_back(generateService(S));
  for (const std::string &Vm : Answers.drained_entry_vms())
    Config.DrainedEntryVms.emplace_back(Vm);
  return Config;
}

Result<Configuration> configurationFrom(std::string_view Content,
                                        std::string_view Hash,
                                        std::uint64_t Revision) {
  if (hashOf(Content) != Hash)
    return Error{"the content does not match its hash"};
  const Result<Questionnaire> Answers = answersFrom(Content);
  if (!succeeded(Answers))
    return Error{errorOf(Answers)};
  return generate(valueOf(Answers), Revision);
}

} // namespace amaranthspur::config
