#include "protocol/PeerCodec.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <stdexcept>
#include <utility>

#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace anvilsaddle {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

/// A field of an otherwise readable message has a value that this version does not know.
class FieldError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

std::int64_t signedBits(std::uint64_t Value) { return static_cast<std::int64_t>(Value); }
std::uint64_t unsignedBits(std::int64_t Value) { return static_cast<std::uint64_t>(Value); }
std::int32_t signedBits(std::uint32_t Value) { return static_cast<std::int32_t>(Value); }
std::uint32_t unsignedBits(std::int32_t Value) { return static_cast<std::uint32_t>(Value); }

/// The part of a list that goes into one payload.
struct Range {
  std::size_t Begin = 0;
  std::size_t End = 0;
};

template <typename Element, typename Convert>
auto convertRange(const std::vector<Element> &Elements, Range Part, Convert &&Function) {
  std::vector<decltype(Function(Elements.front()))> Result;
  Result.reserve(Part.End - Part.Begin);
  for (std::size_t Index = Part.Begin; Index < Part.End; ++Index) {
    Result.push_back(Function(Elements[Index]));
  }
  return Result;
}

template <typename Element, typename Convert>
auto convertAll(const std::vector<Element> &Elements, Convert &&Function) {
  return convertRange(Elements, {0, Elements.size()}, std::forward<Convert>(Function));
}

wire::Incarnation toWire(const Incarnation &Value) {
  wire::Incarnation Result;
  Result.startedUnixMilliseconds = Value.StartedUnixMilliseconds;
  Result.random = signedBits(Value.Random);
  return Result;
}

wire::GroupLoad toWire(const GroupLoad &Value) {
  wire::GroupLoad Result;
  Result.serviceName = Value.Group.Service.str();
  Result.regionName = Value.Group.Region.str();
  Result.shard = signedBits(Value.Group.Shard);
  Result.spareSlots = signedBits(Value.SpareSlots);
  Result.queued = signedBits(Value.Queued);
  return Result;
}

wire::LeaseClaim toWire(const LeaseClaim &Value) {
  wire::LeaseClaim Result;
  Result.target = Value.Target.str();
  Result.inFlight = signedBits(Value.InFlight);
  return Result;
}

wire::LeaseGrant toWire(const LeaseGrant &Value) {
  wire::LeaseGrant Result;
  Result.target = Value.Target.str();
  Result.granted = Value.Granted;
  Result.reserved = signedBits(Value.Reserved);
  return Result;
}

wire::CededTarget toWire(const CededTarget &Value) {
  wire::CededTarget Result;
  Result.target = Value.Target.str();
  Result.remainingUseMicroseconds = Value.RemainingUse.count();
  return Result;
}

/// Writes each kind of message with a part of its list.
struct Writer {
  Range Part;
  wire::PeerMessage Out;

  void operator()(const Heartbeat &Message) {
    wire::Heartbeat Result;
    Result.receiver = toWire(Message.ReceiverIncarnation);
    Result.state = static_cast<std::int32_t>(Message.State);
    Result.settingsDigest = signedBits(Message.SettingsDigest);
    Result.vmListRevision = signedBits(Message.VmListRevision);
    Result.groups = convertRange(Message.Groups, this->Part,
                                 [](const GroupLoad &Each) { return toWire(Each); });
    this->Out.__set_heartbeat(Result);
  }
  void operator()(const LeaseRequest &Message) {
    wire::LeaseRequest Result;
    Result.requestId = signedBits(Message.RequestId);
    Result.claims = convertRange(Message.Claims, this->Part,
                                 [](const LeaseClaim &Each) { return toWire(Each); });
    this->Out.__set_leaseRequest(Result);
  }
  void operator()(const LeaseReply &Message) {
    wire::LeaseReply Result;
    Result.requestId = signedBits(Message.RequestId);
    Result.grants = convertRange(Message.Grants, this->Part,
                                 [](const LeaseGrant &Each) { return toWire(Each); });
    this->Out.__set_leaseReply(Result);
  }
  void operator()(const LeaseRelease &Message) {
    wire::LeaseRelease Result;
    Result.claims = convertRange(Message.Claims, this->Part,
                                 [](const LeaseClaim &Each) { return toWire(Each); });
    Result.requestId = signedBits(Message.RequestId);
    this->Out.__set_leaseRelease(Result);
  }
  void operator()(const LessorInquiry &Message) {
    wire::LessorInquiry Result;
    Result.targets = convertRange(Message.Targets, this->Part,
                                  [](const TargetName &Each) { return Each.str(); });
    Result.vmListRevision = signedBits(Message.VmListRevision);
    this->Out.__set_lessorInquiry(Result);
  }
  void operator()(const LessorCession &Message) {
    wire::LessorCession Result;
    Result.targets = convertRange(Message.Targets, this->Part,
                                  [](const CededTarget &Each) { return toWire(Each); });
    Result.lessor = toWire(Message.LessorIncarnation);
    this->Out.__set_lessorCession(Result);
  }
};

