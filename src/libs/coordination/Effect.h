#pragma once

#include "coordination/DispatchPolicy.h"
#include "coordination/Messages.h"
#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "state/AuditTrail.h"
#include "state/Identifiers.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace anvilsaddle {

/// IP number and port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Send the request to a target.
struct StartAttempt {
  RequestNumber Request = 0;
  TargetName Target;
  Endpoint Destination;
  TimePoint Deadline;
  /// True if a second send by the client library would do no harm.
  bool Repeatable = false;

  auto operator<=>(const StartAttempt &) const = default;
};

/// Pass the request on to another entry.
struct StartForward {
  RequestNumber Request = 0;
  VmName Entry;
  Endpoint Destination;
  ForwardMark Mark;
  TimePoint Deadline;
  bool Repeatable = false;

  auto operator<=>(const StartForward &) const = default;
};

/// Answer the request with a refusal. The request is forgotten.
struct RefuseRequest {
  RequestNumber Request = 0;
  Refusal Answer;

  auto operator<=>(const RefuseRequest &) const = default;
};

struct SendPeerMessage {
  VmName Receiver;
  Endpoint Destination;
  PeerMessage Message;

  auto operator<=>(const SendPeerMessage &) const = default;
};

/// Fetch newer settings from another entry over TCP.
struct FetchSettings {
  VmName Entry;
  Endpoint Source;

  auto operator<=>(const FetchSettings &) const = default;
};

/// Start or stop the watch on the configuration service.
struct SetWatch {
  bool Active = false;

  auto operator<=>(const SetWatch &) const = default;
};

/// A change to record in the audit trail. The daemon adds the wall clock.
struct RecordChange {
  AuditEntry Entry;

  auto operator<=>(const RecordChange &) const = default;
};

using Effect = std::variant<StartAttempt, StartForward, RefuseRequest, SendPeerMessage,
                            FetchSettings, SetWatch, RecordChange>;

} // namespace anvilsaddle
