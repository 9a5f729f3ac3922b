// The CURVE keys of a deployment.
#ifndef AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H
#define AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H

#include <string>
#include <string_view>

namespace amaranthspur {

/// One key pair in Z85 form. All entry VMs of a deployment share it.
///
/// CURVE never sends the server's public key in the clear, and a client has to
/// know it: who does not have the deployment key can neither connect nor read.
struct CurveKeys {
  std::string PublicKey;
  std::string SecretKey;
};

/// Derives the pair: the secret key is SHA-256 of a fixed label, a zero byte
/// and \p DeploymentKey.
CurveKeys deriveCurveKeys(std::string_view DeploymentKey);

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_PEERS_CURVEKEYS_H
