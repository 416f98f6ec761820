#include "state/Diagnostic.h"

namespace anvilsaddle {

std::string toString(const Diagnostic &Value) {
  return Value.Path + ":" + std::to_string(Value.Line) + ":" + std::to_string(Value.Column) + ": " +
         Value.Message;
}

} // namespace anvilsaddle
