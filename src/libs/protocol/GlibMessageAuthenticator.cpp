#include "protocol/GlibMessageAuthenticator.h"

#include <glib.h>

namespace anvilsaddle {

namespace {

const guchar *bytes(std::string_view Text) { return reinterpret_cast<const guchar *>(Text.data()); }

} // namespace

std::string GlibMessageAuthenticator::hmac(std::string_view Text) const {
  gchar *Hex = g_compute_hmac_for_data(G_CHECKSUM_SHA256, bytes(this->FleetKey),
                                       this->FleetKey.size(), bytes(Text), Text.size());
  std::string Result(Hex);
  g_free(Hex);
  return Result;
}

bool GlibMessageAuthenticator::constantTimeEquals(std::string_view Left,
                                                  std::string_view Right) const {
  if (Left.size() != Right.size()) {
    return false;
  }
  // Compares every byte, so that the run time does not reveal the position of a difference.
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Difference |=
        static_cast<unsigned char>(Left[Index]) ^ static_cast<unsigned char>(Right[Index]);
  }
  return Difference == 0;
}

} // namespace anvilsaddle
