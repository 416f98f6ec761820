#pragma once

#include "coordination/publications/PublicationMessages.h"
#include "state/Configuration.h"
#include "state/Time.h"

#include <optional>
#include <string>

namespace anvilsaddle {

/// The part of an entry that a PublicationFollower needs: it puts configurations into force and
/// reaches the other entries. Not thread-safe.
class PublicationConsumer {
public:
  virtual ~PublicationConsumer() = default;

  /// Returns the configuration in force; null if there is none yet.
  virtual const Configuration *configuration() const = 0;
  /// Puts a configuration into force. It is newer than the one before.
  virtual void setConfiguration(const Configuration &Newer) = 0;
  /// Sets the time up to which the publications are known; nothing before the first confirmation.
  virtual void setKnownAsOf(std::optional<TimePoint> KnownAsOf) = 0;
  /// All publications of a batch are in force.
  virtual void onPublicationsApplied() = 0;
  /// Sends a message to the entry with this address.
  virtual void send(const std::string &Receiver, const PublicationMessage &Message) = 0;
};

} // namespace anvilsaddle
