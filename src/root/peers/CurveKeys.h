// Derives the CURVE keys of a deployment.
#ifndef AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H
#define AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H

#include <string>
#include <string_view>

namespace amaranthspur {

/// A CURVE key pair in Z85 encoding. All entry VMs of a deployment share it.
///
/// CURVE never sends the server's public key in plaintext, and a client needs
/// it to connect. A process without the deployment key can therefore neither
/// connect to an entry VM nor read the traffic.
struct CurveKeys {
  std::string PublicKey;
  std::string SecretKey;
};

/// Derives the key pair of a deployment. The secret key is the SHA-256 hash of
/// a fixed label, a zero byte and \p DeploymentKey.
CurveKeys deriveCurveKeys(std::string_view DeploymentKey);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H
