#pragma once

#include "coordination/dispatch/LoadReport.h"
#include "coordination/dispatch/TargetConditions.h"
#include "protocol/HttpMessage.h"
#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilsaddle {

/// Metadata that a caller sends with a request, in addition to plain HTTP. Value type.
struct RequestMetadata {
  /// Request ID; empty if the caller sent none.
  std::string RequestId;
  /// Remaining time until the caller gives up waiting.
  std::optional<Duration> RemainingTime;

  auto operator<=>(const RequestMetadata &) const = default;
};

/// Metadata that a target sends with a response. Value type.
struct ResponseMetadata {
  /// ID of the request that the response belongs to; empty if the target sent none.
  std::string RequestId;
  /// The target signed the response.
  bool IsSigned = false;
  /// The target did not execute the request and will not execute it.
  bool NotExecuted = false;
  /// Instance of the target that responded; each start of a target is a new instance. Empty if the
  /// target sent none.
  TargetName Instance;
  std::optional<LoadReport> Load;
  /// Remaining time during which the target is cold after its start.
  Duration RemainingColdTime{0};
  TargetConditions Conditions;
  /// Time for which the target asks this entry to send nothing more; only with a rejection.
  std::optional<Duration> RetryAfter;

  auto operator<=>(const ResponseMetadata &) const = default;
};

/// The headers by which callers and targets tell metadata of requests and responses. The embedding
/// program supplies their names. Thread-safe.
class RequestMetadataProtocol {
public:
  virtual ~RequestMetadataProtocol() = default;

  virtual RequestMetadata readRequest(const RequestHead &Head) const = 0;
  /// Sets the header field with the remaining time, replacing any previous value.
  virtual void setRemainingTime(FieldList &Fields, Duration RemainingTime) const = 0;
  /// Sets the header fields for a target, replacing any previous values: the remaining time and the
  /// only instance that may execute the request.
  virtual void setTargetHeaders(FieldList &Fields, const TargetName &Expected,
                                Duration RemainingTime) const = 0;
  /// Name of the header field that tells targets the customer of a request.
  virtual std::string_view customerFieldName() const = 0;
  virtual ResponseMetadata readResponse(const ResponseHead &Head) const = 0;
};

/// Query of a caller for the entries that it should use. Value type.
struct AddressQuery {
  std::string Host;
  RegionName Region;
  FailureDomainName Domain;

  auto operator<=>(const AddressQuery &) const = default;
};

/// Reads requests that concern the entry itself and writes the responses. The embedding program
/// supplies the format. Thread-safe.
class EntryQueryProtocol {
public:
  virtual ~EntryQueryProtocol() = default;

  virtual bool isReadinessCheck(const RequestHead &Head) const = 0;
  /// Returns nothing if the request is no address query.
  virtual std::optional<AddressQuery> readAddressQuery(const RequestHead &Head) const = 0;
  /// Returns the response body for an address query; callers may cache it for `Ttl`.
  virtual std::string writeAddressResponse(const std::vector<Endpoint> &Entries,
                                           Duration Ttl) const = 0;
};

} // namespace anvilsaddle
