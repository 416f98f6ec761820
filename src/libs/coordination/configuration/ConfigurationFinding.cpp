#include "coordination/configuration/ConfigurationFinding.h"

namespace anvilsaddle {

const char *toString(FindingSeverity Severity) {
  switch (Severity) {
  case FindingSeverity::Note:
    return "note";
  case FindingSeverity::Warning:
    return "warning";
  case FindingSeverity::Error:
    return "error";
  }
  return "unknown";
}

} // namespace anvilsaddle
