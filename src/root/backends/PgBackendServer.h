// A backend server that speaks the PostgreSQL protocol.
#ifndef AMARANTHSPUR_ROOT_BACKENDS_PGBACKENDSERVER_H
#define AMARANTHSPUR_ROOT_BACKENDS_PGBACKENDSERVER_H

#include "root/backends/BackendServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthspur {

/// What a PgBackendServer connects to, and as whom.
struct PgServerSettings {
  ServerId Id;
  Address At;
  EntryVmId User;       ///< User name of the control connection.
  std::string BindHost; ///< Source address; empty: the system chooses.
};

/// Control operations over one connection with amaranthspur.role=control.
///
/// A connection on which an answer was missed is closed, so that a late answer
/// is never taken for the answer to the next call. An error that the server
/// reports keeps the connection open.
class PgBackendServer final : public BackendServer {
public:
  explicit PgBackendServer(PgServerSettings Settings);
  ~PgBackendServer() override;

  const ServerId &id() const override { return this->Settings.Id; }
  QCoro::Task<Result<ServerStatus>> status(TimePoint Deadline) override;
  QCoro::Task<Result<ServerStatus>> probeFresh(TimePoint Deadline) override;
  QCoro::Task<Result<LogPosition>> adoptTerm(Term T,
                                             TimePoint Deadline) override;
  QCoro::Task<Result<Success>> promote(Term T, TimePoint Deadline) override;
  QCoro::Task<Result<Success>> follow(Term T, ServerId Primary, Address From,
                                      TimePoint Deadline) override;
  QCoro::Task<Result<OwnerLease>> acquireOwner(EntryVmId Vm,
                                               std::uint64_t Incarnation,
                                               Duration Ttl,
                                               TimePoint Deadline) override;
  void reset() override;

private:
  /// The columns of the last row of an answer; empty if there was no row.
  using Row = std::vector<std::optional<std::string>>;

  QCoro::Task<Result<Row>> query(std::string Sql, TimePoint Deadline);
  QCoro::Task<Result<Row>> readAnswer(TimePoint Deadline);

  PgServerSettings Settings;
  std::unique_ptr<Connection> Open;
  bool Calling = false; ///< A call runs; there is never a second one.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_BACKENDS_PGBACKENDSERVER_H
