#include "state/VmList.h"

#include <algorithm>

namespace anvilsaddle {

const Vm *VmList::find(const VmName &Name) const {
  const auto Found = std::ranges::find(this->Vms, Name, &Vm::Name);
  return Found == this->Vms.end() ? nullptr : &*Found;
}

TargetName targetName(const Vm &Machine) {
  return TargetName(Machine.Name.str() + "/" + Machine.Service.str());
}

} // namespace anvilsaddle
