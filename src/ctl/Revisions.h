// The accepted revisions in the platform's service: reading and adding.
#ifndef AMARANTHSPUR_CTL_REVISIONS_H
#define AMARANTHSPUR_CTL_REVISIONS_H

#include "config/Head.h"
#include "core/Names.h"
#include "platform/Platform.h"
#include "questionnaire.pb.h"

#include <array>
#include <string>
#include <vector>

namespace amaranthspur::ctl {

/// The newest revision with the version of its row.
struct HeadRow {
  config::Head Head;
  std::uint64_t Version = 0;
};

/// What became of a change.
enum class AcceptResult {
  Accepted,     ///< It is the revision of the outcome.
  Unchanged,    ///< The answers were in force already; no revision was added.
  Conflict,     ///< Certain: it was not and will not be accepted.
  NotAttempted, ///< The platform was unreachable before anything was changed.
  Unknown,      ///< It may have been accepted or be accepted yet.
};

/// One change that is to become the next revision.
struct AcceptRequest {
  config::Questionnaire Answers; ///< Without mistakes.
  std::uint64_t FromRevision = 0;
  std::string Operation; ///< Unique; the same for every attempt.
  std::string Author;
  std::string AcceptedAt;
};

struct AcceptOutcome {
  AcceptResult Result = AcceptResult::Unknown;
  config::Head Accepted; ///< If Accepted or Unchanged.
  /// If Conflict: the revisions after FromRevision, oldest first.
  std::vector<config::Head> Winners;
  std::string Detail;
};

/// Reads the newest revision.
QCoro::Task<Result<HeadRow>> readHead(Platform &Service, TimePoint Deadline);

/// Reads the revisions after \p After, newest first, at most \p Limit. The cost
/// is one read of the object store for each.
QCoro::Task<Result<std::vector<config::Head>>>
readHistory(Platform &Service, config::Head Newest, std::uint64_t After,
            std::size_t Limit, TimePoint Deadline);

/// Reads the answers of the content \p Hash and verifies them.
QCoro::Task<Result<config::Questionnaire>>
readAnswers(Platform &Service, std::string Hash, TimePoint Deadline);

/// Makes \p Request the next revision unless another one came first. May be
/// repeated with the same operation: it is never accepted twice.
QCoro::Task<AcceptOutcome>
acceptRevision(Platform &Service, AcceptRequest Request, TimePoint Deadline);

} // namespace amaranthspur::ctl

namespace amaranthspur {

template <> struct EnumNames<ctl::AcceptResult> {
  static constexpr auto Entries =
      std::to_array<std::pair<ctl::AcceptResult, std::string_view>>(
          {{ctl::AcceptResult::Accepted, "accepted"},
           {ctl::AcceptResult::Unchanged, "unchanged"},
           {ctl::AcceptResult::Conflict, "conflict"},
           {ctl::AcceptResult::NotAttempted, "not attempted"},
           {ctl::AcceptResult::Unknown, "outcome unknown"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CTL_REVISIONS_H
