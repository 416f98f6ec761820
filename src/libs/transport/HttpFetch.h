#pragma once

#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/HttpCall.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <glib.h>

namespace anvilsaddle {

class ConnectionPool;

/// One GET at a time of a whole text, with a time limit. Not thread-safe.
class HttpFetch final : public HttpCallListener {
public:
  struct Result {
    int Status = 0;
    std::string Body;
  };
  /// The result, or the reason of a failure. The function may start the next fetch.
  using Callback = std::function<void(const std::optional<Result> &, const std::string &Reason)>;

  /// Precondition: the connections outlive the fetch.
  HttpFetch(ConnectionPool &Pool, Callback OnEnd);
  ~HttpFetch() override;

  /// Gives up a fetch that still runs.
  void start(const Endpoint &Server, const std::string &Path, Duration Timeout);
  /// Gives up a fetch without a report.
  void cancel();

  void onResponseHead(const ResponseHead &Head) override;
  void onResponseBody(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  static gboolean onTimeout(gpointer Data);

  void finish(const std::optional<Result> &Response, const std::string &Reason);

  ConnectionPool &Pool;
  Callback OnEnd;
  std::unique_ptr<HttpCall> Call;
  guint Timer = 0;
  Result Partial;
};

} // namespace anvilsaddle
