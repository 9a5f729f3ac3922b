// The part of a backend server that belongs to its group: role, terms, log.
//
// docs/design.md, section 6, has the operations. The state is in memory: a
// process that is started again is a server with an empty log. It must be
// started as a replica with the term that the group has reached by then, for it
// has forgotten which terms it adopted.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUP_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUP_H

#include "testing/fake-backend/Database.h"
#include "testing/fake-backend/ReplicatedLog.h"
#include "wire/Connection.h"

#include <functional>
#include <optional>

namespace amaranthspur::fake {

/// Where a replica replicates from.
struct Upstream {
  ServerId Id;
  Address From;

  bool operator==(const Upstream &) const = default;
};

/// Role, adopted term and log of one server.
///
/// Invariants: the adopted term never falls; entries are appended only in the
/// adopted term, by this server as its primary or from the primary it follows;
/// Database's Committed image is the effect of the log.
class Group {
public:
  Group(ServerId Self, Database &Storage);

  /// Makes this server the primary of \p T, with an empty entry.
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
  /// Returns the primary that this server knows; empty if none.
  ServerId primary() const;

  /// Adopts \p T; a primary becomes a replica and its open write transaction
  /// is rolled back.
  /// \returns the end of the log, or SQLSTATE 55000 if T is not higher.
  SqlResult<LogPosition> adoptTerm(Term T);

  /// Makes this server the primary of \p T. SQLSTATE 55000 unless T is adopted
  /// and neither a promotion nor a replication in T has taken place here.
  SqlResult<std::monostate> promote(Term T);

  /// Replicates from \p From in \p T, which is adopted if it is higher.
  /// SQLSTATE 55000 if T is below the adopted term or this server leads in T.
  SqlResult<std::monostate> follow(Term T, Upstream From);

  /// Commits the write transaction that is open in the Working image and
  /// appends it to the log. \pre isPrimary().
  /// \returns the error of a constraint that is checked at the commit.
  SqlResult<std::monostate> commit(const std::vector<std::string> &Statements);

  /// Cuts the log back to \p Common at the start of a stream of the primary
  /// of \p T; returns false if the stream is of no use any more.
  bool beginStream(Term T, const Upstream &Source, std::uint64_t Common);

  /// Appends and applies an entry of such a stream.
  /// \returns false if the stream is of no use any more or has a gap.
  bool receive(Term T, const Upstream &Source, std::uint64_t Index,
               LogEntry Entry);

  /// Called after every append, for the tasks that send the log.
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

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_GROUP_H