struct ListSize {
  std::size_t operator()(const Heartbeat &Message) const { return Message.Groups.size(); }
  std::size_t operator()(const LeaseRequest &Message) const { return Message.Claims.size(); }
  std::size_t operator()(const LeaseReply &Message) const { return Message.Grants.size(); }
  std::size_t operator()(const LeaseRelease &Message) const { return Message.Claims.size(); }
  std::size_t operator()(const LessorInquiry &Message) const { return Message.Targets.size(); }
  std::size_t operator()(const LessorCession &Message) const { return Message.Targets.size(); }
};

std::string write(const PeerMessage &Message, Range Part) {
  Writer Converter{Part, {}};
  std::visit(Converter, Message);
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Out(Buffer);
  Converter.Out.write(&Out);
  return Buffer->getBufferAsString();
}

void writeParts(const PeerMessage &Message, Range Part, std::size_t Limit,
                std::vector<std::string> &Result) {
  std::string Payload = write(Message, Part);
  if (Payload.size() <= Limit || Part.End - Part.Begin < 2) {
    Result.push_back(std::move(Payload));
    return;
  }
  const std::size_t Middle = Part.Begin + (Part.End - Part.Begin) / 2;
  writeParts(Message, {Part.Begin, Middle}, Limit, Result);
  writeParts(Message, {Middle, Part.End}, Limit, Result);
}

Incarnation fromWire(const wire::Incarnation &Value) {
  return {Value.startedUnixMilliseconds, unsignedBits(Value.random)};
}

GroupLoad fromWire(const wire::GroupLoad &Value) {
  return {{ServiceName(Value.serviceName), RegionName(Value.regionName), unsignedBits(Value.shard)},
          unsignedBits(Value.spareSlots),
          unsignedBits(Value.queued)};
}

std::vector<LeaseClaim> fromWire(const std::vector<wire::LeaseClaim> &Values) {
  return convertAll(Values, [](const wire::LeaseClaim &Each) {
    return LeaseClaim{TargetName(Each.target), unsignedBits(Each.inFlight)};
  });
}

EntryState stateFromWire(std::int32_t Value) {
  if (Value < static_cast<std::int32_t>(EntryState::Starting) ||
      Value > static_cast<std::int32_t>(EntryState::Departing)) {
    throw FieldError("unknown entry state " + std::to_string(Value));
  }
  return static_cast<EntryState>(Value);
}

Duration remainingUseFromWire(std::int64_t Microseconds) {
  // A negative time would end another entry's wait early.
  if (Microseconds < 0) {
    throw FieldError("negative remaining use");
  }
  return Duration(Microseconds);
}

Heartbeat readHeartbeat(const wire::Heartbeat &In, const VmName &Sender, const Incarnation &Run) {
  return {Sender,
          Run,
          fromWire(In.receiver),
          stateFromWire(In.state),
          unsignedBits(In.settingsDigest),
          unsignedBits(In.vmListRevision),
          convertAll(In.groups, [](const wire::GroupLoad &Each) { return fromWire(Each); })};
}

