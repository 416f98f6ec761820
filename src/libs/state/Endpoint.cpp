#include "state/Endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace anvilsaddle {

std::string toString(const Endpoint &Value) {
  return Value.Address + ":" + std::to_string(Value.Port);
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint Result{std::string(Text.substr(0, Colon)), 0};
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Error] = std::from_chars(Text.data() + Colon + 1, End, Result.Port);
  in_addr Parsed{};
  const bool IsAddress = inet_pton(AF_INET, Result.Address.c_str(), &Parsed) == 1;
  if (Error != std::errc() || ParseEnd != End || Result.Port == 0 || !IsAddress) {
    return std::nullopt;
  }
  return Result;
}

} // namespace anvilsaddle
