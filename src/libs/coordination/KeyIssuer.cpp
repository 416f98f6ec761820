#include "coordination/KeyIssuer.h"

#include "coordination/Ticket.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace anvilsaddle {

namespace {

constexpr Duration TicketLifetime = std::chrono::minutes(10);
/// 166 keys a second for 10 minutes. A key takes 280 bytes (bench_memory), so that a full ledger
/// takes 28 MB of the 64 MB that control may use.
constexpr std::size_t LedgerCapacity = 100'000;

} // namespace

KeyIssuer::KeyIssuer(EntryIdentity Self, const Sealer &Seals)
    : Self(std::move(Self)), Seals(Seals), Ledger(LedgerCapacity) {}

std::string KeyIssuer::newTicket(const CustomerName &Customer, TimePoint Now) const {
  return formatTicket({this->Self.Vm, this->Self.Run, Customer, Now + TicketLifetime}, this->Seals);
}

KeyDecision KeyIssuer::admit(const CustomerName &Customer, const std::string &Key, TimePoint Now) {
  const auto Ticket = parseKeyTicket(Key, Customer, this->Seals);
  if (!Ticket) {
    Refusal Answer =
        makeRefusal(428, RunOutcome::NotRun,
                    "the route needs an Idempotency-Key of the form <ticket>.<suffix>");
    Answer.Ticket = this->newTicket(Customer, Now);
    return Answer;
  }
  if (Ticket->Issuer != this->Self.Vm) {
    return KeyOfOtherIssuer{Ticket->Issuer, Ticket->IssuerIncarnation};
  }
  if (Ticket->IssuerIncarnation != this->Self.Run) {
    return makeRefusal(409, RunOutcome::Unknown, "the entry that issued the key has restarted");
  }
  if (Ticket->Expiry <= Now) {
    return makeRefusal(409, RunOutcome::Unknown, "the ticket of the key has expired");
  }
  switch (this->Ledger.begin(Customer, Key, Ticket->Expiry, Now)) {
  case KeyAdmission::Admitted:
    return KeyStarted{};
  case KeyAdmission::Duplicate:
    return this->duplicateRefusal(Customer, Key);
  case KeyAdmission::LedgerFull:
    break;
  }
  return makeRefusal(429, RunOutcome::NotRun, "too many idempotency keys in use at this entry");
}

bool KeyIssuer::isUnused(const CustomerName &Customer, const std::string &Key) const {
  const auto Ticket = parseKeyTicket(Key, Customer, this->Seals);
  if (!Ticket) {
    // A malformed key was refused whenever it was sent.
    return true;
  }
  if (Ticket->Issuer != this->Self.Vm || Ticket->IssuerIncarnation != this->Self.Run) {
    return false;
  }
  const auto Known = this->Ledger.find(Customer, Key);
  return !Known || Known->State == KeyState::NotRun;
}

void KeyIssuer::finish(const CustomerName &Customer, const std::string &Key, KeyState State,
                       int Status) {
  this->Ledger.finish(Customer, Key, State, Status);
}

Refusal KeyIssuer::duplicateRefusal(const CustomerName &Customer, const std::string &Key) const {
  const auto Known = this->Ledger.find(Customer, Key);
  std::string Reason = "a request with this key may have run";
  if (Known && Known->State == KeyState::Started) {
    Reason = "a request with this key is in progress";
  }
  if (Known && Known->State == KeyState::Ran) {
    Reason = "a request with this key ran with status " + std::to_string(Known->Status);
  }
  return makeRefusal(409, RunOutcome::Unknown, std::move(Reason));
}

} // namespace anvilsaddle
