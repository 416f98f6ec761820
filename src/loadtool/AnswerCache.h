#pragma once

#include "loadtool/AddressAnswer.h"
#include "state/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Address answer of one customer, kept as a caller keeps it. Reads no clock; times are passed in.
/// Not thread-safe.
class AnswerCache {
public:
  /// Precondition: at least one address to ask first.
  explicit AnswerCache(std::vector<std::string> FirstAddresses);

  /// True if a new answer should be asked for now: none is known or three quarters of the time to
  /// keep have passed, and no question is open.
  bool shouldAsk(TimePoint Now) const;
  /// Address to ask. Marks the question as open.
  std::string beginAsk();
  void onAnswer(AddressAnswer Answer, TimePoint Now);
  /// The next question goes to another address, not before `Now` plus a pause.
  void onAskFailed(TimePoint Now);
  /// A refusal carried a new ticket.
  void replaceTicket(std::string Ticket) { this->Known.Ticket = std::move(Ticket); }

  /// False until the first answer.
  bool hasAnswer() const { return !this->Known.Entries.empty(); }
  bool isExpired(TimePoint Now) const { return Now >= this->Expiry; }
  /// Best address. Precondition: hasAnswer().
  const std::string &best() const { return this->Known.Entries.front(); }
  /// Address that issued the ticket in use. A keyed request goes there first, which saves the hop
  /// to the issuer. Precondition: hasAnswer().
  const std::string &issuer() const { return this->Asked; }
  const std::string &ticket() const { return this->Known.Ticket; }
  /// First address other than the given one; empty if there is none.
  std::string alternative(const std::string &Used) const;

private:
  std::vector<std::string> Addresses;
  std::size_t NextAddress = 0;
  AddressAnswer Known;
  /// Address of the answer in use.
  std::string Asked;
  std::string Asking;
  bool Open = false;
  TimePoint AskAgain;
  TimePoint Expiry;
};

} // namespace anvilsaddle
