// Orders to the platform that name the primary of a group.
#ifndef AMARANTHSPUR_PLATFORM_PROMOTIONS_H
#define AMARANTHSPUR_PLATFORM_PROMOTIONS_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Types.h"
#include "platform/HttpClient.h"

#include <QCoroTask>

#include <array>
#include <cstdint>

namespace amaranthspur {

/// A promotion that is ordered.
struct PromotionOrder {
  ServiceName Service;
  ServerId Target;
  EntryVmId Holder;    ///< Who holds the claim on the group's takeover.
  std::uint64_t Fence; ///< Higher with each claim on any group.
};

/// How an order ended.
enum class PromotionOutcome {
  Accepted, ///< The target leads the next term shortly.
  Refused,  ///< It had no effect; the target does not run, for instance.
  NotDone,  ///< Refused for now, without effect; may be repeated.
  Unknown,  ///< No answer: it may have or get an effect.
};

template <> struct EnumNames<PromotionOutcome> {
  static constexpr auto Entries =
      std::to_array<std::pair<PromotionOutcome, std::string_view>>(
          {{PromotionOutcome::Accepted, "accepted"},
           {PromotionOutcome::Refused, "refused"},
           {PromotionOutcome::NotDone, "not-done"},
           {PromotionOutcome::Unknown, "unknown"}});
};

/// Carries out promotions.
class Promotions {
public:
  virtual ~Promotions() = default;

  /// Sends \p Order once.
  virtual QCoro::Task<PromotionOutcome> promote(PromotionOrder Order,
                                                TimePoint Deadline) = 0;
};

/// Promotions over the platform's HTTP interface.
class HttpPromotions final : public Promotions {
public:
  explicit HttpPromotions(const Address &Server) : Http(Server) {}

  QCoro::Task<PromotionOutcome> promote(PromotionOrder Order,
                                        TimePoint Deadline) override;

private:
  HttpClient Http;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_PROMOTIONS_H
