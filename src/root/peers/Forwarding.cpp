#include "root/peers/Forwarding.h"

namespace amaranthspur {

namespace {

/// An answer may arrive this long after the deadline of its statement. After
/// that, the outcome of the statement is unknown.
constexpr Duration AnswerGrace = milliseconds(400);
/// If an answer gets no credit for this long, the VM that sent the request is
/// assumed to have failed.
constexpr Duration CreditTimeout = std::chrono::seconds(10);

std::int64_t remainingMicroseconds(TimePoint Deadline) {
  return std::max<std::int64_t>((Deadline - steadyNow()).count(), 0);
}

peer::StatementRequest encodeRequest(const ExecuteRequest &Order,
                                     std::uint64_t Correlation) {
  peer::StatementRequest Request;
  Request.set_correlation(Correlation);
  Request.set_stream(Order.Stream.Number);
  Request.set_service(Order.Service.str());
  Request.set_server(Order.Server.str());
  Request.set_caller(Order.Caller.str());
  Request.set_work_class(Order.Class.str());
  Request.set_shape(Order.Shape);
  Request.set_read(Order.RequestedAccess == Access::Read);
  Request.set_control_of_transaction(Order.BeginsTransaction);
  Request.set_in_transaction(Order.InTransaction);
  Request.mutable_floor()->set_term(Order.Floor.TermNumber);
  Request.mutable_floor()->set_index(Order.Floor.Index);
  Request.set_max_staleness_us(Order.MaxStaleness.count());
  Request.set_deadline_us(remainingMicroseconds(Order.Deadline));
  Request.set_frames(Order.Frames);
  return Request;
}

ExecuteRequest decodeRequest(const EntryVmId &From,
                             peer::StatementRequest &Request) {
  ExecuteRequest Order;
  Order.Service = ServiceName(Request.service());
  Order.Server = ServerId(Request.server());
  Order.Stream = {From, Request.stream()};
  Order.Caller = CallerName(Request.caller());
  Order.Class = ClassName(Request.work_class());
  Order.Shape = Request.shape();
  Order.RequestedAccess = Request.read() ? Access::Read : Access::Write;
  Order.InTransaction = Request.in_transaction();
  Order.BeginsTransaction = Request.control_of_transaction();
  Order.Floor = {Request.floor().term(), Request.floor().index()};
  Order.MaxStaleness = Duration(Request.max_staleness_us());
  Order.Deadline = steadyNow() + Duration(Request.deadline_us());
  Order.Frames = std::move(*Request.mutable_frames());
  return Order;
}

/// Decodes the result in the last message of an answer. An unknown refusal
/// reason becomes ConnectionLost, and an unknown refusal kind becomes
/// OutcomeUnknown, which is always safe.
StatementResult decodeResult(const peer::StatementAnswer &Last) {
  StatementResult Result;
  Result.Position = {Last.position().term(), Last.position().index()};
  Result.State = static_cast<TransactionState>(Last.transaction_state());
  if (!Last.refused())
    return Result;
  Refusal R;
  const auto Reason = static_cast<RefusalReason>(Last.refusal_reason());
  const bool Known = nameOf(Reason) != "unknown";
  R.Reason = Known ? Reason : RefusalReason::ConnectionLost;
  R.Kind = Last.refusal_kind() == static_cast<unsigned>(RefusalKind::NotRun)
               ? RefusalKind::NotRun
               : RefusalKind::OutcomeUnknown;
  R.Detail = Last.refusal_detail();
  Result.Refused = std::move(R);
  return Result;
}

void encodeResult(const StatementResult &Result, peer::StatementAnswer &Last) {
  Last.set_last(true);
  Last.mutable_position()->set_term(Result.Position.TermNumber);
  Last.mutable_position()->set_index(Result.Position.Index);
  Last.set_transaction_state(static_cast<unsigned>(Result.State));
  if (!Result.Refused)
    return;
  Last.set_refused(true);
  Last.set_refusal_kind(static_cast<unsigned>(Result.Refused->Kind));
  Last.set_refusal_reason(static_cast<unsigned>(Result.Refused->Reason));
  Last.set_refusal_detail(Result.Refused->Detail);
}

} // namespace

/// Runs statements at one owner.
class RemoteExecutor final : public StatementExecutor {
public:
  RemoteExecutor(Forwarder &Parent, EntryVmId Owner)
      : Parent(Parent), Owner(std::move(Owner)) {}

  QCoro::Task<StatementResult> execute(ExecuteRequest Request,
                                       AnswerSink &Sink) override {
    return this->Parent.execute(this->Owner, std::move(Request), Sink);
  }
  void closeStream(const StreamId &Stream) override {
    this->Parent.closeStream(this->Owner, Stream);
  }
  void cancel(const StreamId &Stream) override {
    this->Parent.cancel(this->Owner, Stream);
  }

private:
  Forwarder &Parent;
  EntryVmId Owner;
};

Forwarder::Forwarder(PeerNetwork &Network, Metrics &Counters,
                     std::uint64_t Incarnation)
    : Network(Network), Counters(Counters), NextCorrelation(Incarnation) {
  Network.setHandler(peer::Envelope::kStatementAnswer,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->onAnswer(From,
                                      *Message.mutable_statement_answer());
                     });
}

