// Reads the claim on a group's takeover, as a proof that its primary has not
// been superseded (policy/LeadershipProof.h).
#ifndef AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H
#define AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H

#include "platform/Platform.h"
#include "policy/ClaimRow.h"
#include "policy/StoreHistory.h"

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
  /// \param Store, History must outlive this object.
  StoredClaims(Platform &Store, const StoreHistory &History)
      : Store(Store), History(History) {}

  QCoro::Task<Result<ClaimRow>> read(ServiceName Service,
                                     TimePoint Deadline) override {
    const Result<TableRow> R =
        co_await this->Store.readRow(claimKey(Service), Deadline);
    if (!succeeded(R))
      co_return Error{errorOf(R)};
    const TableRow &Row = valueOf(R);
    ClaimRow Parsed = parseClaimRow(Row.Version.number(), Row.Value);
    if (!this->History.isSinceReturn(Row.Version))
      Parsed = withoutStatement(std::move(Parsed));
    co_return Parsed;
  }

private:
  Platform &Store;
  const StoreHistory &History;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_CLAIMREADER_H