LeaseReply readReply(const wire::LeaseReply &In, const VmName &Sender, const Incarnation &Run) {
  return {Sender, Run, unsignedBits(In.requestId),
          convertAll(In.grants, [](const wire::LeaseGrant &Each) {
            return LeaseGrant{TargetName(Each.target), Each.granted, unsignedBits(Each.reserved)};
          })};
}

LessorCession readCession(const wire::LessorCession &In, const VmName &Sender,
                          const Incarnation &Run) {
  return {Sender, Run, fromWire(In.lessor),
          convertAll(In.targets, [](const wire::CededTarget &Each) {
            return CededTarget{TargetName(Each.target),
                               remainingUseFromWire(Each.remainingUseMicroseconds)};
          })};
}

PeerMessage convert(const wire::PeerMessage &In, const VmName &Sender, const Incarnation &Run) {
  const int Fields = In.__isset.heartbeat + In.__isset.leaseRequest + In.__isset.leaseReply +
                     In.__isset.leaseRelease + In.__isset.lessorInquiry + In.__isset.lessorCession;
  if (Fields != 1) {
    throw FieldError("expected one message, found " + std::to_string(Fields));
  }
  if (In.__isset.heartbeat) {
    return readHeartbeat(In.heartbeat, Sender, Run);
  }
  if (In.__isset.leaseRequest) {
    return LeaseRequest{Sender, Run, unsignedBits(In.leaseRequest.requestId),
                        fromWire(In.leaseRequest.claims)};
  }
  if (In.__isset.leaseReply) {
    return readReply(In.leaseReply, Sender, Run);
  }
  if (In.__isset.leaseRelease) {
    return LeaseRelease{Sender, Run, unsignedBits(In.leaseRelease.requestId),
                        fromWire(In.leaseRelease.claims)};
  }
  if (In.__isset.lessorInquiry) {
    return LessorInquiry{Sender, Run, unsignedBits(In.lessorInquiry.vmListRevision),
                         convertAll(In.lessorInquiry.targets,
                                    [](const std::string &Each) { return TargetName(Each); })};
  }
  return readCession(In.lessorCession, Sender, Run);
}

wire::PeerMessage read(std::string_view Payload) {
  // The buffer only observes the bytes; Thrift's interface lacks const.
  auto *Bytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Payload.data()));
  const auto Buffer =
      std::make_shared<TMemoryBuffer>(Bytes, static_cast<std::uint32_t>(Payload.size()));
  // No string or list can have more elements than the payload has bytes. Without these limits a
  // forged length makes the generated code allocate gigabytes.
  const auto Limit = static_cast<std::int32_t>(Payload.size());
  Protocol In(Buffer, Limit, Limit);
  wire::PeerMessage Result;
  Result.read(&In);
  if (Buffer->available_read() != 0) {
    throw FieldError(std::to_string(Buffer->available_read()) + " bytes after the message");
  }
  return Result;
}

} // namespace

std::vector<std::string> PeerCodec::encode(const PeerMessage &Message, std::size_t Limit) const {
  std::vector<std::string> Result;
  writeParts(Message, {0, std::visit(ListSize{}, Message)}, Limit, Result);
  return Result;
}

std::variant<PeerMessage, PeerError> PeerCodec::decode(std::string_view Payload,
                                                       const VmName &Sender,
                                                       const Incarnation &SenderIncarnation) const {
  if (Payload.size() > MaxPayloadBytes) {
    return PeerError{PeerRejection::TooLarge,
                     "payload of " + std::to_string(Payload.size()) + " bytes, at most " +
                         std::to_string(MaxPayloadBytes) + " are accepted"};
  }
  if (Payload.empty()) {
    return PeerError{PeerRejection::Truncated, "empty payload"};
  }
  try {
    return convert(read(Payload), Sender, SenderIncarnation);
  } catch (const TException &Error) {
    return PeerError{PeerRejection::Malformed, std::string("not a peer message: ") + Error.what()};
  } catch (const FieldError &Error) {
    return PeerError{PeerRejection::Malformed, std::string("not a peer message: ") + Error.what()};
  }
}

} // namespace anvilsaddle
