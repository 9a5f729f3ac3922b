// The extended query protocol of Session: Parse, Bind, Describe, Execute and
// Close. Parameters and results use the text format.
#include "testing/fake-backend/ControlStatements.h"
#include "testing/fake-backend/Session.h"

namespace amaranthspur::fake {
namespace {

constexpr std::uint32_t TextTypeOid = 25;
constexpr std::uint32_t NullLength = 0xffffffff;

const SqlError MalformedError{"08P01", "message is malformed"};

/// Reads fields from the front of a message body. A read past the end sets Good
/// to false and returns an empty value.
class BodyReader {
public:
  explicit BodyReader(std::string_view Body) : Rest(Body) {}

  std::string text() {
    const std::size_t End = this->Rest.find('\0');
    if (End == std::string_view::npos) {
      this->Good = false;
      return {};
    }
    std::string Text(this->Rest.substr(0, End));
    this->Rest.remove_prefix(End + 1);
    return Text;
  }

  std::string_view bytes(std::size_t Count) {
    if (this->Rest.size() < Count) {
      this->Good = false;
      return {};
    }
    const std::string_view Bytes = this->Rest.substr(0, Count);
    this->Rest.remove_prefix(Count);
    return Bytes;
  }

  std::uint32_t number(std::size_t Size) {
    std::uint32_t Value = 0;
    for (const char C : this->bytes(Size))
      Value = (Value << 8U) | static_cast<unsigned char>(C);
    return Value;
  }

