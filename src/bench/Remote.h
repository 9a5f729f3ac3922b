// Requests to the processes of a run over HTTP and JSON lines.
#ifndef AMARANTHSPUR_BENCH_REMOTE_H
#define AMARANTHSPUR_BENCH_REMOTE_H

#include "core/Clock.h"
#include "core/Result.h"
#include "wire/Connection.h"

#include <QCoroTask>
#include <QJsonObject>

#include <string>

namespace amaranthspur::bench {

/// Methods of HTTP that the bench uses.
enum class HttpMethod { Get, Put };

/// Sends one request and returns the body of an answer with status 200.
/// \param Path with a leading slash.
QCoro::Task<Result<std::string>> sendHttp(HttpMethod Method, Address To,
                                          std::string Path, std::string Body,
                                          TimePoint Deadline);

/// Sends one JSON object as a line and returns the object of the answer.
QCoro::Task<Result<QJsonObject>> sendJsonLine(Address To, QJsonObject Command,
                                              TimePoint Deadline);

/// Returns a port of \p Host that nobody listens on at present. It is taken
/// from below the range from which the system draws the ports of outgoing
/// connections, so that none of those takes it later.
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
