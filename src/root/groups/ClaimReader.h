// Reads the claim on a group's takeover, as a proof that its primary has not
// been superseded (policy/LeadershipProof.h).
#ifndef AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H
#define AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H

#include "platform/Platform.h"
#include "policy/ClaimRow.h"

namespace amaranthspur {

/// Reads claim rows from where they are kept, so that they are not older than
/// the call.
class ClaimReader {
public:
  virtual ~ClaimReader() = default;

  /// Returns the claim row of \p Service, or an error if it could not be read
  /// by \p Deadline.
  virtual QCoro::Task<Result<ClaimRow>> read(ServiceName Service,
                                             TimePoint Deadline) = 0;
};

/// The claim rows in the platform's store. A read takes one call to the store.
class StoredClaims final : public ClaimReader {
public:
  /// \param Store must outlive this object.
  explicit StoredClaims(Platform &Store) : Store(Store) {}

  QCoro::Task<Result<ClaimRow>> read(ServiceName Service,
                                     TimePoint Deadline) override {
    const Result<TableRow> R =
        co_await this->Store.readRow(claimKey(Service), Deadline);
    if (!succeeded(R))
      co_return Error{errorOf(R)};
    co_return parseClaimRow(valueOf(R).Version.number(), valueOf(R).Value);
  }

private:
  Platform &Store;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H
