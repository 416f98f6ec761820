#pragma once

#include "state/Identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilsaddle {

enum class VmRole { Entry, Target };
enum class VmState { Live, Departing };

struct Vm {
  VmName Name;
  /// IP number without port.
  std::string Address;
  /// Port of the service on a target, caller-facing port on an entry.
  std::uint16_t Port = 0;
  /// UDP and TCP port for other entries; 0 on targets.
  std::uint16_t PeerPort = 0;
  FailureDomainName Domain;
  VmRole Role = VmRole::Target;
  /// Empty on entries.
  ServiceName Service;
  VmState State = VmState::Live;

  auto operator<=>(const Vm &) const = default;
};

/// The platform's lagging list of VMs. Value type; the revision only rises at the source.
struct VmList {
  std::uint64_t Revision = 0;
  std::vector<Vm> Vms;

  /// Returns null if no VM has this name.
  const Vm *find(const VmName &Name) const;

  auto operator<=>(const VmList &) const = default;
};

/// Name of the target that a VM runs. Precondition: the VM has the role of a target.
TargetName targetName(const Vm &Machine);

} // namespace anvilsaddle
