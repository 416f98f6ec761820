#include "protocol/VmListJson.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <set>
#include <stdexcept>

#include <gio/gio.h>
#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNameBytes = 63;

/// A name that can be part of a target name, a log line and a peer envelope.
bool isVmName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::ranges::all_of(
             Text, [](unsigned char Byte) { return std::isgraph(Byte) != 0 && Byte != '/'; });
}

/// Without the check, the JSON library wraps numbers that are too large for a port.
std::uint16_t readPort(const json &Entry, const char *Key, std::uint64_t Minimum) {
  const json Value = Entry.value(Key, json());
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() < Minimum ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::uint16_t>::max()) {
    throw std::invalid_argument(std::string("'") + Key + "' must be " + std::to_string(Minimum) +
                                " to 65535");
  }
  return Value.get<std::uint16_t>();
}

/// Reads one VM; a problem becomes a finding that names the VM's index.
Vm readVm(const json &Entry, std::size_t Index, const std::string &Path, Findings &Problems) {
  Vm Result;
  try {
    Result.Name = VmName(Entry.at("name").get<std::string>());
    if (!isVmName(Result.Name.str())) {
      throw std::invalid_argument("'name' must be 1 to 63 printable characters without '/'");
    }
    Result.Address = Entry.at("address").get<std::string>();
    if (Result.Address.find('\0') != std::string::npos ||
        !g_hostname_is_ip_address(Result.Address.c_str())) {
      throw std::invalid_argument("'address' must be an IP number");
    }
    Result.Port = readPort(Entry, "port", 1);
    Result.PeerPort = Entry.contains("peer_port") ? readPort(Entry, "peer_port", 0) : 0;
    Result.Domain = FailureDomainName(Entry.at("failure_domain").get<std::string>());
    Result.Role = Entry.at("role").get<std::string>() == "entry" ? VmRole::Entry : VmRole::Target;
    Result.Service = ServiceName(Entry.value("service", std::string()));
    Result.State =
        Entry.value("state", std::string("live")) == "live" ? VmState::Live : VmState::Departing;
  } catch (const std::exception &Error) {
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
