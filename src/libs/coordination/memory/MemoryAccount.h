#pragma once

#include "state/Time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// What bytes that an entry holds for callers are part of.
enum class MemoryKind : std::uint8_t {
  /// Bodies of requests that are received or being processed.
  RequestBody,
  /// Responses that pipelined requests may cause, until they are ready.
  ExpectedResponse,
  /// Responses that the caller has not taken yet.
  Output,
  /// Received bytes that were not parsed.
  UnreadInput,
  /// Connections of callers, with the heads of their requests.
  Connection,
  /// Responses of targets that are being received.
  Response,
};

/// Number of values of MemoryKind, for arrays of counters.
inline constexpr std::size_t MemoryKindCount = 6;

/// Short name for metric labels, for example `request_body`.
const char *toString(MemoryKind Kind);

/// Number of bytes that may be held. Value type.
struct MemoryLimits {
  std::size_t TotalBytes = std::numeric_limits<std::size_t>::max() / 2;
  /// Part of the total that large bodies can't use.
  std::size_t SmallReserveBytes = 0;
  /// Part of the total that no body can use, so that further connections find room.
  std::size_t ConnectionReserveBytes = 0;

  /// Limits of a VM. A body of 64 MiB fits if the VM has at least 112 MB.
  static MemoryLimits forVm(std::int64_t MemoryMb);

  auto operator<=>(const MemoryLimits &) const = default;
};

/// Identifies the body of one request or response.
using BodyNumber = std::uint64_t;

/// Account of all bytes that an entry holds for callers. Bodies reserve their memory before they
/// are read. A body whose reservation has to wait is not read meanwhile; waiting bodies get memory
/// in the order of their arrival, those that already hold memory first. Not thread-safe; times must
/// not decrease.
class MemoryAccount {
public:
  /// Bodies up to this size may use the reserve. Far above the usual size of a request.
  static constexpr std::size_t SmallBodyBytes = std::size_t{64} * 1024;
  /// Once a body has waited this long while no large body made progress, the largest body that
  /// waits is refused in each tick, and all that have waited twice as long. Longer than the timeout
  /// of senders that have stopped (3 s), so that the memory of one such sender becomes free before
  /// the next body is refused.
  static constexpr Duration MaxWait = std::chrono::seconds(5);
  /// A body that has waited this long is refused although others make progress. Long enough for an
  /// upload of 40 MB at 2 MB/s ahead of it.
  static constexpr Duration MaxWaitDuringProgress = std::chrono::seconds(30);
  /// While others wait, a large body must have arrived at this average rate after the grace time.
  /// A hundred uploads that share the smallest link (10 Mbit/s) are faster.
  static constexpr std::size_t MinBytesPerSecond = std::size_t{8} * 1024;
  static constexpr Duration RateGraceTime = std::chrono::seconds(10);
  /// While others wait, a response of which nothing has arrived for this long is refused. Shorter
  /// than the wait of the others.
  static constexpr Duration MaxResponseStall = std::chrono::seconds(3);

  enum class BodyState {
    /// The reserved bytes may be read.
    Granted,
    /// Nothing may be read until the state changes.
    Waiting,
    /// No memory became free within the time limit.
    RefusedForMemory,
    /// All memory for large bodies would not suffice.
    RefusedAsTooLarge,
    /// The body arrived too slowly while others waited for its memory.
    RefusedAsSlow,
  };

  struct Counts {
    std::uint64_t Pauses = 0;
    std::uint64_t Refusals = 0;
    std::uint64_t SlowSenders = 0;
    std::uint64_t SlowReaders = 0;

    auto operator<=>(const Counts &) const = default;
  };

  explicit MemoryAccount(const MemoryLimits &Limits) : Limits(Limits) {}

