#include "transport/LocalResponse.h"

#include "transport/RequestLogFields.h"

namespace anvilsaddle {

ResponseHead localResponse(int Status, Duration RetryAfter) {
  ResponseHead Result;
  Result.Status = Status;
  Result.Reason = reasonPhrase(Status);
  Result.Fields = {{"Content-Type", "text/plain"}};
  if (RetryAfter > Duration(0)) {
    Result.Fields.emplace_back("Retry-After", formatSeconds(RetryAfter));
  }
  return Result;
}

} // namespace anvilsaddle
