// The replication state of a backend server: role, term and log.
//
// Section 6 of docs/design.md describes the operations. The state is only in
// memory, so a restarted process has an empty log and no record of the terms it
// adopted. It must be started as a replica with the current term of the group.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUPMEMBER_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUPMEMBER_H

#include "testing/fake-backend/Database.h"
#include "testing/fake-backend/ReplicatedLog.h"
#include "wire/Connection.h"

#include <functional>
#include <optional>

namespace amaranthspur::fake {

/// The server that a replica replicates from.
struct Upstream {
  ServerId Id;
  Address From;

  bool operator==(const Upstream &) const = default;
};

/// Role, adopted term and log of one server.
///
/// Invariants: The adopted term never decreases. Entries are appended only
/// while this server is the primary of the adopted term or follows that
/// primary. The Committed image of the database is the result of applying the
/// log.
class GroupMember {
public:
  GroupMember(ServerId Self, Database &Storage);

  /// Makes this server the primary of \p T and appends an empty entry.
  void startPrimary(Term T);
  /// Makes this server a replica that has adopted \p T.
  void startReplica(Term T, std::optional<Upstream> From);

  const ServerId &self() const { return this->Self; }
  ServerRole role() const { return this->Role; }
  bool isPrimary() const { return this->Role == ServerRole::Primary; }
  /// Whether this server is the primary of \p T.
  bool leads(Term T) const { return this->isPrimary() && this->Adopted == T; }
  Term adoptedTerm() const { return this->Adopted; }
  const ReplicatedLog &log() const { return this->Log; }
  LogPosition end() const { return this->Log.end(); }
  const std::optional<Upstream> &upstream() const { return this->From; }
  /// Returns the primary that this server knows, or an empty ID.
  ServerId primary() const;

  /// Adopts \p T. A primary becomes a replica and its open write transaction is
  /// rolled back.
  /// \returns the end of the log, or SQLSTATE 55000 if \p T is not above the
  /// adopted term.
  SqlResult<LogPosition> adoptTerm(Term T);

  /// Makes this server the primary of \p T.
  /// \returns SQLSTATE 55000 unless \p T is the adopted term and this server
  /// has neither been promoted nor followed a primary in it.
  SqlResult<std::monostate> promote(Term T);

  /// Replicates from \p From in \p T, which is adopted if it is higher.
  /// \returns SQLSTATE 55000 if \p T is below the adopted term, this server is
  /// the primary of \p T, or \p From is this server.
  SqlResult<std::monostate> follow(Term T, Upstream From);

  /// Commits the write transaction that is open in the Working image and
  /// appends it to the log. \pre isPrimary().
  /// \returns the error of a deferred constraint, if one is violated.
  SqlResult<std::monostate> commit(const std::vector<std::string> &Statements);

  /// Truncates the log to \p Common at the start of a replication stream from
  /// the primary of \p T.
  /// \returns false if this server no longer follows that primary or \p Common
  /// is past the end of the log.
  bool beginStream(Term T, const Upstream &Source, std::uint64_t Common);

  /// Appends and applies an entry of a replication stream.
  /// \returns false if this server no longer follows \p Source in \p T, or if
  /// the entry is not the next one or has an invalid term.
  bool receive(Term T, const Upstream &Source, std::uint64_t Index,
               LogEntry Entry);

  /// Called after a commit or a received entry is appended, to wake the tasks
  /// that send the log.
  std::function<void()> OnAppend = [] {};
  /// Called when the role, the adopted term or the upstream has changed.
  std::function<void()> OnChange = [] {};

private:
  bool follows(Term T, const Upstream &Source) const {
    return !this->isPrimary() && this->Adopted == T && this->From == Source;
  }
  void adopt(Term T);

  ServerId Self;
  Database &Storage;
  ReplicatedLog Log;
  ServerRole Role = ServerRole::Replica;
  Term Adopted = 0;
  std::optional<Upstream> From;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUPMEMBER_H
