#include "coordination/Ticket.h"

#include "coordination/Sealer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <vector>

namespace anvilsaddle {

namespace {

constexpr std::size_t SealLength = 32;
constexpr std::size_t MaxSuffixLength = 64;
/// Issuer, start time, random number, expiry, seal, suffix.
constexpr std::size_t KeyParts = 6;

std::string sealedPart(const Ticket &Value) {
  return Value.Issuer.str() + "." +
         std::to_string(Value.IssuerIncarnation.StartedUnixMilliseconds) + "." +
         std::to_string(Value.IssuerIncarnation.Random) + "." +
         std::to_string(Value.Expiry.time_since_epoch().count());
}

std::string sealOf(const Ticket &Value, const Sealer &Seals) {
  return Seals.seal("ticket:" + Value.Customer.str() + ":" + sealedPart(Value))
      .substr(0, SealLength);
}

template <typename Number> bool parseNumber(std::string_view Text, Number &Result) {
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Error == std::errc() && End == Text.data() + Text.size();
}

bool isSuffix(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxSuffixLength &&
         std::ranges::all_of(Text, [](unsigned char Character) {
           return std::isalnum(Character) || Character == '-' || Character == '_';
         });
}

} // namespace

std::string formatTicket(const Ticket &Value, const Sealer &Seals) {
  return sealedPart(Value) + "." + sealOf(Value, Seals);
}

std::optional<Ticket> parseKeyTicket(std::string_view Key, const CustomerName &Customer,
                                     const Sealer &Seals) {
  std::vector<std::string_view> Parts;
  std::string_view Rest = Key;
  while (Parts.size() + 1 < KeyParts) {
    const std::size_t Dot = Rest.find('.');
    if (Dot == std::string_view::npos) {
      return std::nullopt;
    }
    Parts.push_back(Rest.substr(0, Dot));
    Rest.remove_prefix(Dot + 1);
  }
  if (!isSuffix(Rest)) {
    return std::nullopt;
  }
  Ticket Result;
  std::int64_t Expiry = 0;
  Result.Issuer = VmName(std::string(Parts[0]));
  Result.Customer = Customer;
  if (!parseNumber(Parts[1], Result.IssuerIncarnation.StartedUnixMilliseconds) ||
      !parseNumber(Parts[2], Result.IssuerIncarnation.Random) || !parseNumber(Parts[3], Expiry)) {
    return std::nullopt;
  }
  Result.Expiry = TimePoint(Duration(Expiry));
  if (!Seals.equals(sealOf(Result, Seals), Parts[4])) {
    return std::nullopt;
  }
  return Result;
}

} // namespace anvilsaddle
