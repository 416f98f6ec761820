#include "state/Finding.h"

namespace anvilsaddle {

std::string toString(const Finding &Problem) {
  return Problem.Path + ":" + std::to_string(Problem.Line) + ":" + std::to_string(Problem.Column) +
         ": " + Problem.Message;
}

} // namespace anvilsaddle
