#include "platform/RowCodec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace amaranthspur::rows {
namespace {

QByteArray toCompactJson(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact);
}

std::optional<std::int64_t> storeMs(const QJsonObject &O) {
  const QJsonValue Field = O["now-ms"];
  if (!Field.isDouble())
    return std::nullopt;
  return Field.toInteger();
}

StoreVersion versionOf(const QJsonObject &O, std::uint64_t Era) {
  return StoreVersion(static_cast<std::uint64_t>(O["row-version"].toInteger()),
                      Era);
}

std::optional<WatchedRow> decodeRow(const QJsonObject &O, std::uint64_t Era) {
  if (!O["key"].isString() || !O["row-version"].isDouble())
    return std::nullopt;
  WatchedRow Row;
  Row.Key = O["key"].toString().toStdString();
  Row.Version = versionOf(O, Era);
  Row.Removed = O["deleted"].toBool();
  Row.Value =
      QByteArray::fromBase64(O["value"].toString().toLatin1()).toStdString();
  return Row;
}

} // namespace

QByteArray encodeConditionalWrite(const std::string &Table,
                                  const std::string &Key, StoreVersion Expected,
                                  const QByteArray &Value) {
  QJsonObject Row{{"table", QString::fromStdString(Table)},
                  {"part", ""},
                  {"key", QString::fromStdString(Key)}};
  QJsonObject Condition = Row;
  Condition["row-version"] = static_cast<qint64>(Expected.number());
  Row["value"] = QString::fromLatin1(Value.toBase64());
  return toCompactJson({{"expected", QJsonArray{Condition}},
                        {"set-keys", QJsonArray{Row}},
                        {"remove", QJsonArray{}}});
}

Result<Page> decodePage(const QByteArray &Body, std::uint64_t Era) {
  const QJsonDocument Document = QJsonDocument::fromJson(Body);
  const QJsonObject O = Document.object();
  if (!O["rows"].isArray() || !O["row-version"].isDouble())
    return Error{"the platform sent a malformed page of rows"};
  Page Out;
  Out.Version = versionOf(O, Era);
  Out.HasMore = O["has-more"].toBool();
  Out.StoreMs = storeMs(O);
  const QJsonArray Rows = O["rows"].toArray();
  for (const auto &Entry : Rows)
    if (std::optional<WatchedRow> Row = decodeRow(Entry.toObject(), Era))
      Out.Rows.push_back(std::move(*Row));
  return Out;
}

Result<WriteReceipt> decodeWriteReceipt(const QByteArray &Body,
                                        std::uint64_t Era) {
  const QJsonDocument Document = QJsonDocument::fromJson(Body);
  const QJsonObject O = Document.object();
  if (!O["row-version"].isDouble())
    return Error{"the platform's response to a write has no version"};
  return WriteReceipt{versionOf(O, Era), storeMs(O)};
}

QByteArray encodeValue(const std::string &Value, const std::string &Operation) {
  return toCompactJson({{"value", QString::fromStdString(Value)},
                        {"operation", QString::fromStdString(Operation)}});
}

Result<TableRow> decodeValue(const WatchedRow &Row) {
  const QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Row.Value));
  const QJsonObject O = Document.object();
  if (!O["value"].isString() || !O["operation"].isString())
    return Error{"row \"" + Row.Key + "\" is malformed"};
  return TableRow{Row.Version, O["value"].toString().toStdString(),
                  O["operation"].toString().toStdString()};
}

} // namespace amaranthspur::rows
