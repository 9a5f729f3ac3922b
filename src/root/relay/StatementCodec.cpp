#include "root/relay/StatementCodec.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Returns whether \p Text stays on one line, so that it cannot hold a second
/// statement.
bool isOneLine(const std::string &Text) {
  return Text.find_first_of("\r\n") == std::string::npos;
}

/// Returns whether \p Text is a single word.
bool isWord(const std::string &Text) {
  return !Text.empty() && Text.find(' ') == std::string::npos &&
         isOneLine(Text);
}

/// Longest time since the boot of a machine, to keep sums in range.
constexpr Duration MaxBootTime = std::chrono::hours(24 * 365 * 100);

Duration limited(std::int64_t Us) {
  return std::clamp(Duration(Us), Duration::zero(), Duration(MaxForwardedTime));
}

} // namespace

relay::ReadRequest toMessage(const ForwardedStatement &Given) {
  relay::ReadRequest Message;
  Message.set_service(Given.Service.str());
  Message.set_id(Given.Query.Id);
  Message.set_kind(static_cast<std::uint32_t>(Given.Query.Kind));
  Message.set_name(Given.Query.Name);
  Message.set_body(Given.Query.Body);
  Message.set_text(Given.Query.Text);
  for (const auto &[Name, Value] : Given.Values) {
    relay::Setting *Setting = Message.add_settings();
    Setting->set_name(Name);
    Setting->set_value(Value);
  }
  if (Given.Prepared) {
    Message.set_prepared_shape(Given.Prepared->Shape);
    Message.set_prepared_write(Given.Prepared->Mode == Access::Write);
  }
  if (Given.Floor) {
    Message.mutable_floor()->set_term(Given.Floor->TermNumber);
    Message.mutable_floor()->set_index(Given.Floor->Index);
  }
  Message.set_at_primary(Given.AtPrimary);
  Message.set_sent_us(Given.SentAt.count());
  Message.set_workspace(Given.Workspace.str());
  Message.set_urgency(Given.Urgency);
  Message.set_deadline_us(Given.Remaining.count());
  Message.set_dispatch_us(Given.DispatchIn.count());
  Message.set_queued_dispatch_us(Given.QueuedDispatchIn.count());
  return Message;
}

Result<ForwardedStatement>
forwardedStatementOf(const relay::ReadRequest &Message) {
  ForwardedStatement Given;
  Given.Service = ServiceName(Message.service());
  Given.Query.Id = Message.id();
  Given.Query.Kind = static_cast<StatementVerb>(Message.kind());
  Given.Query.Name = Message.name();
  Given.Query.Body = Message.body();
  Given.Query.Text = Message.text();
  const bool IsExecute = Given.Query.Kind == StatementVerb::Execute;
  if (!IsExecute && Given.Query.Kind != StatementVerb::Read &&
      Given.Query.Kind != StatementVerb::Write)
    return Error{"only reads and writes are forwarded"};
  if (!isWord(Given.Query.Id) || Given.Query.Text.empty() ||
      !isOneLine(Given.Query.Text) || !isOneLine(Given.Query.Body) ||
      !isOneLine(Given.Query.Name))
    return Error{"the forwarded statement is malformed"};
  if (IsExecute) {
    if (Message.prepared_shape().empty() ||
        !isOneLine(Message.prepared_shape()))
      return Error{"the forwarded statement has no prepared statement"};
    Given.Prepared = PreparedStatement{Message.prepared_write() ? Access::Write
                                                                : Access::Read,
                                       Message.prepared_shape()};
  }
  Given.Query.Mode = Given.isWrite() ? Access::Write : Access::Read;
  for (const relay::Setting &Setting : Message.settings()) {
    if (!isWord(Setting.name()) || !isOneLine(Setting.value()))
      return Error{"a setting of the forwarded statement is malformed"};
    Given.Values[Setting.name()] = Setting.value();
  }
  Given.AtPrimary = Message.at_primary();
  if (Message.has_floor())
    Given.Floor = LogPosition{Message.floor().term(), Message.floor().index()};
  if (Given.isWrite() ? Given.AtPrimary || Given.Floor
                      : Given.AtPrimary == Given.Floor.has_value())
    return Error{"the servers that may run the statement are not clear"};
  if (!Message.workspace().empty() && !isWord(Message.workspace()))
    return Error{"the workspace of the forwarded statement is malformed"};
  Given.Workspace = WorkspaceName(Message.workspace());
  if (Given.isWrite() && Given.Workspace.empty())
    return Error{"writes are forwarded for workspaces only"};
  if (Message.sent_us() < 0 || Message.sent_us() > MaxBootTime.count())
    return Error{"the time of sending is out of range"};
  Given.SentAt = Duration(Message.sent_us());
  Given.Urgency = Message.urgency();
  Given.Remaining = limited(Message.deadline_us());
  Given.DispatchIn = limited(Message.dispatch_us());
  Given.QueuedDispatchIn = limited(Message.queued_dispatch_us());
  return Given;
}

relay::ReadReply toMessage(const ForwardedAnswer &Given) {
  relay::ReadReply Message;
  for (const std::string &Row : Given.Given.Rows)
    Message.add_rows(Row);
  if (Given.Given.Code)
    Message.set_code(static_cast<std::uint32_t>(*Given.Given.Code) + 1);
  Message.set_detail(Given.Given.Detail);
  if (Given.Given.Position) {
    Message.mutable_position()->set_term(Given.Given.Position->TermNumber);
    Message.mutable_position()->set_index(Given.Given.Position->Index);
  }
  Message.set_server(Given.LastServer.str());
  Message.set_attempts(Given.Attempts);
  Message.set_dispatched(Given.Dispatched);
  Message.set_trail(Given.Trail);
  Message.set_holder(Given.Holder.str());
  return Message;
}

Result<ForwardedAnswer> forwardedAnswerOf(const relay::ReadReply &Message) {
  ForwardedAnswer Given;
  Given.Given.Rows.assign(Message.rows().begin(), Message.rows().end());
  if (Message.code() != 0) {
    const auto Code = static_cast<AnswerCode>(Message.code() - 1);
    const bool IsKnown =
        std::any_of(EnumNames<AnswerCode>::Entries.begin(),
                    EnumNames<AnswerCode>::Entries.end(),
                    [Code](const auto &Entry) { return Entry.first == Code; });
    if (!IsKnown)
      return Error{"the answer has an unknown code"};
    Given.Given.Code = Code;
  }
  Given.Given.Detail = Message.detail();
  if (!Message.holder().empty() && !isWord(Message.holder()))
    return Error{"the holder is malformed"};
  Given.Holder = ServerId(Message.holder());
  if (!isOneLine(Given.Given.Detail) ||
      !std::all_of(Given.Given.Rows.begin(), Given.Given.Rows.end(), isOneLine))
    return Error{"the answer is malformed"};
  if (Message.has_position())
    Given.Given.Position =
        LogPosition{Message.position().term(), Message.position().index()};
  Given.LastServer = ServerId(Message.server());
  Given.Attempts = Message.attempts();
  Given.Dispatched = Message.dispatched();
  Given.Trail = Message.trail();
  return Given;
}

} // namespace amaranthspur