std::shared_ptr<StatementExecutor>
Forwarder::executorAt(const EntryVmId &Owner) {
  return std::make_shared<RemoteExecutor>(*this, Owner);
}

QCoro::Task<StatementResult>
Forwarder::execute(EntryVmId Owner, ExecuteRequest Order, AnswerSink &Sink) {
  const std::uint64_t Correlation = this->NextCorrelation++;
  const TimePoint Until = Order.Deadline + AnswerGrace;
  Request Entry;
  Entry.Owner = Owner;
  Entry.Stream = Order.Stream;
  Entry.Service = Order.Service;
  Entry.Server = Order.Server;
  Entry.RequestedAccess = Order.RequestedAccess;
  peer::Envelope Message;
  *Message.mutable_statement_request() = encodeRequest(Order, Correlation);
  this->Requests.emplace(Correlation, &Entry);
  StatementResult Result;
  if (this->Network.send(Owner, std::move(Message)))
    Result = co_await this->receiveAnswer(Entry, Correlation, Until, Sink);
  else
    Result =
        makeRefusedResult(notRun(RefusalReason::OwnerUnreachable, Owner.str()));
  this->Requests.erase(Correlation);
  co_return Result;
}

QCoro::Task<StatementResult> Forwarder::receiveAnswer(Request &Entry,
                                                      std::uint64_t Correlation,
                                                      TimePoint Until,
                                                      AnswerSink &Sink) {
  for (;;) {
    std::optional<peer::StatementAnswer> Part = Entry.Answers.tryPop();
    if (!Part) {
      if (Entry.Answers.closed())
        co_return makeRefusedResult(
            outcomeUnknown(RefusalReason::OwnerUnreachable, Entry.Owner.str()));
      const bool InTime = co_await Entry.Answers.waitReady(Until);
      if (!InTime) {
        this->closeStream(Entry.Owner, Entry.Stream);
        co_return makeRefusedResult(
            outcomeUnknown(RefusalReason::DeadlineExpired,
                           "the owner did not answer in time"));
      }
      continue;
    }
    const std::size_t Bytes = Part->frames().size();
    const bool Last = Part->last();
    bool Delivered = true;
    if (Bytes > 0)
      Delivered = co_await Sink.deliver(std::move(*Part->mutable_frames()));
    if (!Delivered) {
      this->closeStream(Entry.Owner, Entry.Stream);
      co_return makeRefusedResult(
          outcomeUnknown(RefusalReason::ConnectionLost, "the caller is gone"));
    }
    if (Last)
      co_return decodeResult(*Part);
    peer::Envelope Credit;
    Credit.mutable_answer_credit()->set_correlation(Correlation);
    Credit.mutable_answer_credit()->set_bytes(static_cast<unsigned>(Bytes));
    this->Network.send(Entry.Owner, std::move(Credit));
  }
}

void Forwarder::onAnswer(const EntryVmId &From, peer::StatementAnswer &Answer) {
  const auto Found = this->Requests.find(Answer.correlation());
  if (Found == this->Requests.end() || Found->second->Owner != From) {
    this->Counters.add(Counter::LateAnswers);
    return;
  }
  Request &Entry = *Found->second;
  // A gap in the sequence means that a part of the answer was lost, so the
  // answer cannot be completed.
  if (Answer.sequence() != Entry.NextSequence++) {
    Entry.Answers.close();
    return;
  }
  if (!Entry.Answers.push(std::move(Answer)))
    Entry.Answers.close();
}

void Forwarder::failRequestsTo(const EntryVmId &Dead) {
  for (auto &[Correlation, Entry] : this->Requests)
    if (Entry->Owner == Dead)
      Entry->Answers.close();
}

void Forwarder::failSuperseded(const GroupView &View) {
  for (auto &[Correlation, Entry] : this->Requests)
    if (Entry->Service == View.Service &&
        Entry->RequestedAccess == Access::Write && View.Primary &&
        Entry->Server != *View.Primary)
      Entry->Answers.close();
}

void Forwarder::closeStream(const EntryVmId &Owner, const StreamId &Stream) {
  peer::Envelope Message;
  Message.mutable_stream_close()->set_stream(Stream.Number);
  this->Network.send(Owner, std::move(Message));
}

void Forwarder::cancel(const EntryVmId &Owner, const StreamId &Stream) {
  for (const auto &[Correlation, Entry] : this->Requests) {
    if (Entry->Owner != Owner || Entry->Stream != Stream)
      continue;
    peer::Envelope Message;
    Message.mutable_cancel_request()->set_correlation(Correlation);
    this->Network.send(Owner, std::move(Message));
  }
}

/// Sends the parts of one answer to the VM that sent the request.
class PeerAnswerSink final : public AnswerSink {
public:
  PeerAnswerSink(PeerNetwork &Network, EntryVmId To, std::uint64_t Correlation,
                 ForwardingService::FlowControl &Control)
      : Network(Network), To(std::move(To)), Correlation(Correlation),
        Control(Control) {}

