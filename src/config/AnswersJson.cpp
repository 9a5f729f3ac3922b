#include "config/AnswersJson.h"

#include "config/DuplicateFields.h"
#include "config/Limits.h"
#include "config/Validation.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranthspur::config {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

/// Maximum size of the JSON text. JSON with indentation is larger than the
/// serialised content, so its limit is four times MaxContentBytes.
constexpr std::size_t MaxJsonBytes = 4 * MaxContentBytes;

/// Returns \p Value as it appears in an error message.
std::string describe(const QJsonValue &Value) {
  switch (Value.type()) {
  case QJsonValue::Null:
    return "null";
  case QJsonValue::Bool:
    return Value.toBool() ? "true" : "false";
  case QJsonValue::Double:
    return QJsonDocument(QJsonArray{Value})
        .toJson(QJsonDocument::Compact)
        .mid(1)
        .chopped(1)
        .toStdString();
  case QJsonValue::String:
    return quoted(Value.toString().toStdString());
  case QJsonValue::Array:
    return "an array";
  case QJsonValue::Object:
    return "an object";
  case QJsonValue::Undefined:
    break;
  }
  return "nothing";
}

std::string fieldNames(const Descriptor &Type) {
  std::string Names = "one of the fields";
  for (int I = 0; I < Type.field_count(); ++I) {
    Names += I == 0 ? " " : ", ";
    Names += Type.field(I)->name();
  }
  return Names;
}

/// Checks a JSON document against the protobuf message types. It reports each
/// value that does not match and drops it or replaces it by the default, so
/// that validate() can check the rest.
class SchemaChecker {
public:
  std::vector<Mistake> Mistakes;

  /// Returns the fields of \p Given that match \p Type.
  QJsonObject checkObject(const QJsonObject &Given, const Descriptor &Type,
                          const std::string &Path) {
    QJsonObject Valid;
    for (auto It = Given.begin(); It != Given.end(); ++It) {
      const std::string Name = It.key().toStdString();
      std::string At = Path;
      At.append(Path.empty() ? "" : ".").append(Name);
      const FieldDescriptor *Field = Type.FindFieldByName(Name);
      if (Field == nullptr) {
        this->add(At, "the field " + quoted(Name), fieldNames(Type));
        continue;
      }
      if (Field->is_repeated())
        Valid[It.key()] = this->checkArray(It.value(), *Field, At);
      else
        Valid[It.key()] = this->checkValue(It.value(), *Field, At);
    }
    return Valid;
  }

private:
  void add(std::string Path, std::string Value, std::string Allowed) {
    if (this->Mistakes.size() < MaxMistakes)
      this->Mistakes.push_back(
          {std::move(Path), std::move(Value), std::move(Allowed)});
  }

  /// Returns the elements of \p Given, each checked by checkValue().
  QJsonArray checkArray(const QJsonValue &Given, const FieldDescriptor &Field,
                        const std::string &Path) {
    if (!Given.isArray()) {
      this->add(Path, describe(Given), "an array");
      return {};
    }
    QJsonArray Valid;
    const QJsonArray Elements = Given.toArray();
    for (qsizetype I = 0; I < Elements.size(); ++I)
      Valid.append(this->checkValue(Elements.at(I), Field,
                                    Path + "[" + std::to_string(I) + "]"));
    return Valid;
  }

  /// Returns \p Given if it matches the type of \p Field, otherwise the default
  /// of that type.
  QJsonValue checkValue(const QJsonValue &Given, const FieldDescriptor &Field,
                        const std::string &Path) {
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      if (Given.isObject())
        return this->checkObject(Given.toObject(), *Field.message_type(), Path);
      this->add(Path, describe(Given), "an object");
      return QJsonObject();
    case FieldDescriptor::CPPTYPE_STRING:
      if (Given.isString())
        return Given;
      this->add(Path, describe(Given), "a string");
      return QString();
    case FieldDescriptor::CPPTYPE_BOOL:
      if (Given.isBool())
        return Given;
      this->add(Path, describe(Given), "true or false");
      return false;
    case FieldDescriptor::CPPTYPE_UINT32:
      if (isUint32(Given))
        return Given;
      this->add(Path, describe(Given), "a whole number from 0 to 4294967295");
      return 0;
    default:
      if (Given.isDouble())
        return Given;
      this->add(Path, describe(Given), "a number");
      return 0;
    }
  }

  static bool isUint32(const QJsonValue &Value) {
    constexpr double Max = std::numeric_limits<std::uint32_t>::max();
    const double Number = Value.toDouble(-1);
    return Number >= 0 && Number <= Max && std::floor(Number) == Number;
  }
};

Mistake syntaxMistake(std::string_view Json, const QJsonParseError &Error) {
  const auto Offset =
      std::min(static_cast<std::size_t>(Error.offset), Json.size());
  const std::string_view Before = Json.substr(0, Offset);
  const auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  return {"", "the text at line " + std::to_string(Line),
          "one JSON object (" + Error.errorString().toStdString() + ")"};
}

/// Returns whether the path of \p M equals, or is nested in, the path of one of
/// \p Reported. Such a mistake is only a consequence of the reported one.
bool isCovered(const Mistake &M, const std::vector<Mistake> &Reported) {
  return std::any_of(Reported.begin(), Reported.end(), [&](const Mistake &R) {
    if (!M.Path.starts_with(R.Path))
      return false;
    const char Next =
        M.Path.size() > R.Path.size() ? M.Path[R.Path.size()] : '\0';
    return Next == '\0' || Next == '.' || Next == '[';
  });
}

} // namespace

ParsedAnswers parseAnswers(std::string_view Json) {
  ParsedAnswers Parsed;
  if (Json.size() > MaxJsonBytes) {
    Parsed.Mistakes.push_back(
        {"", std::to_string(Json.size()) + " bytes",
         "at most " + std::to_string(MaxJsonBytes) + " bytes"});
    return Parsed;
  }
  QJsonParseError Error;
  const QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray(Json.data(), static_cast<qsizetype>(Json.size())), &Error);
  if (!Document.isObject()) {
    Parsed.Mistakes.push_back(syntaxMistake(Json, Error));
    return Parsed;
  }
  Parsed.Mistakes = duplicateFields(Json);
  SchemaChecker Checker;
  const QJsonObject Valid =
      Checker.checkObject(Document.object(), *Questionnaire::descriptor(), "");
  Parsed.Mistakes.insert(Parsed.Mistakes.end(), Checker.Mistakes.begin(),
                         Checker.Mistakes.end());
  const auto Status = google::protobuf::util::JsonStringToMessage(
      QJsonDocument(Valid).toJson(QJsonDocument::Compact).toStdString(),
      &Parsed.Answers);
  if (!Status.ok()) {
    Parsed.Mistakes.push_back({"", "the document",
                               "what protobuf's JSON mapping reads (" +
                                   std::string(Status.message()) + ")"});
    return Parsed;
  }
  const std::vector<Mistake> Reported = Parsed.Mistakes;
  for (Mistake &M : validate(Parsed.Answers))
    if (!isCovered(M, Reported))
      Parsed.Mistakes.push_back(std::move(M));
  return Parsed;
}

std::string formatAnswers(const Questionnaire &Answers) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = true;
  Options.always_print_primitive_fields = true;
  Options.preserve_proto_field_names = true;
  std::string Json;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Answers, &Json, Options);
  return Status.ok() ? Json : std::string();
}

} // namespace amaranthspur::config
