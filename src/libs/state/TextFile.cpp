#include "state/TextFile.h"

#include <fstream>
#include <iterator>

namespace anvilsaddle {

std::optional<std::string> readTextFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

} // namespace anvilsaddle
