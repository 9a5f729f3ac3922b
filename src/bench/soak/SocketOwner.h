// Finds the process that holds the other end of a loopback connection.
#ifndef AMARANTHSPUR_BENCH_SOAK_SOCKETOWNER_H
#define AMARANTHSPUR_BENCH_SOAK_SOCKETOWNER_H

#include <cstdint>
#include <string>

namespace amaranthspur::bench::soak {

/// Returns how the kernel names, among the descriptors of its process, the
/// socket that is connected from \p LocalPort to \p RemotePort; empty if there
/// is none. Reads the kernel's table of TCP sockets.
std::string socketLink(std::uint16_t LocalPort, std::uint16_t RemotePort);

/// Returns whether the process \p Id has a descriptor that is named \p Link.
bool hasOpen(std::int64_t Id, const std::string &Link);

} // namespace amaranthspur::bench::soak

#endif // AMARANTHSPUR_BENCH_SOAK_SOCKETOWNER_H