  bool good() const { return this->Good; }

private:
  std::string_view Rest;
  bool Good = true;
};

/// Reads a list of format codes and returns whether all select text.
bool readTextFormats(BodyReader &Reader) {
  bool AllText = true;
  const std::uint32_t Count = Reader.number(2);
  for (std::uint32_t I = 0; I < Count && Reader.good(); ++I)
    AllText = Reader.number(2) == 0 && AllText;
  return AllText;
}

Parameters readParameters(BodyReader &Reader) {
  Parameters Values;
  const std::uint32_t Count = Reader.number(2);
  for (std::uint32_t I = 0; I < Count && Reader.good(); ++I) {
    const std::uint32_t Length = Reader.number(4);
    if (Length == NullLength)
      Values.emplace_back();
    else
      Values.emplace_back(std::string(Reader.bytes(Length)));
  }
  return Values;
}

/// Builds ParameterDescription with type text for all parameters.
std::string buildParameterDescription(std::size_t Count) {
  std::string Body;
  Body += static_cast<char>(Count >> 8U);
  Body += static_cast<char>(Count & 0xffU);
  for (std::size_t I = 0; I < Count; ++I)
    Body += std::string("\0\0\0", 3) + static_cast<char>(TextTypeOid);
  return pg::buildFrame('t', Body);
}

std::string buildRows(const std::vector<std::string> &Columns) {
  return Columns.empty() ? pg::buildFrame('n', "")
                         : pg::buildRowDescription(Columns);
}

} // namespace

/// Reports an error of the extended protocol and skips messages until Sync.
void Session::skipToSync(const SqlError &E) {
  this->fail(E);
  this->SkippingToSync = true;
}

/// Determines the result columns and parameters of a statement without running
/// it.
SqlResult<Session::PreparedStatement>
Session::describeStatement(std::string_view Text) {
  std::string_view Rest = Text;
  const Statement S = parseStatement(consumeStatement(Rest));
  if (parseStatement(Rest).Form != StatementForm::Empty)
    return SqlError{"42601", "a prepared statement must be a single statement"};
  PreparedStatement Found;
  Found.Text = Text;
  if (S.Form == StatementForm::Control)
    Found.Columns = controlColumns(S.Call.Function);
  if (S.Form != StatementForm::Read && S.Form != StatementForm::Write)
    return Found;
  // Tables created by the open transaction exist only in the Working image.
  const bool HasWriteLock = this->Server.WriterLock.heldBy(this);
  auto Sql = this->Server.Storage.prepare(
      HasWriteLock ? Image::Working : Image::Committed, S.Text);
  if (errorIn(Sql) != nullptr)
    return *errorIn(Sql);
  Found.Columns = std::get<PreparedSql>(Sql).columns();
  Found.ParameterCount = std::get<PreparedSql>(Sql).parameterCount();
  return Found;
}

void Session::handleParse(std::string_view Body) {
  BodyReader Reader(Body);
  const std::string Name = Reader.text();
  const std::string Text = Reader.text();
  if (!Reader.good())
    return this->skipToSync(MalformedError);
  if (this->State == TransactionState::Failed) {
    std::string_view Rest = Text;
    const StatementForm Form = parseStatement(consumeStatement(Rest)).Form;
    if (Form != StatementForm::Commit && Form != StatementForm::Rollback)
      return this->skipToSync(FailedTransactionError);
  }
  auto Found = this->describeStatement(Text);
  if (errorIn(Found) != nullptr)
    return this->skipToSync(*errorIn(Found));
  this->PreparedStatements.insert_or_assign(
      Name, std::get<PreparedStatement>(std::move(Found)));
  this->Answer.add(pg::buildFrame('1', ""));
}

void Session::handleBind(std::string_view Body) {
  BodyReader Reader(Body);
  const std::string PortalName = Reader.text();
  const std::string StatementName = Reader.text();
  const bool TextParameters = readTextFormats(Reader);
  Parameters Values = readParameters(Reader);
  const bool TextResults = readTextFormats(Reader);
  if (!Reader.good())
    return this->skipToSync(MalformedError);
  if (!TextParameters || !TextResults)
    return this->skipToSync({"0A000", "binary format is not supported"});
  const auto Found = this->PreparedStatements.find(StatementName);
  if (Found == this->PreparedStatements.end())
    return this->skipToSync({"26000", "prepared statement does not exist"});
  if (Values.size() != Found->second.ParameterCount)
    return this->skipToSync({"08P01", "wrong number of parameters"});
  this->Portals.insert_or_assign(
      PortalName,
      Portal{Found->second.Text, Found->second.Columns, std::move(Values)});
  this->Answer.add(pg::buildFrame('2', ""));
}

void Session::handleDescribe(std::string_view Body) {
  BodyReader Reader(Body);
  const bool OfStatement = Reader.bytes(1) == "S";
  const std::string Name = Reader.text();
  if (!Reader.good())
    return this->skipToSync(MalformedError);
  if (OfStatement) {
    const auto Found = this->PreparedStatements.find(Name);
    if (Found == this->PreparedStatements.end())
      return this->skipToSync({"26000", "prepared statement does not exist"});
    this->Answer.add(buildParameterDescription(Found->second.ParameterCount));
    return this->Answer.add(buildRows(Found->second.Columns));
  }
  const auto Found = this->Portals.find(Name);
  if (Found == this->Portals.end())
    return this->skipToSync({"34000", "portal does not exist"});
  this->Answer.add(buildRows(Found->second.Columns));
}

/// Runs a portal to completion. Row limits are not supported.
QCoro::Task<> Session::handleExecute(std::string_view Body) {
  BodyReader Reader(Body);
  const std::string Name = Reader.text();
  const std::uint32_t MaxRows = Reader.number(4);
  const auto Found = this->Portals.find(Name);
  if (!Reader.good() || Found == this->Portals.end() || MaxRows != 0) {
    const SqlError Failure =
        !Reader.good() ? MalformedError
        : MaxRows != 0 ? SqlError{"0A000", "row limits are not supported"}
                       : SqlError{"34000", "portal does not exist"};
    this->skipToSync(Failure);
    co_return;
  }
  this->Answer.DescribeRows = false;
  this->StatementWait.Cancelled = false;
  std::string_view Rest = Found->second.Statement;
  const Statement S = parseStatement(consumeStatement(Rest));
  const bool Good = co_await this->execute(S, Found->second.Values);
  if (!Good)
    this->SkippingToSync = true;
}

void Session::handleClose(std::string_view Body) {
  BodyReader Reader(Body);
  const bool OfStatement = Reader.bytes(1) == "S";
  const std::string Name = Reader.text();
  if (!Reader.good())
    return this->skipToSync(MalformedError);
  if (OfStatement)
    this->PreparedStatements.erase(Name);
  else
    this->Portals.erase(Name);
  this->Answer.add(pg::buildFrame('3', ""));
}

} // namespace amaranthspur::fake
