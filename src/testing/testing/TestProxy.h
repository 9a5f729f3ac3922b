// A fixture for integration tests that runs a fault-proxy process.
#ifndef AMARANTHSPUR_TESTING_TESTING_TESTPROXY_H
#define AMARANTHSPUR_TESTING_TESTING_TESTPROXY_H

#include "testing/testing/TestGroup.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace amaranthspur {

/// A running fault-proxy with one link to a backend server, named "link".
struct TestProxy {
  std::uint16_t ControlPort = freePort();
  std::uint16_t LinkPort = freePort();
  CheckedProcess Process;

  /// \param Upstream the address that the link forwards to.
  explicit TestProxy(const std::string &Upstream)
      : Process(startProgram(
            "fault-proxy",
            {"--control", "127.0.0.1:" + std::to_string(ControlPort), "--link",
             "link=127.0.0.1:" + std::to_string(LinkPort) + ">" + Upstream})) {}

  /// Sends one line to the control port and returns the answer.
  std::string command(const std::string &Line) const {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in To = {};
    To.sin_family = AF_INET;
    To.sin_port = htons(this->ControlPort);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string Answer;
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0) {
      const std::string Text = Line + "\n";
      char Byte = 0;
      if (write(Socket, Text.data(), Text.size()) > 0)
        while (read(Socket, &Byte, 1) == 1 && Byte != '\n')
          Answer += Byte;
    }
    close(Socket);
    return Answer;
  }

  /// Adds a fault rule with \p Fields, a comma-separated list of JSON members,
  /// or replaces the rule for the same connections. Without `from` and `to` the
  /// rule applies to all connections.
  void set(const std::string &Fields) const {
    CHECK(this->command("{\"command\":\"set\"" +
                        (Fields.empty() ? "" : "," + Fields) + "}") ==
          "{\"ok\":true}");
  }

  /// Connects to the backend server through the link.
  Result<PgClient> connect(Duration Timeout = TestTimeout) const {
    PgTarget Target;
    Target.Port = this->LinkPort;
    Target.ConnectTimeout = Timeout;
    return PgClient::connect(Target);
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_TESTING_TESTPROXY_H
