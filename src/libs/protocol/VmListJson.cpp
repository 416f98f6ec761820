#include "protocol/VmListJson.h"

#include <cstddef>
#include <cstdint>
#include <set>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using nlohmann::json;

/// Reads one VM; a problem becomes a finding that names the VM's index.
Vm readVm(const json &Entry, std::size_t Index, const std::string &Path, Findings &Problems) {
  Vm Result;
  try {
    Result.Name = VmName(Entry.at("name").get<std::string>());
    Result.Address = Entry.at("address").get<std::string>();
    Result.Port = Entry.at("port").get<std::uint16_t>();
    Result.PeerPort = Entry.value("peer_port", std::uint16_t{0});
    Result.Domain = FailureDomainName(Entry.at("failure_domain").get<std::string>());
    Result.Role = Entry.at("role").get<std::string>() == "entry" ? VmRole::Entry : VmRole::Target;
    Result.Service = ServiceName(Entry.value("service", std::string()));
    Result.State =
        Entry.value("state", std::string("live")) == "live" ? VmState::Live : VmState::Departing;
  } catch (const json::exception &Error) {
    Problems.push_back({Path, 0, 0, "vms[" + std::to_string(Index) + "]: " + Error.what()});
  }
  return Result;
}

} // namespace

std::variant<VmList, Findings> readVmList(std::string_view Text, const std::string &Path) {
  Findings Problems;
  VmList Result;
  const json Root = json::parse(Text, nullptr, false);
  if (!Root.is_object() || !Root.contains("revision") || !Root["revision"].is_number_unsigned() ||
      !Root.contains("vms") || !Root["vms"].is_array()) {
    Problems.push_back({Path, 0, 0, "expected an object with 'revision' and an array 'vms'"});
    return Problems;
  }
  Result.Revision = Root["revision"].get<std::uint64_t>();
  std::set<VmName> Names;
  for (const json &Entry : Root["vms"]) {
    Result.Vms.push_back(readVm(Entry, Result.Vms.size(), Path, Problems));
    if (!Names.insert(Result.Vms.back().Name).second) {
      Problems.push_back({Path, 0, 0, "VM '" + Result.Vms.back().Name.str() + "' is listed twice"});
    }
  }
  if (!Problems.empty()) {
    return Problems;
  }
  return Result;
}

std::string writeVmList(const VmList &List) {
  json Entries = json::array();
  for (const Vm &Machine : List.Vms) {
    Entries.push_back({{"name", Machine.Name.str()},
                       {"address", Machine.Address},
                       {"port", Machine.Port},
                       {"peer_port", Machine.PeerPort},
                       {"failure_domain", Machine.Domain.str()},
                       {"role", Machine.Role == VmRole::Entry ? "entry" : "target"},
                       {"service", Machine.Service.str()},
                       {"state", Machine.State == VmState::Live ? "live" : "departing"}});
  }
  return json{{"revision", List.Revision}, {"vms", std::move(Entries)}}.dump();
}

} // namespace anvilsaddle
