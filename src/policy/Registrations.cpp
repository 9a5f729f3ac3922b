#include "policy/Registrations.h"

#include <algorithm>
#include <map>
#include <string>

namespace amaranthspur {

std::vector<RegisteredServer>
withoutReplaced(const std::vector<RegisteredServer> &Servers) {
  std::map<std::string, std::int64_t> LatestStart;
  for (const RegisteredServer &Server : Servers) {
    const auto [Known, IsNew] =
        LatestStart.emplace(Server.At.str(), Server.StartedAtMs);
    if (!IsNew)
      Known->second = std::max(Known->second, Server.StartedAtMs);
  }
  std::vector<RegisteredServer> Running;
  for (const RegisteredServer &Server : Servers)
    if (Server.StartedAtMs == LatestStart.at(Server.At.str()))
      Running.push_back(Server);
  return Running;
}

} // namespace amaranthspur
