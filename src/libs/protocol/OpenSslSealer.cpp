#include "protocol/OpenSslSealer.h"

#include <array>
#include <cstddef>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace anvilsaddle {

namespace {

using Sha256 = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

std::string toHex(const Sha256 &Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result;
  Result.reserve(Bytes.size() * 2);
  for (const unsigned char Byte : Bytes) {
    Result.push_back(Digits[Byte >> 4]);
    Result.push_back(Digits[Byte & 0xF]);
  }
  return Result;
}

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string OpenSslSealer::sha256Hex(std::string_view Text) const {
  Sha256 Digest{};
  SHA256(bytes(Text), Text.size(), Digest.data());
  return toHex(Digest);
}

std::string OpenSslSealer::seal(std::string_view Text) const {
  Sha256 Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), this->FleetKey.data(), static_cast<int>(this->FleetKey.size()), bytes(Text),
       Text.size(), Digest.data(), &Length);
  return toHex(Digest);
}

bool OpenSslSealer::equals(std::string_view Left, std::string_view Right) const {
  return Left.size() == Right.size() && CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace anvilsaddle
