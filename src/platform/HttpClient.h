// HTTP client whose requests have a deadline.
#ifndef AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
#define AMARANTHSPUR_PLATFORM_HTTPCLIENT_H

#include "core/AbandonedCall.h"
#include "core/Address.h"
#include "core/Async.h"
#include "core/Result.h"

#include <QByteArray>
#include <QCoroTask>
#include <QString>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace amaranthspur {

class HttpStream;

/// A request to the server of an HttpClient.
struct HttpRequest {
  QByteArray Verb;
  QString Path; ///< Path and query, percent-encoded.
  QByteArray Body = {};
  QByteArray ContentType = "application/octet-stream";
  std::vector<std::pair<QByteArray, QByteArray>> Headers = {};
  bool FreshConnection = false; ///< Requires a connection not used before.
  /// Boot clock (core/BootClock.h). Nothing of the request is sent later.
  TimePoint SendBy = TimePoint::max();
  CallSubject Subject = {}; ///< For the report of a request without an answer.
};

/// A complete response, whatever its status.
struct HttpResponse {
  int Status = 0;
  QByteArray Body = {};
  std::vector<std::pair<QByteArray, QByteArray>> Headers = {};

  /// Returns the value of the header \p Name, whatever its case, or nothing if
  /// it is missing.
  std::optional<QByteArray> header(const QByteArray &Name) const;
};

inline constexpr int HttpOk = 200;
inline constexpr int HttpNotFound = 404;
inline constexpr int HttpGone = 410;
inline constexpr int HttpPreconditionFailed = 412;
inline constexpr int HttpTooManyRequests = 429;
inline constexpr int HttpFirstServerError = 500;

/// Client of one HTTP server. It is used in one thread only and must outlive
/// the tasks of its calls.
///
/// A request without an answer is given up by resetting its connection, so that
/// the bytes that have not been delivered are discarded and it is not executed
/// when the path works again.
class HttpClient {
public:
  /// Most requests that use a connection at a time; others wait until their
  /// deadline. A long poll uses one for its whole wait. A request that requires
  /// a new connection does not wait. Requests begun before the last one that
  /// got no answer are not counted.
  static constexpr std::size_t MaxConnections = 6;

  /// \param Observer is told of requests without an answer, except reads. May
  /// be null; otherwise it must outlive this object.
  explicit HttpClient(const Address &Server,
                      AbandonedCallObserver *Observer = nullptr);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Sends \p Request once, without retries. Only a GET on an existing
  /// connection that turns out to be closed is sent again, over a new one.
  ///
  /// A response that has begun to arrive by \p Deadline is read to its end, for
  /// up to 8 s after the deadline, unless it pauses for 1 s.
  /// \returns the response, or an error if no response began to arrive by
  /// \p Deadline or if it did not complete within these limits. After an error
  /// the server may have executed the request.
  QCoro::Task<Result<HttpResponse>> send(HttpRequest Request,
                                         TimePoint Deadline);

private:
  /// A connection that no request uses.
  struct IdleStream {
    std::unique_ptr<HttpStream> Stream;
    TimePoint Since;
  };

  /// Counts a request that uses a connection for as long as it exists.
  class Use {
  public:
    explicit Use(HttpClient &Client)
        : Client(Client), Generation(Client.Generation) {
      ++this->Client.InUse;
    }
    Use(const Use &) = delete;
    Use &operator=(const Use &) = delete;
    ~Use() {
      if (!this->isCurrent())
        return;
      --this->Client.InUse;
      this->Client.Released.notifyAll();
    }

    /// Returns whether the connections have not been dropped since.
    bool isCurrent() const {
      return this->Generation == this->Client.Generation;
    }

  private:
    HttpClient &Client;
    std::uint64_t Generation;
  };

  /// Opens a connection. Returns null if that failed.
  QCoro::Task<std::unique_ptr<HttpStream>> open(TimePoint Deadline);
  /// Returns an idle connection, or null if there is none that can be used.
  std::unique_ptr<HttpStream> takeIdle();
  /// Drops the idle connections. Requests that are in progress keep theirs,
  /// which are not used again. They do not count for the limit any more:
  /// otherwise those on dead connections would hold up all others.
  void dropConnections();
  /// Writes \p Request and reads the response on \p Stream.
  QCoro::Task<Result<HttpResponse>>
  exchange(const HttpRequest &Request, HttpStream &Stream, TimePoint Deadline);
  /// Reads the response until it is complete or its time is over.
  static QCoro::Task<> readResponse(HttpStream &Stream, TimePoint Deadline);
  /// Returns the bytes of \p Request.
  std::string encode(const HttpRequest &Request) const;
  /// Reports that \p Request ended without an answer, if it is not a read.
  void reportAbandoned(const HttpRequest &Request, const HttpStream &Stream,
                       std::size_t Size, TimePoint WrittenAt) const;

  Address Server;
  AbandonedCallObserver *Observer;
  std::vector<IdleStream> Idle;
  /// Incremented by dropConnections(). A connection is used again only if it is
  /// unchanged since its request began.
  std::uint64_t Generation = 0;
  std::size_t InUse = 0; ///< Requests of this generation.
  TaskCondition Released;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_HTTPCLIENT_H
