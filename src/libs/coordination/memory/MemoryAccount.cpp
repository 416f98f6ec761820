#include "coordination/memory/MemoryAccount.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace anvilsaddle {

namespace {

constexpr std::size_t BytesPerMb = std::size_t{1} << 20;
/// Memory of the process without requests: program, tables, messages and logs. Larger VMs serve
/// larger fleets.
constexpr std::size_t MinProcessMb = 32;
constexpr std::size_t ProcessShare = 4;
/// Part of the rest for memory that the account does not see: buffers of sockets and the allocator.
constexpr std::size_t UnseenShare = 16;
constexpr std::size_t SmallReserveShare = 8;
constexpr std::size_t ConnectionReserveShare = 16;
constexpr Duration ProgressCheckInterval = std::chrono::seconds(1);
/// Expected wait while nothing arrives: senders that have stopped are ended within this time.
constexpr std::chrono::seconds StoppedSenderWait(3);
constexpr std::chrono::seconds MinExpectedWait(1);

/// What is left of a reserve of which some bytes are used.
std::size_t unusedPart(std::size_t Reserve, std::size_t Used) {
  return Reserve - std::min(Reserve, Used);
}

} // namespace

const char *toString(MemoryKind Kind) {
  static constexpr std::array<const char *, MemoryKindCount> Names = {
      "request_body", "expected_response", "output", "unread_input", "connection", "response"};
  return Names.at(static_cast<std::size_t>(Kind));
}

MemoryLimits MemoryLimits::forVm(std::int64_t MemoryMb) {
  const auto Memory = static_cast<std::size_t>(MemoryMb);
  const std::size_t Process = std::max(MinProcessMb, Memory / ProcessShare);
  const std::size_t Rest = (Memory - std::min(Memory, Process)) * BytesPerMb;
  MemoryLimits Result;
  Result.TotalBytes = Rest - Rest / UnseenShare;
  Result.SmallReserveBytes = Result.TotalBytes / SmallReserveShare;
  Result.ConnectionReserveBytes = Result.TotalBytes / ConnectionReserveShare;
  return Result;
}

BodyNumber MemoryAccount::addBody(TimePoint Now, MemoryKind Kind) {
  Body New;
  New.Kind = Kind;
  New.Started = Now;
  New.LastArrival = Now;
  this->Bodies.emplace(++this->LastBody, New);
  return this->LastBody;
}

std::size_t MemoryAccount::used() const {
  return std::accumulate(this->Held.begin(), this->Held.end(), std::size_t{0});
}

bool MemoryAccount::fits(const Body &Each) const {
  const std::size_t Wanted = this->used() - Each.Reserved + Each.Wanted;
  if (isSmall(Each.Wanted)) {
    const std::size_t Connections = this->used(MemoryKind::Connection);
    return Wanted + unusedPart(this->Limits.ConnectionReserveBytes, Connections) <=
           this->Limits.TotalBytes;
  }
  // Small bodies and the other kinds use the reserve first.
  const std::size_t InReserve =
      this->SmallBytes - (isSmall(Each.Reserved) ? Each.Reserved : 0) + this->otherBytes();
  return Wanted + unusedPart(this->Limits.SmallReserveBytes, InReserve) <= this->Limits.TotalBytes;
}

void MemoryAccount::setReserved(Body &Each, std::size_t Bytes) {
  (isSmall(Each.Reserved) ? this->SmallBytes : this->LargeBytes) -= Each.Reserved;
  std::size_t &OfKind = this->Held.at(static_cast<std::size_t>(Each.Kind));
  OfKind = OfKind - Each.Reserved + Bytes;
  Each.Reserved = Bytes;
  (isSmall(Each.Reserved) ? this->SmallBytes : this->LargeBytes) += Each.Reserved;
  this->PeakBytes = std::max(this->PeakBytes, this->used());
}

MemoryAccount::BodyState MemoryAccount::reserve(BodyNumber Number, std::size_t Bytes,
                                                TimePoint Now) {
  this->LastTime = std::max(this->LastTime, Now);
  Body &Each = this->Bodies.at(Number);
  if (Bytes <= Each.Reserved || Each.State != BodyState::Granted) {
    return Each.State;
  }
  Each.Wanted = Bytes;
  if (Bytes > this->Limits.TotalBytes - this->Limits.SmallReserveBytes) {
    this->refuse(Number, BodyState::RefusedAsTooLarge);
    return Each.State;
  }
  const bool HoldsMemory = !isSmall(Each.Reserved);
  std::deque<BodyNumber> &Queue = isSmall(Bytes) ? this->SmallQueue : this->LargeQueue;
  const bool MayOvertake = HoldsMemory || Queue.empty();
  if (MayOvertake && this->fits(Each)) {
    this->setReserved(Each, Bytes);
    return Each.State;
  }
  Each.State = BodyState::Waiting;
  Each.WaitingSince = Now;
  ++this->Statistics.Pauses;
  const auto HoldsNone = [this](BodyNumber Other) {
    return isSmall(this->Bodies.at(Other).Reserved);
  };
  Queue.insert(HoldsMemory ? std::find_if(Queue.begin(), Queue.end(), HoldsNone) : Queue.end(),
               Number);
  return Each.State;
}

