// A blocking HTTP/1.1 connection and a line reader for the stand-ins.
#ifndef REVIEW_HARNESS_HTTP_H
#define REVIEW_HARNESS_HTTP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

/// A TCP connection with a read buffer. All calls block.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(Descriptor); }

  /// Ends the connection from another thread.
  void shut() { shutdown(Descriptor, SHUT_RDWR); }

  bool write(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t N = send(Descriptor, Bytes.data() + Done,
                             Bytes.size() - Done, MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Done += static_cast<std::size_t>(N);
    }
    return true;
  }

  /// Reads up to and without CR LF. \returns nothing if the connection ends or
  /// \p TimeoutMs passes.
  std::optional<std::string> readLine(int TimeoutMs = -1) {
    while (true) {
      const std::size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Line;
      }
      if (!fill(TimeoutMs))
        return std::nullopt;
    }
  }

  std::optional<std::string> readBytes(std::size_t Count) {
    while (Buffer.size() < Count)
      if (!fill(-1))
        return std::nullopt;
    std::string Bytes = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return Bytes;
  }

private:
  bool fill(int TimeoutMs) {
    pollfd P{Descriptor, POLLIN, 0};
    if (poll(&P, 1, TimeoutMs) != 1)
      return false;
    char Bytes[16384];
    const ssize_t N = recv(Descriptor, Bytes, sizeof(Bytes), 0);
    if (N <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(N));
    return true;
  }

  int Descriptor;
  std::string Buffer;
};

inline sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &A.sin_addr);
  return A;
}

/// Connects; returns -1 on failure.
inline int connectTo(const std::string &Host, int Port) {
  const int S = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in A = socketAddress(Host, Port);
  if (connect(S, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) == 0)
    return S;
  close(S);
  return -1;
}

/// Listens on \p Host; port 0 chooses a free one. \returns -1 on failure.
inline int listenOn(const std::string &Host, int Port) {
  const int S = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(S, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in A = socketAddress(Host, Port);
  if (bind(S, reinterpret_cast<const sockaddr *>(&A), sizeof(A)) == 0 &&
      listen(S, 256) == 0)
    return S;
  close(S);
  return -1;
}

inline int portOf(int Descriptor) {
  sockaddr_in A{};
  socklen_t Size = sizeof(A);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&A), &Size);
  return ntohs(A.sin_port);
}

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
};

inline std::string percentDecoded(const std::string &Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Out += static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Out += Text[I];
    }
  }
  return Out;
}

inline std::optional<HttpRequest> readRequest(Connection &From) {
  std::optional<std::string> Line = From.readLine();
  if (!Line)
    return std::nullopt;
  HttpRequest R;
  const std::size_t Blank = Line->find(' ');
  R.Method = Line->substr(0, Blank);
  std::string Target =
      Line->substr(Blank + 1, Line->rfind(' ') - Blank - 1);
  const std::size_t Mark = Target.find('?');
  R.Path = Target.substr(0, Mark);
  std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t And = Rest.find('&');
    const std::string Pair = Rest.substr(0, And);
    const std::size_t Is = Pair.find('=');
    if (Is != std::string::npos)
      R.Query[Pair.substr(0, Is)] = percentDecoded(Pair.substr(Is + 1));
    Rest = And == std::string::npos ? "" : Rest.substr(And + 1);
  }
  while ((Line = From.readLine()) && !Line->empty()) {
    const std::size_t Colon = Line->find(':');
    std::string Name = Line->substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(tolower(C));
    std::string Value = Line->substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    R.Headers[Name] = Value;
  }
  if (!Line)
    return std::nullopt;
  const auto Length = R.Headers.find("content-length");
  if (Length != R.Headers.end()) {
    const auto Body = From.readBytes(std::stoul(Length->second));
    if (!Body)
      return std::nullopt;
    R.Body = *Body;
  }
  return R;
}

} // namespace review

#endif // REVIEW_HARNESS_HTTP_H
