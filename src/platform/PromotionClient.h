// Client for promotions: requests to the platform that make a server the
// primary of its group.
#ifndef AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H
#define AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H

#include "core/Clock.h"
#include "core/Types.h"
#include "platform/HttpClient.h"
#include "policy/Takeover.h"

#include <QCoroTask>

#include <cstdint>

namespace amaranthspur {

/// A request to promote a server.
struct PromotionRequest {
  ServiceName Service;
  ServerId Target;
  EntryVmId Holder; ///< The entry VM that holds the group's failover lease.
  std::uint64_t FencingToken; ///< Increases with each lease acquired
                              ///< on any group.
  /// Boot clock (core/BootClock.h). The order is not sent later, also if the
  /// entry VM was suspended after promote() was called.
  TimePoint SendBy = TimePoint::max();
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
  /// \param Observer is told of orders that were given up; may be null.
  explicit HttpPromotionClient(const Address &Server,
                               AbandonedCallObserver *Observer = nullptr)
      : Http(Server, Observer) {}

  QCoro::Task<PromotionOutcome> promote(PromotionRequest Order,
                                        TimePoint Deadline) override;

private:
  HttpClient Http;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_PROMOTIONCLIENT_H