bool MemoryAccount::tryReserve(BodyNumber Number, std::size_t Bytes) {
  Body &Each = this->Bodies.at(Number);
  if (Bytes <= Each.Reserved) {
    return true;
  }
  if (Each.State != BodyState::Granted || !this->hasRoomFor(Bytes - Each.Reserved)) {
    return false;
  }
  this->setReserved(Each, Bytes);
  return true;
}

void MemoryAccount::shrinkBody(BodyNumber Number, std::size_t Bytes) {
  Body &Each = this->Bodies.at(Number);
  this->setReserved(Each, std::min(Each.Reserved, Bytes));
  this->grantWaiting();
}

void MemoryAccount::completeBody(BodyNumber Number, std::size_t Bytes) {
  this->leaveQueues(Number);
  Body &Each = this->Bodies.at(Number);
  Each.IsComplete = true;
  Each.Received = Bytes;
  Each.OnDecision = nullptr;
  this->setReserved(Each, Bytes);
  this->grantWaiting();
}

void MemoryAccount::onBodyBytes(BodyNumber Number, std::size_t Received) {
  Body &Each = this->Bodies.at(Number);
  if (!isSmall(Each.Reserved)) {
    this->ArrivedBytes += Received - Each.Received;
  }
  Each.Received = Received;
  Each.LastArrival = this->LastTime;
}

void MemoryAccount::removeBody(BodyNumber Number) {
  this->leaveQueues(Number);
  Body &Removed = this->Bodies.at(Number);
  if (!isSmall(Removed.Reserved) && Removed.State == BodyState::Granted) {
    this->LastProgress = this->LastTime;
  }
  this->setReserved(Removed, 0);
  this->Bodies.erase(Number);
  this->grantWaiting();
}

void MemoryAccount::change(MemoryKind Kind, std::size_t From, std::size_t To) {
  std::size_t &Bytes = this->Held.at(static_cast<std::size_t>(Kind));
  Bytes = Bytes - From + To;
  this->PeakBytes = std::max(this->PeakBytes, this->used());
  if (To < From) {
    this->grantWaiting();
  }
}

bool MemoryAccount::hasFallenBy(std::size_t Bytes) {
  const std::size_t Used = this->used();
  if (this->PeakBytes < Used + Bytes) {
    return false;
  }
  this->PeakBytes = Used;
  return true;
}

bool MemoryAccount::hasRoomFor(std::size_t Bytes) const {
  return this->used() + Bytes <= this->Limits.TotalBytes / 4 * 3;
}

void MemoryAccount::grantWaiting() {
  this->grantWaiting(this->SmallQueue);
  this->grantWaiting(this->LargeQueue);
}

void MemoryAccount::grantWaiting(std::deque<BodyNumber> &Queue) {
  while (!Queue.empty()) {
    const BodyNumber Number = Queue.front();
    Body &First = this->Bodies.at(Number);
    if (!this->fits(First)) {
      return;
    }
    Queue.pop_front();
    First.State = BodyState::Granted;
    First.Waited += this->LastTime - First.WaitingSince;
    First.LastArrival = this->LastTime;
    this->setReserved(First, First.Wanted);
    this->Decided.push_back(Number);
  }
}

void MemoryAccount::notifyDecided() {
  for (const BodyNumber Each : std::exchange(this->Decided, {})) {
    const auto Found = this->Bodies.find(Each);
    if (Found != this->Bodies.end() && Found->second.OnDecision) {
      // Call a copy, because the function may remove the body, which owns the original.
      const std::function<void()> Callback = Found->second.OnDecision;
      Callback();
    }
  }
}

void MemoryAccount::leaveQueues(BodyNumber Number) {
  std::erase(this->SmallQueue, Number);
  std::erase(this->LargeQueue, Number);
}

void MemoryAccount::refuse(BodyNumber Number, BodyState Reason) {
  this->leaveQueues(Number);
  Body &Refused = this->Bodies.at(Number);
  Refused.State = Reason;
  this->Decided.push_back(Number);
  // The bytes stay reserved until the connection has freed them and removes the body.
  ++(Reason == BodyState::RefusedAsSlow ? this->Statistics.SlowSenders : this->Statistics.Refusals);
}

