#include "protocol/PeerRejection.h"

#include <array>

namespace anvilsaddle {

const char *toString(PeerRejection Reason) {
  static constexpr std::array<const char *, PeerRejectionCount> Names = {
      "truncated", "too_large",         "unsupported_version", "bad_authentication",
      "replayed",  "older_incarnation", "too_many_senders",    "malformed"};
  return Names.at(static_cast<std::size_t>(Reason));
}

} // namespace anvilsaddle
