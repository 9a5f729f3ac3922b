#include "bench/soak/SocketOwner.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace amaranthspur::bench::soak {
namespace {

/// Returns the port of an address of the table, IP:PORT in hexadecimal digits.
std::uint16_t portOf(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  return Colon == std::string::npos
             ? 0
             : static_cast<std::uint16_t>(
                   std::strtoul(Text.c_str() + Colon + 1, nullptr, 16));
}

} // namespace

std::string socketLink(std::uint16_t LocalPort, std::uint16_t RemotePort) {
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  while (std::getline(Table, Line)) {
    // Number, local and remote address, state, queues, timer, retransmissions,
    // user, timeout, inode; 0 once the process has closed the socket.
    std::istringstream In(Line);
    std::string Local;
    std::string Remote;
    std::string Skipped;
    std::string Inode;
    In >> Skipped >> Local >> Remote >> Skipped >> Skipped >> Skipped >>
        Skipped >> Skipped >> Skipped >> Inode;
    if (portOf(Local) == LocalPort && portOf(Remote) == RemotePort &&
        Inode != "0")
      return "socket:[" + Inode + "]";
  }
  return {};
}

bool hasOpen(std::int64_t Id, const std::string &Link) {
  namespace fs = std::filesystem;
  std::error_code Problem;
  // The process may end meanwhile; then it has nothing open.
  for (fs::directory_iterator
           At("/proc/" + std::to_string(Id) + "/fd", Problem),
       End;
       !Problem && At != End; At.increment(Problem)) {
    std::error_code Gone;
    if (fs::read_symlink(At->path(), Gone) == Link)
      return true;
  }
  return false;
}

} // namespace amaranthspur::bench::soak
