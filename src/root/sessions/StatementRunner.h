// Runs statements on the servers of a group: chooses a server, takes a
// connection, sends, and tries again where nothing can have happened twice.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H
#define AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H

#include "policy/AccessPlan.h"
#include "policy/Statement.h"
#include "root/groups/Group.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranthspur {

/// A connection taken from a pool; it is given back when this ends.
class BorrowedLink {
public:
  BorrowedLink() = default;
  BorrowedLink(ServerId Server, std::shared_ptr<ServerPool> Pool,
               std::unique_ptr<PooledLink> Link)
      : Server(std::move(Server)), Pool(std::move(Pool)),
        Link(std::move(Link)) {}
  BorrowedLink(BorrowedLink &&) = default;
  BorrowedLink &operator=(BorrowedLink &&Other) noexcept {
    this->giveBack();
    this->Server = std::move(Other.Server);
    this->Pool = std::move(Other.Pool);
    this->Link = std::move(Other.Link);
    return *this;
  }
  ~BorrowedLink() { this->giveBack(); }

  explicit operator bool() const { return this->Link != nullptr; }
  PooledLink &operator*() const { return *this->Link; }
  ServerLink &wire() const { return *this->Link->Link; }
  const ServerId &server() const { return this->Server; }

  /// Closes the connection, which rolls an open transaction back.
  void drop() {
    if (this->Link)
      this->Link->Link->abort();
    this->giveBack();
  }
  void giveBack() {
    if (this->Link)
      this->Pool->giveBack(std::move(this->Link));
  }

private:
  ServerId Server;
  std::shared_ptr<ServerPool> Pool;
  std::unique_ptr<PooledLink> Link;
};

/// What a read must not miss.
struct ReadGuard {
  std::optional<LogPosition> Floor; ///< The server's log has to reach it.
  bool AtPrimary = false; ///< Only at the primary, with a proof that it led
                          ///< when the read arrived.
};

/// One statement, or the start of one transaction, on its way.
struct StatementContext {
  std::shared_ptr<Group> Servers;
  DatabaseRoute Route;
  SessionValues Values;
  std::optional<PreparedStatement> Prepared; ///< For Execute.
  std::optional<LogPosition> SessionFloor;   ///< Of the session's own commits.
  TimePoint Arrived;     ///< This and the next times but one: steady clock.
  TimePoint ArrivedBoot; ///< On the clock that counts suspension.
  TimePoint OfferBy;     ///< Refused if not offered to a server by then.
  TimePoint HoldBy;      ///< The same while connections are handed out.
  TimePoint Deadline;    ///< For the answer.
  std::function<bool()> CallerPresent; ///< Nothing is sent for one who left.

  // For the log line of the statement.
  std::uint64_t Transaction = 0; ///< Its number in the session; 0: none.
  unsigned Attempts = 0;
  bool Offered = false; ///< Sent to a server that could have run it.
  ServerId LastServer;
  std::optional<LogPosition> Floor;
  std::string Trail; ///< What each failed attempt met.
};

/// Time kept from a route's limit so that the answer arrives within it: one
/// crossing to the caller (up to 3 ms) and a late timer.
inline constexpr Duration AnswerMargin = milliseconds(20);
/// Part of the latency objective within which a statement is sent to a server
/// that can run it or refused: a caller that is refused early can try another
/// entry VM in time.
inline constexpr int OfferShare = 4;
/// The same where statements wait for a connection of a server that is handing
/// them out: it is then likely to be served within the objective.
inline constexpr int HoldShare = 2;
/// Taken off a staleness bound, for the time between our look at the clock
/// and the arrival of the bytes that it stands for.
inline constexpr Duration StalenessMargin = milliseconds(20);
/// When a caller is told to come back after a refusal: a takeover lasts 1.5 to
/// 2 s, of which a part has passed.
inline constexpr Duration RetryAfter = milliseconds(250);

/// Makes the refusal of a statement that has not run.
Answer refuseNotRun(const std::string &Why,
                    TransactionState State = TransactionState::Idle);

/// Returns what a read on \p E may not miss.
ReadGuard guardOf(const StatementContext &E);

/// Runs a read on its own.
QCoro::Task<Answer> runRead(Statement S, StatementContext &E);

/// Runs a write on its own; it is sent again only after a server has answered
/// that it did not run.
QCoro::Task<Answer> runWrite(Statement S, StatementContext &E);

/// A transaction that has begun on a connection.
struct OpenTransaction {
  BorrowedLink Link;
  Term LeaderTerm = 0;     ///< Of the primary that it runs on; 0: not there.
  bool NeedsProof = false; ///< A read in it is answered only with a proof that
                           ///< the primary led when the transaction arrived.
};

/// Begins a transaction on a server that suits \p Guard.
/// \param Begin the caller's statement.
/// \returns the refusal if none could be begun.
QCoro::Task<std::variant<OpenTransaction, Answer>>
beginTransaction(Statement Begin, ReadGuard Guard, StatementContext &E);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_STATEMENTRUNNER_H
