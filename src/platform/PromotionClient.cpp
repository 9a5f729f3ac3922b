#include "platform/PromotionClient.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace amaranthspur {
namespace {

constexpr int HttpServiceUnavailable = 503;

} // namespace

QCoro::Task<PromotionOutcome>
HttpPromotionClient::promote(PromotionRequest Order, TimePoint Deadline) {
  HttpRequest Request{
      "POST", "/promotions",
      QJsonDocument(
          QJsonObject{{"service", QString::fromStdString(Order.Service.str())},
                      {"id", QString::fromStdString(Order.Target.str())}})
          .toJson(QJsonDocument::Compact),
      "application/json"};
  Request.Headers = {
      {"Duty-Holder", QByteArray::fromStdString(Order.Holder.str())},
      {"Fence-Token",
       QByteArray::number(static_cast<qulonglong>(Order.FencingToken))},
  };
  // On an existing connection whose path is stalled, the request could be
  // delayed and arrive after a later one.
  Request.FreshConnection = true;
  Request.SendBy = Order.SendBy;
  Request.Subject = {CallKind::Promotion, Order.Service.str(),
                     Order.Target.str(), 0, Order.FencingToken};
  const Result<HttpResponse> R =
      co_await this->Http.send(std::move(Request), Deadline);
  if (!succeeded(R))
    co_return PromotionOutcome::Unknown;
  const int Status = valueOf(R).Status;
  if (Status == HttpOk)
    co_return PromotionOutcome::Accepted;
  if (Status == HttpTooManyRequests || Status == HttpServiceUnavailable)
    co_return PromotionOutcome::NotDone;
  if (Status < HttpFirstServerError)
    co_return PromotionOutcome::Refused;
  co_return PromotionOutcome::Unknown;
}

} // namespace amaranthspur
