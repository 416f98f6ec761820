#pragma once

#include "state/Identifiers.h"

#include <cstddef>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Selects by rendezvous hashing which live entries of a region may send to a target whose requests
/// are limited for all entries together. Entries that know the same live entries select the same
/// senders, without shared state. Not thread-safe.
class SenderAssignment {
public:
  explicit SenderAssignment(std::string Self) : Self(std::move(Self)) {}

  /// Sets the names of the live entries, including this one.
  void setEntries(std::vector<std::string> Names) { this->LiveEntries = std::move(Names); }
  std::size_t entryCount() const { return this->LiveEntries.size(); }
  /// True if this entry is one of the first `MaxSenders` entries for the target.
  bool isSender(const TargetName &Target, std::size_t MaxSenders) const;

private:
  std::string Self;
  std::vector<std::string> LiveEntries;
};

} // namespace anvilsaddle