  QCoro::Task<bool> deliver(std::string Frames) override {
    // A chunk is at most half a window, so that the next chunk can be in
    // transit while the credit for the previous one is returned.
    constexpr std::size_t MaxChunkBytes = AnswerWindowBytes / 2;
    std::size_t Offset = 0;
    while (Offset < Frames.size()) {
      const std::size_t ChunkBytes =
          std::min(MaxChunkBytes, Frames.size() - Offset);
      while (this->Control.Window < ChunkBytes) {
        const bool Credited =
            co_await this->Control.Credited.wait(steadyNow() + CreditTimeout);
        if (!Credited)
          co_return false;
      }
      this->Control.Window -= ChunkBytes;
      peer::Envelope Message;
      peer::StatementAnswer &Part = *Message.mutable_statement_answer();
      Part.set_frames(Frames.substr(Offset, ChunkBytes));
      if (!this->sendPart(std::move(Message)))
        co_return false;
      Offset += ChunkBytes;
    }
    co_return true;
  }

  /// Sends the last part of the answer. If the queue to the peer is full, this
  /// part is lost, and the requesting VM reports an unknown outcome after the
  /// deadline.
  void finish(const StatementResult &Result) {
    peer::Envelope Message;
    encodeResult(Result, *Message.mutable_statement_answer());
    this->sendPart(std::move(Message));
  }

private:
  bool sendPart(peer::Envelope Message) {
    peer::StatementAnswer &Part = *Message.mutable_statement_answer();
    Part.set_correlation(this->Correlation);
    Part.set_sequence(this->NextSequence++);
    return this->Network.send(this->To, std::move(Message));
  }

  PeerNetwork &Network;
  EntryVmId To;
  std::uint64_t Correlation;
  ForwardingService::FlowControl &Control;
  std::uint32_t NextSequence = 0;
};

ForwardingService::ForwardingService(PeerNetwork &Network, Lookup FindOwned)
    : Network(Network), FindOwned(std::move(FindOwned)) {
  Network.setHandler(
      peer::Envelope::kStatementRequest,
      [this](const EntryVmId &From, peer::Envelope &Message) {
        this->serve(From, std::move(*Message.mutable_statement_request()));
      });
  Network.setHandler(peer::Envelope::kAnswerCredit,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       const auto Found = this->Flows.find(
                           {From, Message.answer_credit().correlation()});
                       if (Found == this->Flows.end())
                         return;
                       Found->second->Window += Message.answer_credit().bytes();
                       Found->second->Credited.wake();
                     });
  Network.setHandler(peer::Envelope::kStreamClose,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->closeStream(From, Message.stream_close().stream());
                     });
  Network.setHandler(peer::Envelope::kCancelRequest,
                     [this](const EntryVmId &From, peer::Envelope &Message) {
                       this->cancel(From,
                                    Message.cancel_request().correlation());
                     });
}

QCoro::Task<> ForwardingService::serve(EntryVmId From,
                                       peer::StatementRequest Request) {
  const TaskGroup::Guard Guard(this->Tasks);
  const std::uint64_t Correlation = Request.correlation();
  ExecuteRequest Order = decodeRequest(From, Request);
  FlowControl Control;
  Control.Stream = Order.Stream;
  Control.Server = Order.Server;
  PeerAnswerSink Sink(this->Network, From, Correlation, Control);
  const std::shared_ptr<StatementExecutor> Executor =
      this->FindOwned(Order.Server);
  if (!Executor ||
      !this->Flows.emplace(AnswerKey(From, Correlation), &Control).second) {
    Sink.finish(makeRefusedResult(notRun(RefusalReason::NotOwner)));
    co_return;
  }
  const StreamId Stream = Order.Stream;
  const ServerId Server = Order.Server;
  const StatementResult Result =
      co_await Executor->execute(std::move(Order), Sink);
  this->Flows.erase({From, Correlation});
  if (!Result.Refused && Result.State != TransactionState::Idle)
    this->StreamServers[Stream] = Server;
  else
    this->StreamServers.erase(Stream);
  Sink.finish(Result);
}

void ForwardingService::closeStream(const EntryVmId &From,
                                    std::uint64_t Number) {
  const StreamId Stream{From, Number};
  for (const auto &[Key, Control] : this->Flows)
    if (Control->Stream == Stream)
      if (const auto Executor = this->FindOwned(Control->Server))
        Executor->closeStream(Stream);
  const auto Found = this->StreamServers.find(Stream);
  if (Found == this->StreamServers.end())
    return;
  if (const auto Executor = this->FindOwned(Found->second))
    Executor->closeStream(Stream);
  this->StreamServers.erase(Found);
}

void ForwardingService::cancel(const EntryVmId &From,
                               std::uint64_t Correlation) {
  const auto Found = this->Flows.find({From, Correlation});
  if (Found == this->Flows.end())
    return;
  if (const auto Executor = this->FindOwned(Found->second->Server))
    Executor->cancel(Found->second->Stream);
}

} // namespace amaranthspur
