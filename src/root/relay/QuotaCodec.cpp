#include "root/relay/QuotaCodec.h"

#include "root/relay/RelayCodec.h"

#include <algorithm>

namespace amaranthspur {
namespace {

/// Bound of the length of a lease.
constexpr std::int64_t MaxLengthUs = 60LL * 1000 * 1000;

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxRelayNameBytes;
}

} // namespace

void addQuotas(relay::SyncRequest &Message, const QuotaRequest &Asked) {
  Message.set_start(Asked.Holder.Start);
  Message.set_quota_sequence(Asked.Sequence);
  for (const QuotaReport &R : Asked.Reports) {
    if (Message.quotas_size() >= MaxQuotasInMessage)
      return;
    relay::QuotaDemand *Out = Message.add_quotas();
    Out->set_workspace(R.Workspace.str());
    Out->set_demand(R.Demand);
    Out->set_held_rate(R.Held.RatePerSecond);
    Out->set_held_burst(R.Held.Burst);
    Out->set_tokens(R.Tokens);
    Out->set_returned(R.Returned);
    Out->set_waiting(R.Waiting);
  }
}

std::optional<QuotaRequest> quotaRequestOf(const relay::SyncRequest &Message,
                                           const std::string &Sender) {
  if (Message.quota_sequence() == 0)
    return std::nullopt;
  QuotaRequest Out{
      {EntryVmId(Sender), Message.start()}, Message.quota_sequence(), {}};
  const int Count = std::min(Message.quotas_size(), MaxQuotasInMessage);
  for (int I = 0; I < Count; ++I) {
    const relay::QuotaDemand &D = Message.quotas(I);
    const bool IsValid =
        isName(D.workspace()) && isQuotaNumber(D.demand()) &&
        isQuotaNumber(D.held_rate()) && isQuotaNumber(D.held_burst()) &&
        isQuotaNumber(D.tokens()) && isQuotaNumber(D.returned());
    if (IsValid)
      Out.Reports.push_back({WorkspaceName(D.workspace()),
                             D.demand(),
                             {D.held_rate(), D.held_burst()},
                             D.tokens(),
                             D.returned(),
                             D.waiting()});
  }
  return Out;
}

void addQuotas(relay::SyncReply &Message,
               const std::vector<QuotaLease> &Leases) {
  for (const QuotaLease &L : Leases) {
    relay::QuotaGrant *Out = Message.add_quotas();
    Out->set_workspace(L.Workspace.str());
    Out->set_rate(L.Amount.RatePerSecond);
    Out->set_burst(L.Amount.Burst);
    Out->set_tokens(L.Tokens);
    Out->set_length_us(L.Length.count());
  }
}

std::vector<QuotaLease> quotaLeasesOf(const relay::SyncReply &Message) {
  std::vector<QuotaLease> Out;
  for (const relay::QuotaGrant &G : Message.quotas()) {
    const bool IsValid = isName(G.workspace()) && isQuotaNumber(G.rate()) &&
                         isQuotaNumber(G.burst()) &&
                         isQuotaNumber(G.tokens()) && G.length_us() > 0 &&
                         G.length_us() <= MaxLengthUs;
    if (IsValid)
      Out.push_back({WorkspaceName(G.workspace()),
                     {G.rate(), G.burst()},
                     G.tokens(),
                     Duration(G.length_us())});
  }
  return Out;
}

void addLoanRequest(relay::ExchangeRequest &Message,
                    const QuotaLoanRequest &Asked) {
  relay::QuotaLoanRequest *Out = Message.mutable_loan();
  Out->set_start(Asked.Borrower.Start);
  Out->set_sequence(Asked.Sequence);
  for (const QuotaLoanWish &W : Asked.Wishes) {
    if (Out->wishes_size() >= MaxQuotasInMessage)
      return;
    relay::QuotaLoanWish *Wish = Out->add_wishes();
    Wish->set_workspace(W.Workspace.str());
    Wish->set_tokens(W.Tokens);
    if (W.Held)
      Wish->set_held(*W.Held);
  }
}

std::optional<QuotaLoanRequest>
loanRequestOf(const relay::ExchangeRequest &Message,
              const std::string &Sender) {
  if (!Message.has_loan())
    return std::nullopt;
  const relay::QuotaLoanRequest &Asked = Message.loan();
  QuotaLoanRequest Out{
      {EntryVmId(Sender), Asked.start()}, Asked.sequence(), {}};
  const int Count = std::min(Asked.wishes_size(), MaxQuotasInMessage);
  for (int I = 0; I < Count; ++I) {
    const relay::QuotaLoanWish &W = Asked.wishes(I);
    if (!isName(W.workspace()) || !isQuotaNumber(W.tokens()))
      continue;
    QuotaLoanWish Wish{WorkspaceName(W.workspace()), W.tokens(), std::nullopt};
    if (W.has_held() && isQuotaNumber(W.held()))
      Wish.Held = W.held();
    Out.Wishes.push_back(std::move(Wish));
  }
  return Out;
}

void addLoans(relay::ExchangeReply &Message,
              const std::vector<QuotaLoan> &Loans) {
  for (const QuotaLoan &L : Loans) {
    relay::QuotaLoan *Out = Message.add_loans();
    Out->set_workspace(L.Workspace.str());
    Out->set_tokens(L.Tokens);
    Out->set_length_us(L.Length.count());
  }
}

std::vector<QuotaLoan> loansOf(const relay::ExchangeReply &Message) {
  std::vector<QuotaLoan> Out;
  for (const relay::QuotaLoan &L : Message.loans()) {
    const bool IsValid = isName(L.workspace()) && isQuotaNumber(L.tokens()) &&
                         L.length_us() > 0 && L.length_us() <= MaxLengthUs;
    if (IsValid)
      Out.push_back(
          {WorkspaceName(L.workspace()), L.tokens(), Duration(L.length_us())});
  }
  return Out;
}

} // namespace amaranthspur
