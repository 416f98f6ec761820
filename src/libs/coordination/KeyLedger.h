#pragma once

#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace anvilsaddle {

enum class KeyState {
  /// Admitted, outcome still open.
  Started,
  /// Did not run; may be admitted again.
  NotRun,
  Ran,
  /// May have run; is never admitted again.
  Unknown,
};

struct KeyRecord {
  KeyState State = KeyState::Started;
  /// HTTP status of the answer if it ran, else 0.
  int Status = 0;
  TimePoint Expiry;

  auto operator<=>(const KeyRecord &) const = default;
};

enum class KeyAdmission { Admitted, Duplicate, LedgerFull };

/// Idempotency keys of the tickets that this incarnation issued. A key is admitted at most once
/// unless its request provably did not run. Keys are kept until their ticket expires, so a
/// forgotten key can't be admitted again: the caller must refuse expired tickets. Holds no request
/// content. Not thread-safe.
class KeyLedger {
public:
  explicit KeyLedger(std::size_t Capacity) : Capacity(Capacity) {}

  /// Precondition: Expiry is later than Now.
  KeyAdmission begin(const CustomerName &Customer, const std::string &Key, TimePoint Expiry,
                     TimePoint Now);
  /// Precondition: the key was admitted. Status is 0 unless it ran.
  void finish(const CustomerName &Customer, const std::string &Key, KeyState State, int Status);
  /// Record of a known key.
  std::optional<KeyRecord> find(const CustomerName &Customer, const std::string &Key) const;
  std::size_t size() const { return this->Records.size(); }

private:
  using LedgerKey = std::pair<CustomerName, std::string>;

  void removeExpired(TimePoint Now);

  std::size_t Capacity;
  std::map<LedgerKey, KeyRecord> Records;
  /// Iterators instead of copies of the keys, which would double the memory of a key.
  std::multimap<TimePoint, std::map<LedgerKey, KeyRecord>::iterator> ByExpiry;
};

} // namespace anvilsaddle
