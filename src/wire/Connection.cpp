#include "wire/Connection.h"

namespace amaranthspur {

QCoro::Task<std::unique_ptr<Connection>>
Connection::open(Address To, std::size_t MaxFrameBytes, TimePoint Deadline,
                 std::string BindHost) {
  QTcpSocket *Socket =
      co_await openSocket(std::move(To), Deadline, std::move(BindHost));
  if (!Socket)
    co_return std::unique_ptr<Connection>();
  co_return std::make_unique<Connection>(Socket, MaxFrameBytes, false);
}

} // namespace amaranthspur
