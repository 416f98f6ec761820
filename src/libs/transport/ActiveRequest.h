#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "transport/RequestAttempt.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvilsaddle {

class HttpExchange;

/// One request of a caller and its attempts at targets or other entries.
///
/// The request holds the caller's exchange until it gives it up with the end of the response, or
/// because the caller disconnected. Doing so cancels all attempts, so that no event of an attempt
/// finds an exchange that the connection has deleted. Not thread-safe.
class ActiveRequest final : public AttemptListener {
public:
  /// Notifications to the owner. No function may destroy the request.
  struct Callbacks {
    std::function<void(ActiveRequest &, AttemptNumber, const AttemptResult &,
                       const std::string &Detail)>
        OnAttemptEnd;
    /// The response of this attempt is about to be sent to the caller; no other can replace it.
    /// Returns false if the request has already got its final response, which will be delivered.
    std::function<bool(ActiveRequest &, const RequestAttempt &)> OnCommitted;
    /// The response that is being sent to the caller ended before it was complete. The request has
    /// to be aborted.
    std::function<void(ActiveRequest &, const std::string &Detail)> OnTruncated;
    /// The request gives up its exchange, which can be deleted from now on.
    std::function<void(ActiveRequest &, const HttpExchange &)> OnExchangeReleased;
    /// The response has ended; `Complete` is false if it was truncated.
    std::function<void(ActiveRequest &, int Status, bool Complete)> OnResponseEnd;
  };

  /// Precondition: the exchange is pending, and the callbacks outlive the request. The other
  /// functions must not be called once the request has given up its exchange.
  ActiveRequest(RequestNumber Number, HttpExchange &Exchange, RequestAttributes Attributes,
                std::string Id, const Callbacks &Notify);

  RequestNumber number() const { return this->Number; }
  const RequestAttributes &attributes() const { return this->Attributes; }
  /// Precondition: the request has not given up its exchange.
  const RequestHead &head() const;
  /// The request id that the caller sent.
  const std::string &id() const { return this->Id; }

  /// `AddedFields` are header fields that replace those of the caller with the same names.
  /// Precondition: the resources outlive the request.
  void startAttempt(const AttemptResources &Resources, const SendAttempt &Command,
                    Duration RemainingTime, const FieldList &AddedFields);
  /// Aborts an attempt by closing its connection.
  void cancelAttempt(AttemptNumber Attempt);
  /// Sends the complete response of an attempt to the caller. Precondition: the attempt ended with
  /// a response.
  void deliver(AttemptNumber Attempt);
  /// Ends a response that has begun and can't be completed. The caller gets the given response, or
  /// sees that the one that has been sent in part is incomplete. Returns true if the caller gets
  /// the given response.
  bool abort(ResponseHead Head, const std::string &Text);
  /// Sends a local response instead of a target's.
  void reject(ResponseHead Head, const std::string &Text);
  /// Ends the request because its caller disconnected.
  void onCallerDisconnected() { this->releaseExchange(); }

  void onAttemptEnd(RequestAttempt &Attempt, const AttemptResult &End,
                    const std::string &Detail) override;
  void onAttemptStreaming(RequestAttempt &Attempt) override;
  void onAttemptData(RequestAttempt &Attempt, std::string Bytes, bool IsEnd) override;
  void onAttemptTruncated(RequestAttempt &Attempt, const std::string &Detail) override;

private:
  /// Cancels all attempts and gives up the exchange, which the caller of this function may still
  /// use to complete the response.
  HttpExchange &releaseExchange();
  bool hasExchange() const { return this->Exchange != nullptr; }
  void continueStreaming();
  /// Reads more of the streamed response, now or once the caller has taken what was sent.
  void readAhead(RequestAttempt &Attempt);

  RequestNumber Number;
  /// Null once the request has given up the exchange.
  HttpExchange *Exchange;
  RequestAttributes Attributes;
  std::string Id;
  const Callbacks &Notify;
  std::map<AttemptNumber, std::unique_ptr<RequestAttempt>> Attempts;
  /// The attempt whose response is being sent.
  std::optional<AttemptNumber> StreamedAttempt;
  /// Valid while a response is being sent.
  int StreamedStatus = 0;
};

} // namespace anvilsaddle
