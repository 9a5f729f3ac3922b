// The outages of one group's primary, as the statements that need it meet them
// (policy/PrimaryWait.h).
//
// An outage begins with a statement that finds no usable primary. From then on
// one task checks whether the primary is usable again, so that the end is
// noticed also while statements are refused and none of them tries a server.
#ifndef AMARANTHSPUR_ROOT_GROUPS_PRIMARYOUTAGES_H
#define AMARANTHSPUR_ROOT_GROUPS_PRIMARYOUTAGES_H

#include "core/Async.h"
#include "core/Random.h"
#include "policy/PrimaryWait.h"
#include "root/telemetry/Metrics.h"

#include <map>
#include <optional>
#include <random>

namespace amaranthspur {

/// Whether a primary answers, as far as is known.
enum class PrimaryContact {
  Answers,
  Avoided,    ///< It failed recently and should not be tried now.
  Unanswered, ///< It failed and has not been tried since; it may be tried.
};

template <> struct EnumNames<PrimaryContact> {
  static constexpr auto Entries =
      std::to_array<std::pair<PrimaryContact, std::string_view>>(
          {{PrimaryContact::Answers, "answers"},
           {PrimaryContact::Avoided, "avoided"},
           {PrimaryContact::Unanswered, "unanswered"}});
};

/// How the outages of a group reach its primary.
class PrimaryAccess {
public:
  virtual ~PrimaryAccess() = default;

  /// Returns the believed primary.
  virtual std::optional<BelievedPrimary> believedPrimary() const = 0;
  virtual PrimaryContact contactOf(const BelievedPrimary &Primary) const = 0;
  /// Returns whether \p Primary meets \p Need, whether or not it answers. If it
  /// does not, asks the servers again.
  virtual bool meets(const BelievedPrimary &Primary, PrimaryNeed Need) = 0;
  /// Requests the status of \p Primary.
  virtual QCoro::Task<> requestPrimaryReport(BelievedPrimary Primary) = 0;
  /// Waits for a change of the believed primary, until \p Deadline at most.
  virtual QCoro::Task<> awaitPrimaryChange(TimePoint Deadline) = 0;
  /// Asks the monitor and the relay for news of the primary.
  virtual void primaryWanted() = 0;
};

/// The outages of one group.
class PrimaryOutages {
public:
  /// Interval between two checks of the primary during an outage.
  static constexpr Duration CheckInterval = GroupBeliefs::AvoidAfterFailure / 4;

  /// \param Access must outlive the object.
  /// \param Counters null if nothing is counted.
  PrimaryOutages(const ServiceName &Service, PrimaryAccess &Access,
                 Metrics *Counters)
      : Service(Service), Access(Access), Counters(Counters) {}
  PrimaryOutages(const PrimaryOutages &) = delete;
  PrimaryOutages &operator=(const PrimaryOutages &) = delete;

  /// Stops the task and returns when it has ended. Wake the task before, by a
  /// change of the primary.
  QCoro::Task<> stop();

  /// Returns the primary if a statement with \p Need may be sent to it now.
  /// Otherwise an outage begins or goes on. While statements are refused, a
  /// primary that failed is not returned until it has answered.
  std::optional<BelievedPrimary> usablePrimary(PrimaryNeed Need);
  /// Returns the same without an effect on outages, for an explanation.
  std::optional<BelievedPrimary> peekPrimary(PrimaryNeed Need);
  /// Returns until when a statement may wait for a primary whose answer is due
  /// by \p Deadline.
  TimePoint waitUntil(PrimaryNeed Need, TimePoint Deadline) const;
  /// Returns whether statements with \p Need are refused immediately.
  bool isRefusing(PrimaryNeed Need) const;
  /// Counts a statement as refused because of a long outage.
  /// \returns the time after which the caller is told to retry.
  Duration countRefusal();
  /// Records a sign of a takeover in progress.
  void observeTakeover();

private:
  /// Returns the primary if it meets \p Need and answers, or may be tried.
  /// \param Of the waits of \p Need; its outage ends if the primary answers.
  std::optional<BelievedPrimary> check(PrimaryNeed Need, PrimaryWait &Of);
  /// Watches the primary until no outage is left.
  QCoro::Task<> watch();
  bool isOutage() const;
  /// Logs and counts the beginning and the end of the refusals.
  void reportRefusing();

  const ServiceName &Service;
  PrimaryAccess &Access;
  Metrics *Counters;
  Random Rng{std::random_device{}()};
  std::map<PrimaryNeed, PrimaryWait> Waits;
  std::optional<TimePoint> RefusingSince;
  std::uint64_t Refused = 0; ///< Statements since then.
  TaskGroup Tasks;
  bool Stopping = false;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_PRIMARYOUTAGES_H
