// One HTTP request at a time, with a deadline.
#ifndef AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
#define AMARANTHSPUR_PLATFORM_HTTPCLIENT_H

#include "core/Address.h"
#include "core/Clock.h"
#include "core/Result.h"

#include <QByteArray>
#include <QCoroTask>
#include <QString>

#include <memory>
#include <utility>
#include <vector>

class QNetworkAccessManager;

namespace amaranthspur {

/// A request without its server.
struct HttpRequest {
  QByteArray Verb;
  QString Path; ///< With the query, percent-encoded.
  QByteArray Body = {};
  QByteArray ContentType = "application/octet-stream";
  std::vector<std::pair<QByteArray, QByteArray>> Headers = {};
  bool FreshConnection = false; ///< Not over a connection used before.
};

/// An answer of any status.
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

/// Client of one HTTP server. Belongs to one thread and outlives its calls.
class HttpClient {
public:
  explicit HttpClient(const Address &Server);

  /// Sends \p Request once.
  /// \returns an error if no answer began to arrive by \p Deadline, or if one
  /// that did stopped for a second or took eight seconds more; the request may
  /// then have been carried out, or may still be.
  QCoro::Task<Result<HttpResponse>> send(HttpRequest Request,
                                         TimePoint Deadline);

private:
  void renewConnections();

  QString Base;
  /// Holds the connections for new requests. It is replaced rather than told to
  /// clear its connections, since that ends its thread and leaves the requests
  /// that it still carries without an answer.
  std::shared_ptr<QNetworkAccessManager> Http;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
