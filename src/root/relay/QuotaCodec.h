// Converts between the relay's messages about quotas and the types of
// policy/quotas.
#ifndef AMARANTHSPUR_ROOT_RELAY_QUOTACODEC_H
#define AMARANTHSPUR_ROOT_RELAY_QUOTACODEC_H

#include "policy/quotas/QuotaAmount.h"
#include "relay.pb.h"

#include <optional>

namespace amaranthspur {

/// Most workspaces in one message.
inline constexpr int MaxQuotasInMessage = 4096;

/// Adds \p Asked to \p Message.
void addQuotas(relay::SyncRequest &Message, const QuotaRequest &Asked);
/// Returns the request of \p Sender, or nothing if \p Message has none.
/// Malformed entries are left out.
std::optional<QuotaRequest> quotaRequestOf(const relay::SyncRequest &Message,
                                           const std::string &Sender);

/// Adds \p Leases to \p Message.
void addQuotas(relay::SyncReply &Message,
               const std::vector<QuotaLease> &Leases);
/// Returns the leases of \p Message. Malformed ones are left out.
std::vector<QuotaLease> quotaLeasesOf(const relay::SyncReply &Message);

/// Sets the loan request of \p Message to \p Asked.
void addLoanRequest(relay::ExchangeRequest &Message,
                    const QuotaLoanRequest &Asked);
/// Returns the loan request of \p Sender, or nothing if \p Message has none.
/// Malformed wishes are left out.
std::optional<QuotaLoanRequest>
loanRequestOf(const relay::ExchangeRequest &Message, const std::string &Sender);

/// Adds \p Loans to \p Message.
void addLoans(relay::ExchangeReply &Message,
              const std::vector<QuotaLoan> &Loans);
/// Returns the loans of \p Message. Malformed ones are left out.
std::vector<QuotaLoan> loansOf(const relay::ExchangeReply &Message);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_RELAY_QUOTACODEC_H
