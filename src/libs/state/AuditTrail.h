#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Record of one change and its reason. Contains no request content.
struct AuditRecord {
  /// Assigned by the audit trail; increases by one with each record.
  std::uint64_t Sequence = 0;
  /// Time of the change in milliseconds since 1970-01-01 UTC.
  std::int64_t UnixMilliseconds = 0;
  /// What changed, for example `settings/seeds` or `target/NAME`.
  std::string Subject;
  std::string OldValue;
  std::string NewValue;
  /// Version of the new configuration; 0 if the change is not a configuration.
  std::uint64_t ConfigurationVersion = 0;
  std::string Reason;

  auto operator<=>(const AuditRecord &) const = default;
};

/// Keeps the latest changes up to a maximum number. Not thread-safe.
class AuditTrail {
public:
  /// Precondition: `Capacity` is positive.
  explicit AuditTrail(std::size_t Capacity) : Capacity(Capacity) {}

  /// Stores the record under the next sequence number and returns it.
  const AuditRecord &append(AuditRecord Record);
  /// Returns the records with a sequence number above `After`, oldest first.
  std::vector<AuditRecord> recordsAfter(std::uint64_t After) const;

private:
  std::size_t Capacity;
  std::uint64_t LastSequence = 0;
  std::deque<AuditRecord> Records;
};

} // namespace anvilsaddle
