#include "state/Diagnostic.h"

namespace anvilsaddle {

std::string toString(const Diagnostic &Problem) {
  return Problem.Path + ":" + std::to_string(Problem.Line) + ":" + std::to_string(Problem.Column) +
         ": " + Problem.Message;
}

} // namespace anvilsaddle
