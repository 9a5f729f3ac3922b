// The HTTP interface of the fake platform service.
//
// It implements the part of the platform store's protocol that the proxy uses,
// and requests by which tests inject faults. docs/design.md, section 10.1,
// lists the requests.
#ifndef AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H
#define AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H

#include "testing/fake-platform/PlatformStore.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QUrlQuery>

#include <optional>

namespace amaranthspur::fakeplatform {

/// Serves a PlatformStore over HTTP. Requests to `/fault` are answered even
/// during an injected outage.
class PlatformServer final : public QAbstractHttpServer {
public:
  /// \param Store must outlive this object.
  explicit PlatformServer(PlatformStore &Store);

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override;
  void missingHandler(const QHttpServerRequest &Request,
                      QTcpSocket *Socket) override;

private:
  /// An HTTP response before faults are applied to it.
  struct Answer {
    int Status = 200;
    QByteArray Body;
    bool Binary = false;
  };

  Answer answer(const QHttpServerRequest &Request);
  Answer dispatch(QHttpServerRequest::Method Method, const QString &Path,
                  const QUrlQuery &Query, const QByteArray &Body);
  Answer readRows(const QUrlQuery &Query);
  Answer writeRow(const QByteArray &Body);
  /// Returns the answer to a long poll; nothing while there are no changes.
  std::optional<Answer> feed(const QUrlQuery &Query);
  /// Answers a long poll once there are changes or its waiting time is over.
  void poll(const QHttpServerRequest &Request, QTcpSocket *Socket);
  Answer setExternalRow(QHttpServerRequest::Method Method,
                        const std::string &Name, const QByteArray &Body);
  Answer object(QHttpServerRequest::Method Method, const std::string &Name,
                const QByteArray &Body);
  Answer vms(QHttpServerRequest::Method Method, const std::string &Id,
             const QByteArray &Body);
  Answer setFault(const QByteArray &Body);
  void send(const QHttpServerRequest &Request, QTcpSocket *Socket,
            const Answer &Reply);
  void write(QHttpServerResponder &Responder, const Answer &Reply) const;

  PlatformStore &Store;
};

} // namespace amaranthspur::fakeplatform

#endif // AMARANTHSPUR_TESTING_FAKEPLATFORM_PLATFORMSERVER_H
