// Client for promotions: requests to the platform that make a server the
// primary of its group.
#ifndef AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H
#define AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H

#include "core/Clock.h"
#include "core/Names.h"
#include "core/Types.h"
#include "platform/HttpClient.h"

#include <QCoroTask>

#include <array>
#include <cstdint>

namespace amaranthspur {

/// A request to promote a server.
struct PromotionRequest {
  ServiceName Service;
  ServerId Target;
  EntryVmId Holder; ///< The entry VM that holds the group's failover lease.
  std::uint64_t FencingToken; ///< Increases with each lease acquired
                              ///< on any group.
};

/// The result of a promotion request.
enum class PromotionOutcome {
  Accepted, ///< The target will soon be the primary of the next term.
  Refused,  ///< No effect; for example, the target is not running.
  NotDone,  ///< Refused temporarily, without effect; may be retried.
  Unknown,  ///< No response; it may have had or may still have an effect.
};

template <> struct EnumNames<PromotionOutcome> {
  static constexpr auto Entries =
      std::to_array<std::pair<PromotionOutcome, std::string_view>>(
          {{PromotionOutcome::Accepted, "accepted"},
           {PromotionOutcome::Refused, "refused"},
           {PromotionOutcome::NotDone, "not-done"},
           {PromotionOutcome::Unknown, "unknown"}});
};

/// Interface of a client for promotions.
class PromotionClient {
public:
  virtual ~PromotionClient() = default;

  /// Sends \p Order once, without retries.
  virtual QCoro::Task<PromotionOutcome> promote(PromotionRequest Order,
                                                TimePoint Deadline) = 0;
};

/// Client of the platform's HTTP interface for promotions.
class HttpPromotionClient final : public PromotionClient {
public:
  explicit HttpPromotionClient(const Address &Server) : Http(Server) {}

  QCoro::Task<PromotionOutcome> promote(PromotionRequest Order,
                                        TimePoint Deadline) override;

private:
  HttpClient Http;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H
