// HTTP client whose requests have a deadline.
#ifndef AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
#define AMARANTHSPUR_PLATFORM_HTTPCLIENT_H

#include "core/AbandonedCall.h"
#include "core/Address.h"
#include "core/Clock.h"
#include "core/Result.h"

#include <QByteArray>
#include <QCoroTask>
#include <QString>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

class QNetworkAccessManager;

namespace amaranthspur {

/// A request to the server of an HttpClient.
struct HttpRequest {
  QByteArray Verb;
  QString Path; ///< Path and query, percent-encoded.
  QByteArray Body = {};
  QByteArray ContentType = "application/octet-stream";
  std::vector<std::pair<QByteArray, QByteArray>> Headers = {};
  bool FreshConnection = false; ///< Requires a connection not used before.
  /// Boot clock (core/BootClock.h). The body is not sent later, so that the
  /// server does not get a complete request. Applies to a request with a body.
  TimePoint SendBy = TimePoint::max();
  CallSubject Subject = {}; ///< For the report of a request given up.
};

/// A complete response, whatever its status.
struct HttpResponse {
  int Status = 0;
  QByteArray Body = {};
};

inline constexpr int HttpOk = 200;
inline constexpr int HttpNotFound = 404;
inline constexpr int HttpGone = 410;
inline constexpr int HttpPreconditionFailed = 412;
inline constexpr int HttpTooManyRequests = 429;
inline constexpr int HttpFirstServerError = 500;

/// Client of one HTTP server. It is used in one thread only and must outlive
/// the tasks of its calls.
class HttpClient {
public:
  /// \param Observer is told of requests without an answer, except reads. May
  /// be null; otherwise it must outlive this object.
  explicit HttpClient(const Address &Server,
                      AbandonedCallObserver *Observer = nullptr);

  /// Sends \p Request once, without retries.
  ///
  /// A response that has begun to arrive by \p Deadline is read to its end, for
  /// up to 8 s after the deadline, unless it pauses for 1 s.
  /// \returns the response, or an error if no response began to arrive by
  /// \p Deadline or if it did not complete within these limits. After an error
  /// the server may have executed the request or may still execute it.
  QCoro::Task<Result<HttpResponse>> send(HttpRequest Request,
                                         TimePoint Deadline);

private:
  /// Makes later requests use new connections. Requests that are in progress
  /// keep theirs.
  void renewConnections();

  /// Reports that \p Request ended without an answer.
  /// \param WrittenAt when it was written, or nothing if it was not.
  void reportAbandoned(const HttpRequest &Request,
                       std::optional<TimePoint> WrittenAt,
                       ConnectionEnd End) const;

  QString Base;
  AbandonedCallObserver *Observer;
  /// Owns the connections for new requests. It is replaced instead of calling
  /// its clearConnectionCache(), which ends its thread, so that requests still
  /// in progress would never finish.
  std::shared_ptr<QNetworkAccessManager> Http;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
