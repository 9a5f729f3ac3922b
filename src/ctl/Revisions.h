// Reads and adds accepted revisions in the platform's store.
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

/// The newest revision and the version of its row, which compare-and-set needs.
struct HeadRow {
  config::Head Head;
  StoreVersion Version;
};

/// The outcome of a change.
enum class AcceptResult {
  Accepted,     ///< The change became a revision.
  Unchanged,    ///< The answers are already in force; no revision was added.
  Conflict,     ///< The change was not accepted and never will be.
  NotAttempted, ///< The platform was unreachable before the row was written.
  Unknown,      ///< The change may have been, or may still be, accepted.
};

/// One change that should become the next revision.
struct AcceptRequest {
  config::Questionnaire Answers;  ///< validate() must find no mistakes.
  std::uint64_t FromRevision = 0; ///< The revision that the change is based on.
  std::string Operation; ///< Unique identifier; the same in every attempt.
  std::string Author;
  std::string AcceptedAt;
};

/// The outcome of one attempt to accept a change.
struct AcceptOutcome {
  AcceptResult Result = AcceptResult::Unknown;
  config::Head Accepted; ///< Set for Accepted and Unchanged.
  /// For Conflict: the revisions after FromRevision that were accepted instead,
  /// oldest first.
  std::vector<config::Head> Winners;
  std::string Detail; ///< The cause of a failure; may be empty.
};

/// Reads the newest revision.
QCoro::Task<Result<HeadRow>> readHead(Platform &Client, TimePoint Deadline);

/// Reads the revisions from \p Newest down to the one after \p After, at most
/// \p Limit, newest first. The cost is one read from the object store for each
/// revision.
QCoro::Task<Result<std::vector<config::Head>>>
readHistory(Platform &Client, config::Head Newest, std::uint64_t After,
            std::size_t Limit, TimePoint Deadline);

/// Reads the content with the hash \p Hash and verifies it. An empty \p Hash
/// gives empty answers.
QCoro::Task<Result<config::Questionnaire>>
readAnswers(Platform &Client, std::string Hash, TimePoint Deadline);

/// Makes \p Request the next revision, unless another change was accepted
/// first. The call may be repeated with the same operation; the change is
/// accepted at most once.
QCoro::Task<AcceptOutcome>
acceptRevision(Platform &Client, AcceptRequest Request, TimePoint Deadline);

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