std::optional<BodyNumber> MemoryAccount::largestWaiting() const {
  std::optional<BodyNumber> Result;
  for (const BodyNumber Each : this->LargeQueue) {
    const std::size_t Reserved = this->Bodies.at(Each).Reserved;
    if (!isSmall(Reserved) && (!Result || Reserved > this->Bodies.at(*Result).Reserved)) {
      Result = Each;
    }
  }
  return Result;
}

bool MemoryAccount::isDeadlocked() const {
  return std::none_of(this->Bodies.begin(), this->Bodies.end(), [](const auto &Each) {
    return !isSmall(Each.second.Reserved) && Each.second.State != BodyState::Waiting;
  });
}

void MemoryAccount::refuseExpired(TimePoint Now) {
  std::vector<BodyNumber> Refused;
  bool HasExpired = false;
  const auto Largest = this->largestWaiting();
  for (const std::deque<BodyNumber> *Queue : {&this->SmallQueue, &this->LargeQueue}) {
    for (const BodyNumber Each : *Queue) {
      const Body &Waiting = this->Bodies.at(Each);
      const Duration Stalled = this->stalledFor(Waiting, Now);
      HasExpired = HasExpired || Stalled > MaxWait;
      if (Stalled > MaxWait * 2 || (Stalled > MaxWait && !Largest) ||
          Now - Waiting.WaitingSince > MaxWaitDuringProgress) {
        Refused.push_back(Each);
      }
    }
  }
  for (const BodyNumber Each : Refused) {
    this->refuse(Each, BodyState::RefusedForMemory);
  }
  if (Largest && Refused.empty() && (HasExpired || this->isDeadlocked())) {
    this->refuse(*Largest, BodyState::RefusedForMemory);
  }
}

bool MemoryAccount::isSlow(const Body &Each, TimePoint Now) {
  if (Each.State != BodyState::Granted || Each.IsComplete) {
    return false;
  }
  if (Each.Kind == MemoryKind::Response && Now - Each.LastArrival > MaxResponseStall) {
    return true;
  }
  const Duration Elapsed = Now - Each.Started - Each.Waited;
  const double Required =
      std::chrono::duration<double>(Elapsed).count() * static_cast<double>(MinBytesPerSecond);
  return Elapsed > RateGraceTime && static_cast<double>(Each.Received) < Required;
}

void MemoryAccount::refuseSlow(TimePoint Now) {
  if (this->waitingCount() == 0) {
    return;
  }
  BodyNumber Slowest = 0;
  std::size_t MostBytes = 0;
  for (const auto &[Number, Each] : this->Bodies) {
    if (isSlow(Each, Now) && Each.Reserved > MostBytes) {
      Slowest = Number;
      MostBytes = Each.Reserved;
    }
  }
  if (MostBytes > 0) {
    this->refuse(Slowest, BodyState::RefusedAsSlow);
  }
}

void MemoryAccount::updateProgress(TimePoint Now) {
  const Duration Elapsed = Now - this->LastProgressCheck;
  if (Elapsed < ProgressCheckInterval) {
    return;
  }
  this->ArrivedBytesPerSecond = static_cast<double>(std::exchange(this->ArrivedBytes, 0)) /
                                std::chrono::duration<double>(Elapsed).count();
  this->LastProgressCheck = Now;
  if (this->ArrivedBytesPerSecond >= static_cast<double>(MinBytesPerSecond)) {
    this->LastProgress = Now;
  }
}

std::chrono::seconds MemoryAccount::expectedWait() const {
  if (this->ArrivedBytesPerSecond < static_cast<double>(MinBytesPerSecond)) {
    return StoppedSenderWait;
  }
  double Ahead = 0;
  for (const auto &[Number, Each] : this->Bodies) {
    const bool IsAhead = Each.State == BodyState::Waiting || !Each.IsComplete;
    const std::size_t Expected = std::max(Each.Wanted, Each.Reserved);
    if (IsAhead && !isSmall(Expected) && Expected > Each.Received) {
      Ahead += static_cast<double>(Expected - Each.Received);
    }
  }
  const std::chrono::seconds Wait(static_cast<std::int64_t>(Ahead / this->ArrivedBytesPerSecond));
  return std::clamp(Wait, MinExpectedWait,
                    std::chrono::duration_cast<std::chrono::seconds>(MaxWaitDuringProgress));
}

void MemoryAccount::onTick(TimePoint Now) {
  this->LastTime = std::max(this->LastTime, Now);
  this->updateProgress(Now);
  this->refuseExpired(Now);
  this->refuseSlow(Now);
  this->grantWaiting();
}

} // namespace anvilsaddle
