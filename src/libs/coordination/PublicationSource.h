#pragma once

#include "state/Finding.h"
#include "state/Publication.h"

#include <string>

namespace anvilsaddle {

/// Receives what operators and targets publish. Not thread-safe.
class PublicationListener {
public:
  virtual ~PublicationListener() = default;

  virtual void onPublications(const PublicationBatch &Batch) = 0;
  /// An item could not be read; it is passed over.
  virtual void onUnreadable(const Finding &Problem) = 0;
  /// The source does not answer; what was published before stays in force.
  virtual void onSourceLost(const std::string &Reason) = 0;
  /// The source answers again; the changes of the meantime follow.
  virtual void onSourceReturned() = 0;
};

/// Where operators and targets publish. Not thread-safe.
class PublicationSource {
public:
  virtual ~PublicationSource() = default;

  /// Reads all that is published, then follows the changes. Precondition: called once; the listener
  /// outlives the source.
  virtual void start(PublicationListener &Listener) = 0;
};

} // namespace anvilsaddle
