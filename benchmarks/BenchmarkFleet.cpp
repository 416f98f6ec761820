#include "BenchmarkFleet.h"

#include "protocol/OpenSslSealer.h"

#include <algorithm>
#include <stdexcept>

namespace anvilsaddle {

namespace {

std::string domainName(const FleetSize &Size, std::uint32_t Index) {
  const std::uint32_t Domain = Index % (Size.Regions * Size.DomainsPerRegion);
  return "region-" + std::to_string(Domain % Size.Regions) + "-" +
         std::to_string(Domain / Size.Regions);
}

std::string customerName(std::uint32_t Customer) { return "customer-" + std::to_string(Customer); }

std::uint32_t serviceOf(const FleetSize &Size, std::uint32_t Customer, std::uint32_t Route) {
  return (Customer + Route) % Size.Services;
}

void offerOrThrow(SettingsStore &Store, const std::string &Path, const std::string &Text) {
  const OfferResult Result = Store.offer(Path, 1, Text);
  if (Result.Outcome != OfferOutcome::Accepted) {
    throw std::logic_error(Path + " refused: " + toString(Result.Problems.at(0)));
  }
}

} // namespace

std::string platformText(const FleetSize &Size) {
  std::string Result;
  for (std::uint32_t Region = 0; Region < Size.Regions; ++Region) {
    Result += "[[region]]\nname = \"region-" + std::to_string(Region) + "\"\n";
  }
  for (std::uint32_t Domain = 0; Domain < Size.Regions * Size.DomainsPerRegion; ++Domain) {
    Result += "[[failure_domain]]\nname = \"" + domainName(Size, Domain) +
              "\"\nregion = \"region-" + std::to_string(Domain % Size.Regions) + "\"\n";
  }
  for (std::uint32_t Service = 0; Service < Size.Services; ++Service) {
    Result += "[[service]]\nname = \"service-" + std::to_string(Service) + "\"\n";
  }
  return Result;
}

std::string teamText(const FleetSize &Size, std::uint32_t Team) {
  const std::string Hash = OpenSslSealer("unused").sha256Hex("secret");
  const std::uint32_t First = Team * Size.CustomersPerTeam;
  const std::uint32_t End = std::min(First + Size.CustomersPerTeam, Size.Customers);
  std::string Result;
  for (std::uint32_t Customer = First; Customer < End; ++Customer) {
    Result += "[[customer]]\nname = \"" + customerName(Customer) + "\"\nkey_sha256 = [\"" + Hash +
              "\"]\nmax_in_flight = 100000\n";
  }
  for (std::uint32_t Customer = First; Customer < End; ++Customer) {
    for (std::uint32_t Route = 0; Route < Size.RoutesPerCustomer; ++Route) {
      Result += "[[route]]\nname = \"" + customerName(Customer) + "-" + std::to_string(Route) +
                "\"\ncustomer = \"" + customerName(Customer) + "\"\npath_prefix = \"" +
                requestPath(Size, Customer, Route) + "\"\nservice = \"service-" +
                std::to_string(serviceOf(Size, Customer, Route)) + "\"\nrepeatable = true\n";
    }
  }
  return Result;
}

std::uint32_t teamCount(const FleetSize &Size) {
  return (Size.Customers + Size.CustomersPerTeam - 1) / Size.CustomersPerTeam;
}

VmList makeVmList(const FleetSize &Size) {
  VmList Result;
  Result.Revision = 1;
  for (std::uint32_t Index = 0; Index < Size.Entries + Size.Targets; ++Index) {
    const bool Entry = Index < Size.Entries;
    const std::uint32_t Number = Entry ? Index : Index - Size.Entries;
    Vm Machine;
    Machine.Name = VmName((Entry ? "entry-" : "target-") + std::to_string(Number));
    Machine.Address = "127." + std::to_string(Index / 62'500) + "." +
                      std::to_string(Index / 250 % 250) + "." + std::to_string(Index % 250 + 1);
    Machine.Port = 8080;
    Machine.PeerPort = Entry ? 8081 : 0;
    Machine.Domain = FailureDomainName(domainName(Size, Number));
    Machine.Role = Entry ? VmRole::Entry : VmRole::Target;
    if (!Entry) {
      Machine.Service = ServiceName("service-" + std::to_string(Number % Size.Services));
      // The offset puts the targets of a service in different domains.
      Machine.Domain = FailureDomainName(domainName(Size, Number / Size.Services + Number));
    }
    Result.Vms.push_back(std::move(Machine));
  }
  return Result;
}

void offerAll(SettingsStore &Store, const FleetSize &Size) {
  offerOrThrow(Store, "platform", platformText(Size));
  for (std::uint32_t Team = 0; Team < teamCount(Size); ++Team) {
    offerOrThrow(Store, "teams/team-" + std::to_string(Team), teamText(Size, Team));
  }
}

std::string authorizationOf(const FleetSize &Size, std::uint32_t Customer) {
  return "Bearer team-" + std::to_string(Customer / Size.CustomersPerTeam) + "." +
         customerName(Customer) + ".secret";
}

std::string requestPath(const FleetSize &, std::uint32_t, std::uint32_t Route) {
  return "/route-" + std::to_string(Route);
}

} // namespace anvilsaddle
