#pragma once

#include <functional>
#include <string>

namespace anvilsaddle {

/// A request body that arrives over time. Not thread-safe.
class BodySource {
public:
  virtual ~BodySource() = default;

  /// Moves out what has arrived; empty if nothing waits.
  virtual std::string takeBody() = 0;
  /// True once the end has arrived. Parts may still wait to be taken.
  virtual bool isBodyComplete() const = 0;
  /// Called whenever more has arrived or the end was reached. Replaces an earlier callback.
  virtual void setBodyCallback(std::function<void()> OnMore) = 0;
};

} // namespace anvilsaddle
