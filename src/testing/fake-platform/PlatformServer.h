// The HTTP interface of the stand-in for the platform's service.
// Speaks what the platform's store speaks, as far as this program uses it, and
// takes orders of tests: docs/design.md, section 10.1, has the requests.
#ifndef AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H
#define AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H

#include "testing/fake-platform/PlatformStore.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QUrlQuery>

#include <optional>

namespace amaranthspur::fakeplatform {

/// Serves a PlatformStore. `/fault` is served also during an outage.
class PlatformServer final : public QAbstractHttpServer {
public:
  /// \param Store outlives the server.
  explicit PlatformServer(PlatformStore &Store);

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override;
  void missingHandler(const QHttpServerRequest &Request,
                      QTcpSocket *Socket) override;

private:
  /// One answer, before faults apply to it.
  struct Answer {
    int Status = 200;
    QByteArray Body;
    bool Binary = false;
  };

  Answer answer(const QHttpServerRequest &Request);
  Answer carryOut(QHttpServerRequest::Method Method, const QString &Path,
                  const QUrlQuery &Query, const QByteArray &Body);
  Answer readRows(const QUrlQuery &Query);
  Answer writeRow(const QByteArray &Body);
  /// Answers a long poll now, or nothing while it has nothing to say.
  std::optional<Answer> feed(const QUrlQuery &Query);
  void poll(const QHttpServerRequest &Request, QTcpSocket *Socket);
  Answer setForeign(QHttpServerRequest::Method Method, const std::string &Name,
                    const QByteArray &Body);
  Answer object(QHttpServerRequest::Method Method, const std::string &Name,
                const QByteArray &Body);
  Answer vms(QHttpServerRequest::Method Method, const std::string &Id,
             const QByteArray &Body);
  Answer setFault(const QByteArray &Body);
  void send(const QHttpServerRequest &Request, QTcpSocket *Socket,
            const Answer &Reply);

  PlatformStore &Store;
};

} // namespace amaranthspur::fakeplatform

#endif // AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H