  /// Adds a body that holds nothing. `Kind` is RequestBody or Response.
  BodyNumber addBody(TimePoint Now, MemoryKind Kind = MemoryKind::RequestBody);
  /// Raises the reservation of a body; never lowers it. Refuses only what no free memory suffices
  /// for.
  /// Changes nothing unless the state of the body is Granted.
  BodyState reserve(BodyNumber Body, std::size_t Bytes, TimePoint Now);
  /// Raises the reservation of a body if hasRoomFor() the difference. Never lets it wait. Returns
  /// false if there is no room.
  bool tryReserve(BodyNumber Body, std::size_t Bytes);
  /// Sets a function that notifyDecided() calls after a waiting body was granted its memory, and
  /// after a body was refused. It may remove the body.
  void setDecisionCallback(BodyNumber Body, std::function<void()> Callback) {
    this->Bodies.at(Body).OnDecision = std::move(Callback);
  }
  /// Calls the functions of all bodies that were decided since the last call. Precondition: no
  /// function of an owner of a body is on the call stack.
  void notifyDecided();
  BodyState state(BodyNumber Body) const { return this->Bodies.at(Body).State; }
  std::size_t reserved(BodyNumber Body) const { return this->Bodies.at(Body).Reserved; }
  /// `Received` is the number of bytes of the body that have arrived so far.
  void onBodyBytes(BodyNumber Body, std::size_t Received);
  /// Lowers the reservation of a body.
  void shrinkBody(BodyNumber Body, std::size_t Bytes);
  /// The body is complete: keeps what it contains and releases the rest of the reservation. Nothing
  /// is decided about it any more.
  void completeBody(BodyNumber Body, std::size_t Bytes);
  void removeBody(BodyNumber Body);

  /// Changes the bytes of another kind from one value to another. Never refused.
  void change(MemoryKind Kind, std::size_t From, std::size_t To);
  /// True if a pipelined request that may cause this many bytes of response can be processed now.
  bool hasRoomFor(std::size_t Bytes) const;
  /// Readers that take nothing may be ended to free memory.
  bool isNearLimit() const { return this->used() > this->Limits.TotalBytes / 4 * 3; }
  bool isOverLimit() const { return this->used() > this->Limits.TotalBytes; }
  void countSlowReader() { ++this->Statistics.SlowReaders; }
  /// A request was refused because its connection held memory that is needed.
  void countRefusal() { ++this->Statistics.Refusals; }

  /// Refuses bodies that wait too long or arrive too slowly. Call it a few times per second.
  void onTick(TimePoint Now);
  /// Time after which memory for a further large body is expected to be free, from the rate at
  /// which those ahead of it arrive.
  std::chrono::seconds expectedWait() const;

  /// True if the bytes that are held have fallen by this much since the last call that returned
  /// true.
  bool hasFallenBy(std::size_t Bytes);
  /// Time of the last tick or reservation.
  TimePoint lastTime() const { return this->LastTime; }
  std::size_t used() const;
  std::size_t used(MemoryKind Kind) const { return this->Held.at(static_cast<std::size_t>(Kind)); }
  std::size_t waitingCount() const { return this->SmallQueue.size() + this->LargeQueue.size(); }
  const MemoryLimits &limits() const { return this->Limits; }
  const Counts &counts() const { return this->Statistics; }

private:
  struct Body {
    MemoryKind Kind = MemoryKind::RequestBody;
    BodyState State = BodyState::Granted;
    std::size_t Reserved = 0;
    std::size_t Wanted = 0;
    std::size_t Received = 0;
    TimePoint Started;
    TimePoint LastArrival;
    TimePoint WaitingSince;
    Duration Waited{0};
    bool IsComplete = false;
    std::function<void()> OnDecision;
  };

