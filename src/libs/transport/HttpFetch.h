#pragma once

#include "protocol/HttpMessage.h"
#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/HttpCall.h"
#include "transport/ScheduledCall.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <glib.h>

namespace anvilsaddle {

class ConnectionPool;

/// Fetches complete documents with GET, one at a time and with a time limit. Not thread-safe.
class HttpFetch final : public HttpCallListener {
public:
  struct Result {
    int Status = 0;
    std::string Body;
    FieldList Fields;
  };
  /// Receives the result, or nothing and the reason of the failure. May start the next fetch.
  using Callback = std::function<void(const std::optional<Result> &, const std::string &Reason)>;

  /// Precondition: the pool outlives the fetch.
  HttpFetch(ConnectionPool &Pool, Callback OnEnd);
  ~HttpFetch() override;

  /// Cancels a fetch that is still running. The fetch fails if no bytes of the response arrive for
  /// `MaxIdle`, and if it is not complete after `Timeout`.
  void start(const Endpoint &Server, const std::string &Path, Duration Timeout,
             Duration MaxIdle = Duration::max());
  /// Cancels a running fetch without calling the callback.
  void cancel();
  bool isRunning() const { return this->Call != nullptr; }
  /// Bytes of the body received so far; 0 if no fetch is running.
  std::size_t receivedBytes() const { return this->Call ? this->Partial.Body.size() : 0; }

  void onResponseHead(const ResponseHead &Head) override;
  void onResponseBody(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  void restartIdleTimer();
  void finish(const std::optional<Result> &Response, const std::string &Reason);

  ConnectionPool &Pool;
  Callback OnEnd;
  std::unique_ptr<HttpCall> Call;
  ScheduledCall Timer;
  ScheduledCall IdleTimer;
  Duration IdleTimeout{0};
  Result Partial;
};

} // namespace anvilsaddle
