#include "transport/LogBuffer.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace anvilsaddle {

void LogBuffer::add(std::string_view Line) {
  if (this->Waiting.size() + Line.size() + 1 > this->Capacity) {
    ++this->Dropped;
    return;
  }
  this->Waiting += Line;
  this->Waiting += '\n';
}

void LogBuffer::flush() {
  std::size_t Written = 0;
  while (Written < this->Waiting.size()) {
    pollfd Place{this->Descriptor, POLLOUT, 0};
    if (poll(&Place, 1, 0) != 1 || (Place.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready takes this many bytes without blocking.
    const std::size_t Part = std::min<std::size_t>(PIPE_BUF, this->Waiting.size() - Written);
    const ssize_t Count = write(this->Descriptor, this->Waiting.data() + Written, Part);
    if (Count <= 0) {
      break;
    }
    Written += static_cast<std::size_t>(Count);
  }
  this->Waiting.erase(0, Written);
}

} // namespace anvilsaddle