  static bool isSmall(std::size_t Bytes) { return Bytes <= SmallBodyBytes; }
  /// Bytes of what is not reserved by bodies.
  std::size_t otherBytes() const { return this->used() - this->SmallBytes - this->LargeBytes; }
  bool fits(const Body &Each) const;
  void setReserved(Body &Each, std::size_t Bytes);
  void grantWaiting();
  void grantWaiting(std::deque<BodyNumber> &Queue);
  void leaveQueues(BodyNumber Number);
  void refuse(BodyNumber Number, BodyState Reason);
  /// Checks once per second whether large bodies arrive.
  void updateProgress(TimePoint Now);
  /// Time since the body began to wait or others made progress, whichever is later.
  Duration stalledFor(const Body &Each, TimePoint Now) const {
    return Now - std::max(Each.WaitingSince, this->LastProgress);
  }
  void refuseExpired(TimePoint Now);
  /// If all bodies that hold memory wait for more, none of them can end and free its memory.
  bool isDeadlocked() const;
  void refuseSlow(TimePoint Now);
  /// True if the body arrives so slowly that others should get its memory.
  static bool isSlow(const Body &Each, TimePoint Now);
  /// The waiting body that holds most, or nothing if none of them holds memory.
  std::optional<BodyNumber> largestWaiting() const;

  MemoryLimits Limits;
  BodyNumber LastBody = 0;
  std::map<BodyNumber, Body> Bodies;
  std::deque<BodyNumber> SmallQueue;
  /// Bodies that hold memory are ahead of those that don't.
  std::deque<BodyNumber> LargeQueue;
  /// Bytes that small and large bodies have reserved.
  std::size_t SmallBytes = 0;
  std::size_t LargeBytes = 0;
  /// Bodies whose functions notifyDecided() has to call.
  std::vector<BodyNumber> Decided;
  /// Bytes of each kind.
  std::array<std::size_t, MemoryKindCount> Held{};
  /// Most bytes that were held since hasFallenBy() returned true.
  std::size_t PeakBytes = 0;
  Counts Statistics;
  TimePoint LastTime{};
  /// Time at which large bodies were last found to arrive, or one of them freed its memory.
  TimePoint LastProgress{};
  /// Bytes of large bodies that have arrived since the last check of their progress.
  std::size_t ArrivedBytes = 0;
  TimePoint LastProgressCheck{};
  /// Of all large bodies together, between the last two checks.
  double ArrivedBytesPerSecond = 0;
};

/// Bytes of one kind in an account, until the end of this object. Not thread-safe.
class MemoryCharge {
public:
  MemoryCharge(std::shared_ptr<MemoryAccount> Account, MemoryKind Kind)
      : Account(std::move(Account)), Kind(Kind) {}
  ~MemoryCharge() { this->set(0); }
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;

  void set(std::size_t NewBytes) {
    this->Account->change(this->Kind, this->Bytes, NewBytes);
    this->Bytes = NewBytes;
  }
  std::size_t bytes() const { return this->Bytes; }

private:
  std::shared_ptr<MemoryAccount> Account;
  MemoryKind Kind;
  std::size_t Bytes = 0;
};

/// Membership of one body in an account, until the end of this object. Not thread-safe.
class BodyReservation {
public:
  BodyReservation(std::shared_ptr<MemoryAccount> Account, TimePoint Now,
                  MemoryKind Kind = MemoryKind::RequestBody)
      : Account(std::move(Account)), Number(this->Account->addBody(Now, Kind)) {}
  ~BodyReservation() { this->Account->removeBody(this->Number); }
  BodyReservation(const BodyReservation &) = delete;
  BodyReservation &operator=(const BodyReservation &) = delete;

  MemoryAccount::BodyState state() const { return this->Account->state(this->Number); }
  std::size_t reserved() const { return this->Account->reserved(this->Number); }
  MemoryAccount::BodyState reserve(std::size_t Bytes, TimePoint Now) {
    return this->Account->reserve(this->Number, Bytes, Now);
  }
  bool tryReserve(std::size_t Bytes) { return this->Account->tryReserve(this->Number, Bytes); }
  void setDecisionCallback(std::function<void()> Callback) {
    this->Account->setDecisionCallback(this->Number, std::move(Callback));
  }
  void onBytes(std::size_t Received) { this->Account->onBodyBytes(this->Number, Received); }
  void shrink(std::size_t Bytes) { this->Account->shrinkBody(this->Number, Bytes); }
  void complete(std::size_t Bytes) { this->Account->completeBody(this->Number, Bytes); }

private:
  std::shared_ptr<MemoryAccount> Account;
  BodyNumber Number;
};

} // namespace anvilsaddle
