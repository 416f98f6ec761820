#pragma once

#include "state/Endpoint.h"
#include "state/Time.h"
#include "transport/TargetCall.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <glib.h>

namespace anvilsaddle {

class TargetConnections;

/// One GET at a time of a whole text, with a time limit. Not thread-safe.
class HttpFetch final : public TargetCallListener {
public:
  struct Result {
    int Status = 0;
    std::string Body;
  };
  /// The result, or the reason of a failure. The function may start the next fetch.
  using Callback = std::function<void(const std::optional<Result> &, const std::string &Reason)>;

  /// Precondition: the connections outlive the fetch.
  HttpFetch(TargetConnections &Connections, Callback OnEnd);
  ~HttpFetch() override;

  /// Gives up a fetch that still runs.
  void start(const Endpoint &Place, const std::string &Target, Duration Limit);
  /// Gives up a fetch without a report.
  void stop();

  void onCallHead(const ResponseHead &Head) override;
  void onCallBytes(std::string Bytes, bool IsEnd) override;
  void onCallFailed(const std::string &Reason) override;

private:
  static gboolean onTimeout(gpointer Data);

  void finish(const std::optional<Result> &End, const std::string &Reason);

  TargetConnections &Connections;
  Callback OnEnd;
  std::unique_ptr<TargetCall> Call;
  guint Timer = 0;
  Result Current;
};

} // namespace anvilsaddle
