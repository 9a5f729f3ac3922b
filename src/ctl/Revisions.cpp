#include "ctl/Revisions.h"

#include "config/Generation.h"
#include "core/Async.h"

#include <algorithm>

namespace amaranthspur::ctl {
namespace {

/// Maximum number of revisions that are searched for an operation. At 3,100
/// changes per day this covers more than one day.
constexpr std::size_t MaxSearched = 5000;
/// Time that is reserved to look up a change whose response was lost.
constexpr Duration LookupTime = std::chrono::seconds(2);

/// Determines the outcome of \p Request from the history up to \p Newest.
QCoro::Task<AcceptOutcome> findOutcome(Platform &Client, AcceptRequest Request,
                                       config::Head Newest,
                                       TimePoint Deadline) {
  AcceptOutcome Outcome;
  const Result<std::vector<config::Head>> Since = co_await readHistory(
      Client, Newest, Request.FromRevision, MaxSearched, Deadline);
  if (!succeeded(Since)) {
    Outcome.Detail = errorOf(Since);
    co_return Outcome;
  }
  const std::vector<config::Head> &Found = valueOf(Since);
  const std::string Hash = config::hashOf(config::contentOf(Request.Answers));
  for (const config::Head &H : Found) {
    if (H.Operation != Request.Operation)
      continue;
    Outcome.Result =
        H.Hash == Hash ? AcceptResult::Accepted : AcceptResult::Conflict;
    Outcome.Accepted = H;
    if (H.Hash != Hash)
      Outcome.Detail = "the operation identifier was used for other answers";
    co_return Outcome;
  }
  const bool Complete =
      Found.empty() || Found.back().Revision == Request.FromRevision + 1;
  if (!Complete) {
    Outcome.Detail = "too many revisions have been accepted since revision " +
                     std::to_string(Request.FromRevision);
    co_return Outcome;
  }
  if (Newest.Revision == Request.FromRevision)
    co_return Outcome; // The platform may still receive the write.
  Outcome.Result = AcceptResult::Conflict;
  Outcome.Winners.assign(Found.rbegin(), Found.rend());
  if (Newest.Revision < Request.FromRevision)
    Outcome.Detail = "there is no revision " +
                     std::to_string(Request.FromRevision) + "; the newest is " +
                     std::to_string(Newest.Revision);
  co_return Outcome;
}

/// Stores the content and the record of the revision \p Next. The row that
/// refers to them is written afterwards.
QCoro::Task<Result<Success>> storeObjects(Platform &Client, config::Head Next,
                                          std::string Content,
                                          TimePoint Deadline) {
  const Result<Success> Stored = co_await Client.putObject(
      config::contentObject(Next.Hash), Content, Deadline);
  if (!succeeded(Stored))
    co_return Error{errorOf(Stored)};
  const Result<Success> Recorded = co_await Client.putObject(
      config::recordObject(Next.Operation), config::formatHead(Next), Deadline);
  if (!succeeded(Recorded))
    co_return Error{errorOf(Recorded)};
  // QCoro represents a missing result by std::monostate, so Success is a type
  // of its own.
  co_return Result<Success>(Success());
}

} // namespace

QCoro::Task<Result<HeadRow>> readHead(Platform &Client, TimePoint Deadline) {
  const Result<TableRow> Row =
      co_await Client.readRow(config::HeadKey, Deadline);
  if (!succeeded(Row))
    co_return Error{errorOf(Row)};
  Result<config::Head> Head = config::parseHead(valueOf(Row).Value);
  if (!succeeded(Head))
    co_return Error{errorOf(Head)};
  co_return HeadRow{valueOf(std::move(Head)), valueOf(Row).Version};
}

QCoro::Task<Result<std::vector<config::Head>>>
readHistory(Platform &Client, config::Head Newest, std::uint64_t After,
            std::size_t Limit, TimePoint Deadline) {
  std::vector<config::Head> Found;
  config::Head Next = std::move(Newest);
  while (Next.Revision > After && Found.size() < Limit) {
    Found.push_back(Next);
    if (Next.Previous.empty())
      break;
    const Result<std::optional<std::string>> Record = co_await Client.getObject(
        config::recordObject(Next.Previous), Deadline);
    if (!succeeded(Record))
      co_return Error{errorOf(Record)};
    if (!valueOf(Record))
      co_return Error{"the record of operation " + Next.Previous +
                      " is missing"};
    Result<config::Head> Earlier = config::parseHead(*valueOf(Record));
    if (!succeeded(Earlier))
      co_return Error{errorOf(Earlier)};
    if (valueOf(Earlier).Revision >= Next.Revision)
      co_return Error{"the records of the revisions are not in order"};
    Next = valueOf(std::move(Earlier));
  }
  co_return Found;
}

QCoro::Task<Result<config::Questionnaire>>
readAnswers(Platform &Client, std::string Hash, TimePoint Deadline) {
  if (Hash.empty())
    co_return config::Questionnaire(); // There is no revision yet.
  const Result<std::optional<std::string>> Content =
      co_await Client.getObject(config::contentObject(Hash), Deadline);
  if (!succeeded(Content))
    co_return Error{errorOf(Content)};
  if (!valueOf(Content))
    co_return Error{"the object store has no content " + Hash};
  if (config::hashOf(*valueOf(Content)) != Hash)
    co_return Error{"the content does not match its hash " + Hash};
  co_return config::answersFrom(*valueOf(Content));
}

QCoro::Task<AcceptOutcome>
acceptRevision(Platform &Client, AcceptRequest Request, TimePoint Deadline) {
  AcceptOutcome Outcome;
  Outcome.Result = AcceptResult::NotAttempted;
  const Result<HeadRow> Head = co_await readHead(Client, Deadline);
  if (!succeeded(Head)) {
    Outcome.Detail = errorOf(Head);
    co_return Outcome;
  }
  const HeadRow Before = valueOf(Head);
  if (Before.Head.Revision != Request.FromRevision)
    co_return co_await findOutcome(Client, Request, Before.Head, Deadline);
  const std::string Content = config::contentOf(Request.Answers);
  const config::Head Next{Before.Head.Revision + 1, config::hashOf(Content),
                          Request.Operation,        Request.Author,
                          Request.AcceptedAt,       Before.Head.Operation};
  if (Next.Hash == Before.Head.Hash) {
    Outcome.Result = AcceptResult::Unchanged;
    Outcome.Accepted = Before.Head;
    co_return Outcome;
  }
  const Result<Success> Stored =
      co_await storeObjects(Client, Next, Content, Deadline);
  if (!succeeded(Stored)) {
    Outcome.Detail = errorOf(Stored);
    co_return Outcome;
  }
  const Result<CasOutcome> Set = co_await Client.compareAndSet(
      config::HeadKey, Before.Version, config::formatHead(Next),
      Request.Operation, Deadline - LookupTime);
  if (succeeded(Set) && valueOf(Set).Applied) {
    Outcome.Result = AcceptResult::Accepted;
    Outcome.Accepted = Next;
    co_return Outcome;
  }
  // Either another change was accepted first, or the response was lost. In the
  // latter case further changes may have been accepted after this one.
  const Result<HeadRow> After = co_await readHead(Client, Deadline);
  if (!succeeded(After)) {
    Outcome.Result = AcceptResult::Unknown;
    Outcome.Detail = errorOf(After);
    co_return Outcome;
  }
  co_return co_await findOutcome(Client, Request, valueOf(After).Head,
                                 Deadline);
}

} // namespace amaranthspur::ctl
