#include "protocol/PeerCodec.h"

#include "protocol/ThriftBytes.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include <arpa/inet.h>
#include <peer_types.h>

namespace anvilsaddle {

namespace {

using apache::thrift::TException;

/// A field of an otherwise readable message has a value that is unknown to this version.
class FieldError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Number of states that can be encoded in one integer together with the index of a failure domain.
constexpr int StateRadix = 4;
constexpr double Thousand = 1000;

/// Range of list elements that go into one payload.
struct Range {
  std::size_t Begin = 0;
  std::size_t End = 0;
};

std::int32_t parseIpv4(const std::string &Address) {
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) != 1) {
    throw FieldError("'" + Address + "' is not an IPv4 address");
  }
  return static_cast<std::int32_t>(ntohl(Parsed.s_addr));
}

std::string formatIpv4(std::int32_t Number) {
  in_addr Parsed{};
  Parsed.s_addr = htonl(static_cast<std::uint32_t>(Number));
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Parsed, Text, sizeof(Text));
  return Text;
}

int findOrAddDomain(std::vector<std::string> &Domains, const std::string &Name) {
  const auto Found = std::find(Domains.begin(), Domains.end(), Name);
  const auto Index = Found - Domains.begin();
  if (Found == Domains.end()) {
    Domains.push_back(Name);
  }
  return static_cast<int>(Index);
}

/// Delta coding: encodes each number of a list as the difference from its predecessor, which takes
/// fewer bytes. Differences wrap around.
template <typename Signed> class DeltaCoder {
public:
  Signed encodeNext(Signed Value) {
    const auto Number = static_cast<Unsigned>(Value);
    return static_cast<Signed>(Number - std::exchange(this->Previous, Number));
  }
  Signed decodeNext(Signed Delta) {
    this->Previous += static_cast<Unsigned>(Delta);
    return static_cast<Signed>(this->Previous);
  }

private:
  using Unsigned = std::make_unsigned_t<Signed>;
  Unsigned Previous = 0;
};

wire::Gossip toWire(const Gossip &Message, Range Records) {
  wire::Gossip Result;
  DeltaCoder<std::int32_t> AddressDeltas;
  DeltaCoder<std::int64_t> IncarnationDeltas;
  for (std::size_t Index = Records.Begin; Index < Records.End; ++Index) {
    const EntryRecord &Record = Message.Entries[Index];
    const int Domain = findOrAddDomain(Result.domains, Record.Domain.str());
    Result.addressSteps.push_back(AddressDeltas.encodeNext(parseIpv4(Record.Address)));
    Result.domainsAndStates.push_back(
        static_cast<std::int16_t>(Domain * StateRadix + static_cast<int>(Record.State)));
    Result.incarnationSteps.push_back(IncarnationDeltas.encodeNext(Record.Incarnation));
    Result.beats.push_back(static_cast<std::int32_t>(Record.Heartbeat));
  }
  return Result;
}

std::int32_t toThousandths(double Value) {
  const double Limit = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(Limit, std::round(Value * Thousand)));
}

std::vector<wire::SaturationRecord> toWire(const std::vector<SaturationRecord> &Records) {
  std::vector<wire::SaturationRecord> Result;
  Result.reserve(Records.size());
  for (const SaturationRecord &Each : Records) {
    wire::SaturationRecord Out;
    Out.serviceName = Each.Service.str();
    Out.full = Each.Occupancy == SlotOccupancy::Full;
    Out.responses = toThousandths(Each.Responses);
    Out.slowResponses = toThousandths(Each.SlowResponses);
    Out.ratioSum = toThousandths(Each.RatioSum);
    Result.push_back(std::move(Out));
  }
  return Result;
}

std::string encodeGossip(const wire::Gossip &Content) {
  wire::PeerMessage Out;
  Out.__set_gossip(Content);
  return writeThrift(Out);
}

void encodeParts(const Gossip &Message, Range Records, std::size_t Limit,
                 std::vector<std::string> &Result) {
  std::string Payload = encodeGossip(toWire(Message, Records));
  if (Payload.size() <= Limit || Records.End - Records.Begin < 2) {
    Result.push_back(std::move(Payload));
    return;
  }
  const std::size_t Middle = Records.Begin + (Records.End - Records.Begin) / 2;
  encodeParts(Message, {Records.Begin, Middle}, Limit, Result);
  encodeParts(Message, {Middle, Records.End}, Limit, Result);
}

