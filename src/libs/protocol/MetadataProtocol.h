#pragma once

#include "coordination/LoadReport.h"
#include "protocol/HttpMessage.h"
#include "state/Endpoint.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace anvilsaddle {

/// What a caller says of its request beside HTTP. Value type.
struct RequestMetadata {
  /// Identifies the request; empty if the caller gave none.
  std::string RequestId;
  /// Time for which the caller waits.
  std::optional<Duration> Remaining;

  auto operator<=>(const RequestMetadata &) const = default;
};

/// What a target says with an answer. Value type.
struct ResponseMetadata {
  /// Request that the answer belongs to; empty if the target doesn't say.
  std::string RequestId;
  /// The target vouches for the answer.
  bool IsSigned = false;
  /// The target did not run the request and will not run it.
  bool NotExecuted = false;
  /// Start of a target that answered; empty if it doesn't say.
  TargetName Instance;
  std::optional<LoadReport> Load;
  /// Time for which it stays cold.
  Duration ColdFor{0};

  auto operator<=>(const ResponseMetadata &) const = default;
};

/// Headers by which callers, entries and targets talk about a request. The embedding program
/// supplies their names. Thread-safe.
class MetadataProtocol {
public:
  virtual ~MetadataProtocol() = default;

  virtual RequestMetadata readRequest(const RequestHead &Head) const = 0;
  /// Replaces the header that tells the time left.
  virtual void setRemainingTime(FieldList &Fields, Duration Remaining) const = 0;
  /// Replaces the headers that tell a target the time left and the start of it that may run the
  /// request.
  virtual void setTargetHeaders(FieldList &Fields, const TargetName &Expected,
                                Duration Remaining) const = 0;
  virtual ResponseMetadata readResponse(const ResponseHead &Head) const = 0;
};

/// A caller asks which entries to use. Value type.
struct AddressQuery {
  std::string Host;
  RegionName Region;
  FailureDomainName Domain;

  auto operator<=>(const AddressQuery &) const = default;
};

/// Questions about an entry itself. The embedding program supplies their form. Thread-safe.
class EntryQueryProtocol {
public:
  virtual ~EntryQueryProtocol() = default;

  virtual bool isReadinessCheck(const RequestHead &Head) const = 0;
  /// Nothing if the request asks something else.
  virtual std::optional<AddressQuery> readAddressQuery(const RequestHead &Head) const = 0;
  /// Body of the answer to an address question; callers keep it for `Lifetime`.
  virtual std::string writeAddressResponse(const std::vector<Endpoint> &Entries,
                                           Duration Lifetime) const = 0;
};

} // namespace anvilsaddle
