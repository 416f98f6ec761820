#pragma once

#include "state/Identifiers.h"

#include <compare>
#include <map>

namespace anvilsaddle {

/// Distance of a failure domain from this entry.
enum class Distance { SameDomain, SameRegion, OtherRegion };

/// Failure domains with their regions, and the location of this entry. Value type.
struct Topology {
  FailureDomainName OwnDomain;
  RegionName OwnRegion;
  std::map<FailureDomainName, RegionName> RegionByDomain;

  /// Returns the region of a failure domain, empty if the domain is unknown. Thread-safe.
  RegionName regionOf(const FailureDomainName &Domain) const {
    const auto Found = this->RegionByDomain.find(Domain);
    return Found == this->RegionByDomain.end() ? RegionName() : Found->second;
  }

  /// Returns the distance of a failure domain from this entry. Thread-safe.
  Distance distanceTo(const FailureDomainName &Domain) const {
    if (Domain == this->OwnDomain) {
      return Distance::SameDomain;
    }
    return this->regionOf(Domain) == this->OwnRegion ? Distance::SameRegion : Distance::OtherRegion;
  }

  auto operator<=>(const Topology &) const = default;
};

} // namespace anvilsaddle
