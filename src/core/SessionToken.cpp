#include "core/SessionToken.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

#include <charconv>

namespace amaranthspur {
namespace {

constexpr std::string_view Prefix = "v1.";
constexpr int MacHexDigits = 16;

std::string computeMac(std::string_view Text, std::string_view Key) {
  const QByteArray Message(Text.data(), static_cast<qsizetype>(Text.size()));
  const QByteArray KeyBytes(Key.data(), static_cast<qsizetype>(Key.size()));
  return QMessageAuthenticationCode::hash(Message, KeyBytes,
                                          QCryptographicHash::Sha256)
      .toHex()
      .left(MacHexDigits)
      .toStdString();
}

/// Compares two MACs in constant time, to prevent timing attacks.
bool equalMacs(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

bool parseNumber(std::string_view Text, std::uint64_t &Value) {
  const char *End = Text.data() + Text.size();
  const auto [Rest, Status] = std::from_chars(Text.data(), End, Value);
  return Status == std::errc() && Rest == End && !Text.empty();
}

/// Removes the last dot of \p Text and the field after it. Returns the field,
/// or an empty text if there is no dot.
std::string_view takeLastField(std::string_view &Text) {
  const std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return {};
  const std::string_view Field = Text.substr(Dot + 1);
  Text = Text.substr(0, Dot);
  return Field;
}

} // namespace

std::string formatToken(const SessionToken &Token, std::string_view Key) {
  std::string Text(Prefix);
  Text += Token.Service.str();
  Text += '.' + std::to_string(Token.Position.TermNumber);
  Text += '.' + std::to_string(Token.Position.Index);
  const std::string Mac = computeMac(Text, Key);
  return Text + '.' + Mac;
}

Result<SessionToken> parseToken(std::string_view Text, std::string_view Key,
                                const ServiceName &Service) {
  if (Text.size() > MaxSessionTokenBytes)
    return Error{"session token is longer than " +
                 std::to_string(MaxSessionTokenBytes) + " bytes"};
  std::string_view Rest = Text;
  const std::string_view Mac = takeLastField(Rest);
  const std::string_view Signed = Rest;
  const std::string_view IndexText = takeLastField(Rest);
  const std::string_view TermText = takeLastField(Rest);
  SessionToken Token;
  if (!Rest.starts_with(Prefix) || Rest.size() == Prefix.size() ||
      !parseNumber(TermText, Token.Position.TermNumber) ||
      !parseNumber(IndexText, Token.Position.Index))
    return Error{"session token is malformed; the form is "
                 "v1.<service>.<term>.<index>.<mac>"};
  Token.Service = ServiceName(std::string(Rest.substr(Prefix.size())));
  if (!equalMacs(Mac, computeMac(Signed, Key)))
    return Error{"session token was not issued by this deployment"};
  if (Token.Service != Service)
    return Error{"session token is for service \"" + Token.Service.str() +
                 "\", not for \"" + Service.str() + "\""};
  return Token;
}

} // namespace amaranthspur
