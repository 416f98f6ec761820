#pragma once

#include "coordination/EntryIdentity.h"
#include "coordination/KeyLedger.h"
#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <string>
#include <variant>

namespace anvilsaddle {

class Sealer;

/// This incarnation issued the key and recorded it as started. finish() must follow.
struct KeyStarted {
  auto operator<=>(const KeyStarted &) const = default;
};

/// Another incarnation issued the key; only it can tell whether the key was used.
struct KeyOfOtherIssuer {
  VmName Issuer;
  Incarnation IssuerIncarnation;

  auto operator<=>(const KeyOfOtherIssuer &) const = default;
};

using KeyDecision = std::variant<KeyStarted, KeyOfOtherIssuer, Refusal>;

/// Issues tickets and decides whether a request with an idempotency key may start. Correct under
/// pauses, restarts and partitions without shared state, because each key names the one incarnation
/// whose memory knows all its uses. Not thread-safe.
class KeyIssuer {
public:
  /// Precondition: Seals outlives the object.
  KeyIssuer(EntryIdentity Self, const Sealer &Seals);

  std::string newTicket(const CustomerName &Customer, TimePoint Now) const;

  /// Admits the key of a request that must not be repeated. A refusal without a ticket problem says
  /// "unknown", because an earlier request with the key may have run.
  KeyDecision admit(const CustomerName &Customer, const std::string &Key, TimePoint Now);

  /// True if the key was issued here and no request with it may have run.
  bool isUnused(const CustomerName &Customer, const std::string &Key) const;

  /// Records how the request of an admitted key ended. Status is 0 unless it ran.
  void finish(const CustomerName &Customer, const std::string &Key, KeyState State, int Status);

  std::size_t size() const { return this->Ledger.size(); }

private:
  Refusal duplicateRefusal(const CustomerName &Customer, const std::string &Key) const;

  EntryIdentity Self;
  const Sealer &Seals;
  KeyLedger Ledger;
};

} // namespace anvilsaddle
