// Statements that one entry VM runs for another one.
//
// Only statements outside transactions are forwarded, each with one request and
// one reply. A read may run twice, so a read without a reply is run where it
// arrived. A write is run again only if it is certain that it has not run
// (ForwardFate::NotRun); otherwise its outcome is unknown.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDSTATEMENT_H
#define AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDSTATEMENT_H

#include "core/Enums.h"
#include "policy/RouteChoice.h"
#include "policy/Statement.h"
#include "root/groups/ServerPool.h"

#include <QCoroTask>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthspur {

/// A statement as it is forwarded.
struct ForwardedStatement {
  ServiceName Service;
  Statement Query;
  /// Of a read at a replica: the server's log must reach it.
  std::optional<LogPosition> Floor;
  /// Of a read: only the primary may run it, with a proof that it still leads.
  bool AtPrimary = false;
  WorkspaceName Workspace; ///< Of the caller; empty for none.
  SessionSettingValues Values;
  std::optional<PreparedStatement> Prepared; ///< For Execute.
  unsigned Urgency = 0;
  Duration Remaining{};        ///< Time until the answer is due.
  Duration DispatchIn{};       ///< Time within which it must be dispatched.
  Duration QueuedDispatchIn{}; ///< The same while the pool is active.
  Duration SentAt{}; ///< Reading of the sender's boot clock; see RequestDelays.

  bool isWrite() const {
    return this->Prepared ? this->Prepared->Mode == Access::Write
                          : this->Query.Kind == StatementVerb::Write;
  }
};

/// The answer to a forwarded statement and what happened to it.
struct ForwardedAnswer {
  Answer Given;
  ServerId LastServer;
  ServerId Holder; ///< Of a commit, as in StatementContext.
  unsigned Attempts = 0;
  bool Dispatched = false;
  std::string Trail; ///< Failed attempts, as in StatementContext.
  EntryVmId Forwarder;
};

/// What is known of a forwarded statement.
enum class ForwardFate {
  Answered,
  NotRun,  ///< It was not sent, or refused before it ran.
  Unknown, ///< There was no usable reply; it may have run or may still run.
};

template <> struct EnumNames<ForwardFate> {
  static constexpr auto Entries =
      std::to_array<std::pair<ForwardFate, std::string_view>>(
          {{ForwardFate::Answered, "answered"},
           {ForwardFate::NotRun, "not-run"},
           {ForwardFate::Unknown, "lost"}});
};

/// The result of forwarding a statement.
struct ForwardResult {
  ForwardFate Fate = ForwardFate::NotRun;
  ForwardedAnswer Given; ///< If it was answered.
};

/// Forwards statements to other entry VMs.
class StatementForwarding : public ForwarderDirectory {
public:
  /// Forwards \p Given to the home of \p Query, once, and waits for the answer.
  virtual QCoro::Task<ForwardResult> forward(HomeQuery Query,
                                             ForwardedStatement Given) = 0;
};

/// Runs the statements that other entry VMs have forwarded.
class ForwardedStatementRunner {
public:
  virtual ~ForwardedStatementRunner() = default;

  /// Runs \p Given here.
  /// \returns nothing if it was not run, because the service is not known here
  /// or this entry VM is stopping.
  virtual QCoro::Task<std::optional<ForwardedAnswer>>
  run(ForwardedStatement Given) = 0;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_SESSIONS_FORWARDEDSTATEMENT_H
