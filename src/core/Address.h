// Numeric network addresses.
#ifndef AMARANTHSPUR_CORE_ADDRESS_H
#define AMARANTHSPUR_CORE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthspur {

/// A numeric IP address and a port.
struct Address {
  std::string Host; ///< IPv4 or IPv6 address in numeric form.
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  /// Returns `host:port`.
  std::string str() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CORE_ADDRESS_H
