#pragma once

#include "state/Diagnostic.h"
#include "state/Publication.h"
#include "state/SourcePosition.h"
#include "state/Time.h"

#include <optional>
#include <string>

namespace anvilsaddle {

/// Receives the publications of operators and targets. Not thread-safe.
class PublicationListener {
public:
  virtual ~PublicationListener() = default;

  /// `AsOf` is a time up to which the batch and those before it contain everything that the source
  /// has acknowledged; nothing if the source responded with a read that may be stale.
  virtual void onPublications(const PublicationBatch &Batch, std::optional<TimePoint> AsOf) = 0;
  /// The source has responded, and this entry knows everything up to this position, which was the
  /// current one at the time `AsOf` or later.
  virtual void onSourceUpToDate(const SourcePosition &Position, TimePoint AsOf) = 0;
  /// An item is invalid and was skipped.
  virtual void onInvalidPublication(const Diagnostic &Problem) = 0;
  /// The source does not respond. Everything published before remains in effect.
  virtual void onSourceUnavailable(const std::string &Reason) = 0;
  /// The source responds again. The changes made in the meantime follow. `Outage` is the time since
  /// its last response, or the maximum if none is known.
  virtual void onSourceRecovered(Duration Outage) = 0;
  /// Latest time for which this entry is known to have everything that the source had acknowledged,
  /// also by what other entries say; nothing before the first confirmation.
  virtual std::optional<TimePoint> knownAsOf() const = 0;
};

/// Source of the publications of operators and targets. Not thread-safe.
class PublicationSource {
public:
  virtual ~PublicationSource() = default;

  /// Starts following the changes after a position. A snapshot of all publications comes first if
  /// the position is not valid, and each time the source has entered a newer epoch. `KnownAsOf` is
  /// the last time at which the source is known to have responded to any entry; nothing if it is
  /// not known. Precondition: the listener outlives the source, and the source is not active.
  virtual void activate(PublicationListener &Listener, const SourcePosition &Since,
                        std::optional<TimePoint> KnownAsOf) = 0;
  /// Stops. The listener is not called until the next activate().
  virtual void deactivate() = 0;
};

} // namespace anvilsaddle
