// HTTP and JSON-lines requests to the processes of a deployment, and the choice
// of their ports.
#ifndef AMARANTHSPUR_BENCH_REMOTE_H
#define AMARANTHSPUR_BENCH_REMOTE_H

#include "core/Clock.h"
#include "core/Result.h"
#include "wire/Connection.h"

#include <QCoroTask>
#include <QJsonObject>

#include <string>

namespace amaranthspur::bench {

/// The HTTP methods that the bench uses.
enum class HttpMethod { Get, Put };

/// Sends one HTTP request and returns the body of a successful response.
/// \param Path path with a leading slash.
QCoro::Task<Result<std::string>> sendHttp(HttpMethod Method, Address To,
                                          std::string Path, std::string Body,
                                          TimePoint Deadline);

/// Sends one JSON object as a line and returns the JSON object of the answer
/// line.
QCoro::Task<Result<QJsonObject>> sendJsonLine(Address To, QJsonObject Command,
                                              TimePoint Deadline);

/// Returns a TCP port of \p Host that no process listens on and that this
/// function has not returned for \p Host before. The port lies below the
/// system's ephemeral port range, so that no outgoing connection takes it
/// later.
std::uint16_t freePort(const std::string &Host);

} // namespace amaranthspur::bench

namespace amaranthspur {

template <> struct EnumNames<bench::HttpMethod> {
  static constexpr auto Entries =
      std::to_array<std::pair<bench::HttpMethod, std::string_view>>(
          {{bench::HttpMethod::Get, "GET"}, {bench::HttpMethod::Put, "PUT"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_BENCH_REMOTE_H
