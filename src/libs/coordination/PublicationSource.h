#pragma once

#include "state/Diagnostic.h"
#include "state/Publication.h"

#include <cstdint>
#include <string>

namespace anvilsaddle {

/// Receives what operators and targets publish. Not thread-safe.
class PublicationListener {
public:
  virtual ~PublicationListener() = default;

  virtual void onPublications(const PublicationBatch &Batch) = 0;
  /// The source answered that nothing changed up to this revision.
  virtual void onUnchanged(std::int64_t Revision) = 0;
  /// An item could not be read; it is passed over.
  virtual void onInvalidPublication(const Diagnostic &Problem) = 0;
  /// The source does not answer; what was published before stays in force.
  virtual void onSourceUnavailable(const std::string &Reason) = 0;
  /// The source answers again; the changes of the meantime follow.
  virtual void onSourceRecovered() = 0;
};

/// Where operators and targets publish. Not thread-safe.
class PublicationSource {
public:
  virtual ~PublicationSource() = default;

  /// Follows the changes after a revision; 0 reads all that is published first. Precondition: the
  /// listener outlives the source, and the source is not active.
  virtual void activate(PublicationListener &Listener, std::int64_t Since) = 0;
  /// Stops; nothing is reported until the next activate().
  virtual void deactivate() = 0;
};

} // namespace anvilsaddle
