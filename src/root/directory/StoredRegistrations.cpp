#include "root/directory/StoredRegistrations.h"

#include "platform/Documents.h"
#include "policy/Registrations.h"

namespace amaranthspur {

QCoro::Task<Result<std::vector<RegisteredServer>>>
StoredRegistrations::read(ServiceName Service, TimePoint Deadline) {
  const Result<WatchedRows> R =
      co_await this->Store.readTable(WatchedTable::Servers, Deadline);
  if (!succeeded(R))
    co_return Error{errorOf(R)};
  std::vector<RegisteredServer> Servers;
  for (const WatchedRow &Row : valueOf(R).Rows) {
    // A row that cannot be decoded names no server; PlatformDirectory logs it.
    Result<RegisteredServer> Decoded = decodeServer(Row);
    if (succeeded(Decoded))
      Servers.push_back(valueOf(std::move(Decoded)));
  }
  Servers = withoutReplaced(Servers);
  std::erase_if(Servers, [&Service](const RegisteredServer &Server) {
    return Server.Service != Service;
  });
  co_return Servers;
}

} // namespace amaranthspur
