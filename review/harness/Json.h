// JSON as far as the stand-ins need it: a parser into a small tree, and quoting.
#ifndef REVIEW_HARNESS_JSON_H
#define REVIEW_HARNESS_JSON_H

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace review {

struct Json {
  std::string Text; ///< Of a string or a number.
  std::map<std::string, Json> Fields;
  std::vector<Json> Items;

  const Json &operator[](const std::string &Name) const {
    static const Json None;
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? None : Found->second;
  }
  std::uint64_t number() const {
    return static_cast<std::uint64_t>(std::strtod(Text.c_str(), nullptr));
  }
};

class JsonParser {
public:
  explicit JsonParser(const std::string &Text) : Text(Text) {}
  Json parse() {
    skip();
    Json Out;
    if (At >= Text.size())
      return Out;
    if (Text[At] == '{') {
      ++At;
      while (next() != '}' && At < Text.size()) {
        const std::string Name = string();
        next();
        ++At; // The colon.
        Out.Fields[Name] = parse();
        if (next() == ',')
          ++At;
      }
      ++At;
    } else if (Text[At] == '[') {
      ++At;
      while (next() != ']' && At < Text.size()) {
        Out.Items.push_back(parse());
        if (next() == ',')
          ++At;
      }
      ++At;
    } else if (Text[At] == '"') {
      Out.Text = string();
    } else {
      while (At < Text.size() && std::string(",]} \n").find(Text[At]) ==
                                     std::string::npos)
        Out.Text += Text[At++];
    }
    return Out;
  }

private:
  void skip() {
    while (At < Text.size() && isspace(static_cast<unsigned char>(Text[At])))
      ++At;
  }
  char next() {
    skip();
    return At < Text.size() ? Text[At] : '\0';
  }
  std::string string() {
    std::string Out;
    for (++At; At < Text.size() && Text[At] != '"'; ++At) {
      if (Text[At] == '\\')
        ++At;
      Out += Text[At];
    }
    ++At;
    return Out;
  }
  const std::string &Text;
  std::size_t At = 0;
};

inline std::string quoted(const std::string &Text) {
  std::string Out = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C;
  }
  return Out + "\"";
}

inline std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned N = 0;
    for (std::size_t J = 0; J < 3; ++J)
      N = N << 8 | (I + J < Bytes.size()
                        ? static_cast<unsigned char>(Bytes[I + J])
                        : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += I + J <= Bytes.size() ? Digits[N >> (18 - 6 * J) & 63U] : '=';
  }
  return Out;
}

} // namespace review

#endif // REVIEW_HARNESS_JSON_H
