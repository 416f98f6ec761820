#include "coordination/customers/CustomerTable.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace anvilsaddle {

namespace {

std::uint64_t prefixOf(const ApiKeyDigest &Digest) {
  std::uint64_t Result = 0;
  std::memcpy(&Result, Digest.data(), sizeof(Result));
  return Result;
}

/// Compares every byte, so that the run time does not reveal the position of a difference.
bool constantTimeEquals(const ApiKeyDigest &Left, const ApiKeyDigest &Right) {
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Difference |= static_cast<unsigned>(Left[Index] ^ Right[Index]);
  }
  return Difference == 0;
}

AuthenticationDecision accept(const CustomerName &Name) { return {true, Name, {}}; }

AuthenticationDecision reject(const char *Reason) { return {false, {}, Reason}; }

} // namespace

CustomerTable::CustomerTable(const Configuration &Config) : Config(Config) {
  for (const auto &[Name, Each] : Config.Customers) {
    for (const ApiKeyDigest &Key : Each.Keys) {
      if (!this->findByKey(Key)) {
        this->CustomersByPrefix.emplace(prefixOf(Key), std::pair(&Key, &Each));
      }
    }
  }
}

const Customer *CustomerTable::find(const CustomerName &Name) const {
  const auto Found = this->Config.Customers.find(Name);
  return Found == this->Config.Customers.end() ? nullptr : &Found->second;
}

const Customer *CustomerTable::findByKey(const ApiKeyDigest &Digest) const {
  const auto [First, Last] = this->CustomersByPrefix.equal_range(prefixOf(Digest));
  const Customer *Result = nullptr;
  for (auto Each = First; Each != Last; ++Each) {
    if (constantTimeEquals(*Each->second.first, Digest)) {
      Result = Each->second.second;
    }
  }
  return Result;
}

AuthenticationDecision CustomerTable::authenticate(const PresentedCredential &Presented,
                                                   bool IsPublic) const {
  if (this->empty()) {
    return accept({});
  }
  switch (Presented.Kind) {
  case PresentedCredential::Form::None:
    return IsPublic ? accept({}) : reject("no API key");
  case PresentedCredential::Form::Malformed:
    return reject("malformed API key");
  case PresentedCredential::Form::Repeated:
    return reject("more than one API key");
  case PresentedCredential::Form::ApiKey:
    break;
  }
  const Customer *Found = this->findByKey(Presented.Digest);
  return Found ? accept(Found->Name) : reject("unknown API key");
}

std::optional<std::set<RegionName>> commonHomeRegions(const std::set<RegionName> &OfRoute,
                                                      const std::set<RegionName> &OfCustomer) {
  if (OfRoute.empty() || OfCustomer.empty()) {
    return OfRoute.empty() ? OfCustomer : OfRoute;
  }
  std::set<RegionName> Result;
  std::set_intersection(OfRoute.begin(), OfRoute.end(), OfCustomer.begin(), OfCustomer.end(),
                        std::inserter(Result, Result.end()));
  return Result.empty() ? std::nullopt : std::optional(std::move(Result));
}

} // namespace anvilsaddle
