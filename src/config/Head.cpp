#include "config/Head.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace amaranthspur::config {
namespace {

constexpr std::size_t MaxHeadBytes = 4096;
/// Number of hexadecimal digits in a SHA-256 hash.
constexpr int HashLength = 64;

QString text(const std::string &S) { return QString::fromStdString(S); }

std::string member(const QJsonObject &O, const char *Name) {
  return O[Name].toString().toStdString();
}

} // namespace

std::string formatHead(const Head &H) {
  const QJsonObject O{{"revision", static_cast<qint64>(H.Revision)},
                      {"hash", text(H.Hash)},
                      {"operation", text(H.Operation)},
                      {"author", text(H.Author)},
                      {"accepted_at", text(H.AcceptedAt)},
                      {"previous", text(H.Previous)}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

Result<Head> parseHead(std::string_view Text) {
  if (Text.empty())
    return Head{};
  if (Text.size() > MaxHeadBytes)
    return Error{"the record of the revision is too large"};
  const QByteArray Bytes(Text.data(), static_cast<qsizetype>(Text.size()));
  const QJsonObject O = QJsonDocument::fromJson(Bytes).object();
  Head H;
  const qint64 Revision = O["revision"].toInteger(-1);
  H.Revision = static_cast<std::uint64_t>(Revision);
  H.Hash = member(O, "hash");
  H.Operation = member(O, "operation");
  H.Author = member(O, "author");
  H.AcceptedAt = member(O, "accepted_at");
  H.Previous = member(O, "previous");
  const bool HashValid =
      H.Hash.size() == HashLength &&
      H.Hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (Revision <= 0 || !HashValid || H.Operation.empty())
    return Error{"the record of the revision is malformed"};
  return H;
}

std::string contentObject(std::string_view Hash) {
  return "config/" + std::string(Hash);
}

std::string recordObject(std::string_view Operation) {
  return "config/operation/" + std::string(Operation);
}

} // namespace amaranthspur::config
