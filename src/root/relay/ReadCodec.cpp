#include "root/relay/ReadCodec.h"

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

Duration limited(std::int64_t Us) {
  return std::clamp(Duration(Us), Duration::zero(), Duration(MaxForwardedTime));
}

} // namespace

relay::ReadRequest toMessage(const ForwardedRead &Read) {
  relay::ReadRequest Message;
  Message.set_service(Read.Service.str());
  Message.set_id(Read.Read.Id);
  Message.set_kind(static_cast<std::uint32_t>(Read.Read.Kind));
  Message.set_name(Read.Read.Name);
  Message.set_body(Read.Read.Body);
  Message.set_text(Read.Read.Text);
  for (const auto &[Name, Value] : Read.Values) {
    relay::Setting *Setting = Message.add_settings();
    Setting->set_name(Name);
    Setting->set_value(Value);
  }
  if (Read.Prepared) {
    Message.set_prepared_shape(Read.Prepared->Shape);
    Message.set_prepared_write(Read.Prepared->Mode == Access::Write);
  }
  Message.mutable_floor()->set_term(Read.Floor.TermNumber);
  Message.mutable_floor()->set_index(Read.Floor.Index);
  Message.set_workspace(Read.Workspace.str());
  Message.set_urgency(Read.Urgency);
  Message.set_deadline_us(Read.Remaining.count());
  Message.set_dispatch_us(Read.DispatchIn.count());
  Message.set_queued_dispatch_us(Read.QueuedDispatchIn.count());
  return Message;
}

Result<ForwardedRead> forwardedReadOf(const relay::ReadRequest &Message) {
  ForwardedRead Read;
  Read.Service = ServiceName(Message.service());
  Read.Read.Id = Message.id();
  Read.Read.Kind = static_cast<StatementVerb>(Message.kind());
  Read.Read.Mode = Access::Read;
  Read.Read.Name = Message.name();
  Read.Read.Body = Message.body();
  Read.Read.Text = Message.text();
  const bool IsExecute = Read.Read.Kind == StatementVerb::Execute;
  if (!IsExecute && Read.Read.Kind != StatementVerb::Read)
    return Error{"only reads are forwarded"};
  if (!isWord(Read.Read.Id) || Read.Read.Text.empty() ||
      !isOneLine(Read.Read.Text) || !isOneLine(Read.Read.Body) ||
      !isOneLine(Read.Read.Name))
    return Error{"the forwarded read is malformed"};
  if (IsExecute) {
    if (Message.prepared_shape().empty() || Message.prepared_write() ||
        !isOneLine(Message.prepared_shape()))
      return Error{"the forwarded read has no prepared statement"};
    Read.Prepared = PreparedStatement{Access::Read, Message.prepared_shape()};
  }
  for (const relay::Setting &Setting : Message.settings()) {
    if (!isWord(Setting.name()) || !isOneLine(Setting.value()))
      return Error{"a setting of the forwarded read is malformed"};
    Read.Values[Setting.name()] = Setting.value();
  }
  if (!Message.has_floor())
    return Error{"the forwarded read has no floor"};
  Read.Floor = {Message.floor().term(), Message.floor().index()};
  if (!Message.workspace().empty() && !isWord(Message.workspace()))
    return Error{"the workspace of the forwarded read is malformed"};
  Read.Workspace = WorkspaceName(Message.workspace());
  Read.Urgency = Message.urgency();
  Read.Remaining = limited(Message.deadline_us());
  Read.DispatchIn = limited(Message.dispatch_us());
  Read.QueuedDispatchIn = limited(Message.queued_dispatch_us());
  return Read;
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
