#include "config/DuplicateFields.h"

#include "config/Validation.h"

#include <set>
#include <string>

namespace amaranthspur::config {
namespace {

/// An object or array that the scan has entered and not yet left.
struct OpenValue {
  bool IsObject = false;
  std::string Path;
  std::set<std::string, std::less<>> Keys;
  std::string Key;   ///< In an object: the field that is being scanned.
  int Index = 0;     ///< In an array: the element that is being scanned.
  bool AtKey = true; ///< In an object: the next string is a field name.

  /// Returns the path of the current field or element.
  std::string childPath() const {
    if (!this->IsObject)
      return this->Path + "[" + std::to_string(this->Index) + "]";
    return this->Path.empty() ? this->Key : this->Path + "." + this->Key;
  }
};

/// Returns the position after the string whose opening quote is at \p Quote.
std::size_t endOfString(std::string_view Json, std::size_t Quote) {
  std::size_t At = Quote + 1;
  while (At < Json.size() && Json[At] != '"')
    At += Json[At] == '\\' ? 2 : 1;
  return At + 1;
}

} // namespace

std::vector<Mistake> duplicateFields(std::string_view Json) {
  std::vector<Mistake> Mistakes;
  std::vector<OpenValue> Open;
  for (std::size_t At = 0; At < Json.size();) {
    const char C = Json[At];
    if (C == '"') {
      const std::size_t End = endOfString(Json, At);
      if (!Open.empty() && Open.back().IsObject && Open.back().AtKey) {
        OpenValue &Object = Open.back();
        Object.Key = Json.substr(At + 1, End - At - 2);
        Object.AtKey = false;
        if (!Object.Keys.insert(Object.Key).second)
          Mistakes.push_back({Object.childPath(), quoted(Object.Key),
                              "each field once in its object"});
      }
      At = End;
      continue;
    }
    if (C == '{' || C == '[') {
      OpenValue Value;
      Value.IsObject = C == '{';
      Value.Path = Open.empty() ? "" : Open.back().childPath();
      Open.push_back(std::move(Value));
    } else if ((C == '}' || C == ']') && !Open.empty()) {
      Open.pop_back();
    } else if (C == ',' && !Open.empty()) {
      Open.back().AtKey = true;
      ++Open.back().Index;
    }
    ++At;
  }
  return Mistakes;
}

} // namespace amaranthspur::config
