#include "transport/LogBuffer.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace anvilsaddle {

void LogBuffer::add(std::string_view Line) {
  if (this->Buffer.size() + Line.size() + 1 > this->Capacity) {
    ++this->DroppedLines;
    return;
  }
  this->Buffer += Line;
  this->Buffer += '\n';
}

void LogBuffer::flush() {
  std::size_t WrittenBytes = 0;
  while (WrittenBytes < this->Buffer.size()) {
    pollfd PollEntry{this->Descriptor, POLLOUT, 0};
    if (poll(&PollEntry, 1, 0) != 1 || (PollEntry.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready for writing accepts this many bytes without blocking.
    const std::size_t ChunkSize =
        std::min<std::size_t>(PIPE_BUF, this->Buffer.size() - WrittenBytes);
    const ssize_t Result = write(this->Descriptor, this->Buffer.data() + WrittenBytes, ChunkSize);
    if (Result <= 0) {
      break;
    }
    WrittenBytes += static_cast<std::size_t>(Result);
  }
  this->Buffer.erase(0, WrittenBytes);
}

} // namespace anvilsaddle
