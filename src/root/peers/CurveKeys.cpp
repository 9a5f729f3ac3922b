#include "root/peers/CurveKeys.h"

#include <QCryptographicHash>

#include <array>
#include <cstdlib>

#include <zmq.h>

namespace amaranthspur {
namespace {

constexpr std::string_view KeyDerivationLabel = "amaranthspur peer network v1";
/// Length of a 32-byte key in Z85 encoding, including the terminating zero
/// byte.
constexpr std::size_t Z85KeyBytes = 41;

} // namespace

CurveKeys deriveCurveKeys(std::string_view DeploymentKey) {
  QCryptographicHash Hash(QCryptographicHash::Sha256);
  Hash.addData(
      QByteArrayView(KeyDerivationLabel.data(),
                     static_cast<qsizetype>(KeyDerivationLabel.size())));
  Hash.addData(QByteArrayView("\0", 1));
  Hash.addData(QByteArrayView(DeploymentKey.data(),
                              static_cast<qsizetype>(DeploymentKey.size())));
  const QByteArray Secret = Hash.result();
  std::array<char, Z85KeyBytes> SecretText{};
  std::array<char, Z85KeyBytes> PublicText{};
  // The inputs have a fixed, valid size, so these calls fail only if libzmq was
  // built without CURVE support. Debian's libzmq has CURVE support.
  if (!zmq_z85_encode(SecretText.data(),
                      reinterpret_cast<const std::uint8_t *>(Secret.data()),
                      static_cast<std::size_t>(Secret.size())) ||
      zmq_curve_public(PublicText.data(), SecretText.data()) != 0)
    std::abort();
  return {PublicText.data(), SecretText.data()};
}

} // namespace amaranthspur
