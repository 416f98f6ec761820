#pragma once

#include "state/Finding.h"
#include "state/VmList.h"

#include <string>
#include <string_view>
#include <variant>

namespace anvilsaddle {

/// Reads a VM list in JSON; unknown fields are ignored, because the platform may add some.
/// Thread-safe.
std::variant<VmList, Findings> readVmList(std::string_view Text, const std::string &Path);
std::string writeVmList(const VmList &List);

} // namespace anvilsaddle
