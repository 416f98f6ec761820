#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace anvilsaddle {

/// One change and its reason. Holds no request content.
struct AuditRecord {
  /// Assigned by the trail, rises by one.
  std::uint64_t Sequence = 0;
  /// Wall clock, milliseconds since 1970-01-01 UTC.
  std::int64_t UnixMilliseconds = 0;
  /// What changed, for example `settings/platform` or `group/line-board@zhetysu/0`.
  std::string What;
  std::string From;
  std::string To;
  std::uint64_t Revision = 0;
  std::string Why;

  auto operator<=>(const AuditRecord &) const = default;
};

/// Bounded ring of the latest changes. Not thread-safe.
class AuditTrail {
public:
  /// Precondition: Capacity is positive.
  explicit AuditTrail(std::size_t Capacity) : Capacity(Capacity) {}

  /// Stores the entry with the next sequence number and returns it.
  const AuditRecord &append(AuditRecord Entry);
  /// Entries with a sequence number above `After`, oldest first.
  std::vector<AuditRecord> entriesAfter(std::uint64_t After) const;

private:
  std::size_t Capacity;
  std::uint64_t LastSequence = 0;
  std::deque<AuditRecord> Entries;
};

} // namespace anvilsaddle