/// The sums must arrive only once, so that only one of the payloads contains them.
std::vector<std::string> encodeGossip(const Gossip &Message, std::size_t Limit) {
  wire::Gossip Sums;
  if (!Message.Saturation.empty()) {
    Sums.__set_saturation(toWire(Message.Saturation));
  }
  wire::Gossip Whole = toWire(Message, {0, Message.Entries.size()});
  Whole.saturation = Sums.saturation;
  Whole.__isset.saturation = Sums.__isset.saturation;
  std::vector<std::string> Result = {encodeGossip(Whole)};
  if (Result.front().size() <= Limit) {
    return Result;
  }
  Result.clear();
  encodeParts(Message, {0, Message.Entries.size()}, Limit, Result);
  std::string SumsPayload = encodeGossip(Sums);
  if (!Message.Saturation.empty() && SumsPayload.size() <= Limit) {
    Result.push_back(std::move(SumsPayload));
  }
  return Result;
}

EntryRecord fromWire(std::int16_t DomainAndState, const std::vector<std::string> &Domains) {
  if (DomainAndState < 0) {
    throw FieldError("negative failure domain and state");
  }
  const auto Domain = static_cast<std::size_t>(DomainAndState / StateRadix);
  const int State = DomainAndState % StateRadix;
  if (Domain >= Domains.size()) {
    throw FieldError("unknown failure domain index " + std::to_string(Domain));
  }
  if (State > static_cast<int>(EntryState::Leaving)) {
    throw FieldError("unknown entry state " + std::to_string(State));
  }
  EntryRecord Result;
  Result.Domain = FailureDomainName(Domains[Domain]);
  Result.State = static_cast<EntryState>(State);
  return Result;
}

std::vector<SaturationRecord> fromWire(const std::vector<wire::SaturationRecord> &In) {
  std::vector<SaturationRecord> Result;
  Result.reserve(In.size());
  for (const wire::SaturationRecord &Each : In) {
    Result.push_back(
        {ServiceName(Each.serviceName), Each.full ? SlotOccupancy::Full : SlotOccupancy::NearlyFull,
         Each.responses / Thousand, Each.slowResponses / Thousand, Each.ratioSum / Thousand});
  }
  return Result;
}

Gossip fromWire(const wire::Gossip &In) {
  const std::size_t Count = In.beats.size();
  if (In.addressSteps.size() != Count || In.domainsAndStates.size() != Count ||
      In.incarnationSteps.size() != Count) {
    throw FieldError("the lists of the gossip message differ in length");
  }
  Gossip Result;
  DeltaCoder<std::int32_t> AddressDeltas;
  DeltaCoder<std::int64_t> IncarnationDeltas;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    EntryRecord Record = fromWire(In.domainsAndStates[Index], In.domains);
    Record.Address = formatIpv4(AddressDeltas.decodeNext(In.addressSteps[Index]));
    Record.Incarnation = IncarnationDeltas.decodeNext(In.incarnationSteps[Index]);
    Record.Heartbeat = static_cast<std::uint32_t>(In.beats[Index]);
    Result.Entries.push_back(std::move(Record));
  }
  // Entries of older versions send no sums.
  if (In.__isset.saturation) {
    Result.Saturation = fromWire(In.saturation);
  }
  return Result;
}

PeerMessage fromWire(const wire::PeerMessage &In) {
  if (In.__isset.notice) {
    return RevisionNotice{{In.notice.__isset.epoch ? In.notice.epoch : 0, In.notice.revision}};
  }
  if (In.__isset.gossip) {
    return fromWire(In.gossip);
  }
  throw FieldError("unknown message type");
}

wire::PeerMessage readMessage(std::string_view Payload) {
  wire::PeerMessage Result;
  if (const std::size_t TrailingBytes = readThrift(Payload, Result); TrailingBytes != 0) {
    throw FieldError(std::to_string(TrailingBytes) + " unexpected bytes after the message");
  }
  return Result;
}

} // namespace

std::vector<std::string> PeerCodec::encode(const PeerMessage &Message, std::size_t Limit) const {
  if (const auto *Notice = std::get_if<RevisionNotice>(&Message)) {
    wire::PeerMessage Out;
    wire::RevisionNotice Content;
    Content.revision = Notice->Position.Revision;
    Content.__set_epoch(Notice->Position.Epoch);
    Out.__set_notice(Content);
    return {writeThrift(Out)};
  }
  return encodeGossip(std::get<Gossip>(Message), Limit);
}

std::variant<PeerMessage, PeerError> PeerCodec::decode(std::string_view Payload) const {
  if (Payload.size() > MaxPayloadBytes) {
    return PeerError{PeerRejection::TooLarge, "payload of " + std::to_string(Payload.size()) +
                                                  " bytes exceeds the limit of " +
                                                  std::to_string(MaxPayloadBytes) + " bytes"};
  }
  if (Payload.empty()) {
    return PeerError{PeerRejection::Truncated, "empty payload"};
  }
  try {
    return fromWire(readMessage(Payload));
  } catch (const TException &Error) {
    return PeerError{PeerRejection::Malformed, Error.what()};
  } catch (const FieldError &Error) {
    return PeerError{PeerRejection::Malformed, Error.what()};
  }
}

} // namespace anvilsaddle
