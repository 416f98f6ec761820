#include "transport/LogBuffer.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace anvilsaddle {

std::size_t LogBuffer::capacityFor(LogImportance Importance) const {
  const std::size_t Reserved = this->Capacity / StateShareDivisor;
  return Importance == LogImportance::State ? this->Capacity : this->Capacity - Reserved;
}

std::optional<LogLineCounts> LogBuffer::takeGap() {
  const LogLineCounts Gap = this->DroppedLines - this->ReportedLines;
  const bool HasRoom = this->Buffer.size() < this->capacityFor(LogImportance::Detail);
  if (Gap.total() == 0 || !HasRoom) {
    return std::nullopt;
  }
  this->ReportedLines = this->DroppedLines;
  return Gap;
}

void LogBuffer::add(std::string_view Line, LogImportance Importance) {
  if (this->Buffer.size() + Line.size() + 1 > this->capacityFor(Importance)) {
    this->DroppedLines.add(Importance);
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
