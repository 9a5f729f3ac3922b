// The interface through which sessions keep to the quota of their workspace.
#ifndef AMARANTHSPUR_ROOT_QUOTAS_OPERATIONQUOTA_H
#define AMARANTHSPUR_ROOT_QUOTAS_OPERATIONQUOTA_H

#include "core/Clock.h"
#include "core/Types.h"

#include <QCoroTask>

namespace amaranthspur {

/// Whether an operation may run.
struct QuotaAnswer {
  bool Admitted = true;
  Duration RetryAfter{}; ///< If refused; spread at random.
};

/// Decides whether operations are within the quota of their workspace.
class OperationQuota {
public:
  virtual ~OperationQuota() = default;

  /// Counts one operation: a statement outside a transaction, or a BEGIN.
  /// \param Workspace without a name, the operation is not limited.
  /// \param Objective the latency objective, of which a quarter may be spent
  /// waiting for a lease.
  virtual QCoro::Task<QuotaAnswer> admit(WorkspaceName Workspace,
                                         Duration Objective) = 0;

  virtual void addSession(const WorkspaceName &Workspace) = 0;
  virtual void removeSession(const WorkspaceName &Workspace) = 0;
};

/// Counts one session of a workspace for as long as it exists.
class QuotaSession {
public:
  QuotaSession(OperationQuota &Of, WorkspaceName Workspace)
      : Of(Of), Workspace(std::move(Workspace)) {
    this->Of.addSession(this->Workspace);
  }
  QuotaSession(const QuotaSession &) = delete;
  QuotaSession &operator=(const QuotaSession &) = delete;
  ~QuotaSession() { this->Of.removeSession(this->Workspace); }

private:
  OperationQuota &Of;
  WorkspaceName Workspace;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_QUOTAS_OPERATIONQUOTA_H
