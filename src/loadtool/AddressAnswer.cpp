#include "loadtool/AddressAnswer.h"

#include <cstddef>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

std::optional<AddressAnswer> parseAddressAnswer(std::string_view Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("entries") || !Json["entries"].is_array()) {
    return std::nullopt;
  }
  AddressAnswer Result;
  for (const auto &Each : Json["entries"]) {
    if (!Each.is_string()) {
      return std::nullopt;
    }
    Result.Entries.push_back(Each.get<std::string>());
  }
  const auto Keep = Json.find("keep_ms");
  if (Result.Entries.empty() || Keep == Json.end() || !Keep->is_number_integer()) {
    return std::nullopt;
  }
  Result.TimeToKeep = std::chrono::milliseconds(Keep->get<std::int64_t>());
  const auto Ticket = Json.find("ticket");
  if (Ticket != Json.end() && Ticket->is_string()) {
    Result.Ticket = Ticket->get<std::string>();
  }
  return Result;
}

std::vector<std::string> splitEntries(std::string_view Header) {
  constexpr std::string_view Separators = ", ";
  std::vector<std::string> Result;
  std::size_t Start = Header.find_first_not_of(Separators);
  while (Start != std::string_view::npos) {
    const std::size_t End = Header.find_first_of(Separators, Start);
    Result.emplace_back(Header.substr(Start, End - Start));
    Start = Header.find_first_not_of(Separators, End);
  }
  return Result;
}

std::string formKey(std::string_view Ticket, std::uint64_t Seed, std::uint32_t Number) {
  return std::string(Ticket) + "." + std::to_string(Seed) + "-" + std::to_string(Number);
}

} // namespace anvilsaddle
