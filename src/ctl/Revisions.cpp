#include "ctl/Revisions.h"

#include "config/Generation.h"
#include "core/Async.h"

#include <algorithm>

namespace amaranthspur::ctl {
namespace {

/// Revisions that are searched for an operation. At 3,100 changes a day this
/// reaches more than a day back.
constexpr std::size_t MaxSearched = 5000;
/// Time kept for looking the change up after its answer was lost.
constexpr Duration LookUpTime = std::chrono::seconds(2);

/// Finds out what became of \p Request, given the newest revision.
QCoro::Task<AcceptOutcome> findOutcome(Platform &Service, AcceptRequest Request,
                                       config::Head Newest,
                                       TimePoint Deadline) {
  AcceptOutcome Outcome;
  const Result<std::vector<config::Head>> Since = co_await readHistory(
      Service, Newest, Request.FromRevision, MaxSearched, Deadline);
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
    co_return Outcome; // The write may still arrive.
  Outcome.Result = AcceptResult::Conflict;
  Outcome.Winners.assign(Found.rbegin(), Found.rend());
  if (Newest.Revision < Request.FromRevision)
    Outcome.Detail = "there is no revision " +
                     std::to_string(Request.FromRevision) + "; the newest is " +
                     std::to_string(Newest.Revision);
  co_return Outcome;
}

/// Stores the content and the record of a revision, which the row refers to.
QCoro::Task<Result<Success>> storeObjects(Platform &Service, config::Head Next,
                                          std::string Content,
                                          TimePoint Deadline) {
  const Result<Success> Stored = co_await Service.putObject(
      config::contentObject(Next.Hash), Content, Deadline);
  if (!succeeded(Stored))
    co_return Error{errorOf(Stored)};
  const Result<Success> Recorded = co_await Service.putObject(
      config::recordObject(Next.Operation), config::formatHead(Next), Deadline);
  if (!succeeded(Recorded))
    co_return Error{errorOf(Recorded)};
  // A plain std::monostate would be taken for QCoro's empty result.
  co_return Result<Success>(Success());
}

} // namespace

QCoro::Task<Result<HeadRow>> readHead(Platform &Service, TimePoint Deadline) {
  const Result<TableRow> Row =
      co_await Service.readRow(config::HeadKey, Deadline);
  if (!succeeded(Row))
    co_return Error{errorOf(Row)};
  Result<config::Head> Head = config::parseHead(valueOf(Row).Value);
  if (!succeeded(Head))
    co_return Error{errorOf(Head)};
  co_return HeadRow{valueOf(std::move(Head)), valueOf(Row).Version};
}

QCoro::Task<Result<std::vector<config::Head>>>
readHistory(Platform &Service, config::Head Newest, std::uint64_t After,
            std::size_t Limit, TimePoint Deadline) {
  std::vector<config::Head> Found;
  config::Head Next = std::move(Newest);
  while (Next.Revision > After && Found.size() < Limit) {
    Found.push_back(Next);
    if (Next.Previous.empty())
      break;
    const Result<std::optional<std::string>> Record =
        co_await Service.getObject(config::recordObject(Next.Previous),
                                   Deadline);
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
readAnswers(Platform &Service, std::string Hash, TimePoint Deadline) {
  if (Hash.empty())
    co_return config::Questionnaire(); // Before the first revision.
  const Result<std::optional<std::string>> Content =
      co_await Service.getObject(config::contentObject(Hash), Deadline);
  if (!succeeded(Content))
    co_return Error{errorOf(Content)};
  if (!valueOf(Content))
    co_return Error{"the object store has no content " + Hash};
  if (config::hashOf(*valueOf(Content)) != Hash)
    co_return Error{"the content does not match its hash " + Hash};
  co_return config::answersFrom(*valueOf(Content));
}

QCoro::Task<AcceptOutcome>
acceptRevision(Platform &Service, AcceptRequest Request, TimePoint Deadline) {
  AcceptOutcome Outcome;
  Outcome.Result = AcceptResult::NotAttempted;
  const Result<HeadRow> Head = co_await readHead(Service, Deadline);
  if (!succeeded(Head)) {
    Outcome.Detail = errorOf(Head);
    co_return Outcome;
  }
  const HeadRow Before = valueOf(Head);
  if (Before.Head.Revision != Request.FromRevision)
    co_return co_await findOutcome(Service, Request, Before.Head, Deadline);
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
      co_await storeObjects(Service, Next, Content, Deadline);
  if (!succeeded(Stored)) {
    Outcome.Detail = errorOf(Stored);
    co_return Outcome;
  }
  const Result<CasOutcome> Set = co_await Service.compareAndSet(
      config::HeadKey, Before.Version, config::formatHead(Next),
      Request.Operation, Deadline - LookUpTime);
  if (succeeded(Set) && valueOf(Set).Applied) {
    Outcome.Result = AcceptResult::Accepted;
    Outcome.Accepted = Next;
    co_return Outcome;
  }
  // Either another change came first, or the answer was lost and others may
  // have been accepted on top of this one.
  const Result<HeadRow> After = co_await readHead(Service, Deadline);
  if (!succeeded(After)) {
    Outcome.Result = AcceptResult::Unknown;
    Outcome.Detail = errorOf(After);
    co_return Outcome;
  }
  co_return co_await findOutcome(Service, Request, valueOf(After).Head,
                                 Deadline);
}

} // namespace amaranthspur::ctl
