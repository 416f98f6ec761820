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

constexpr std::uint32_t FullShare = 1000;

std::int32_t toSigned(std::uint32_t Value) { return static_cast<std::int32_t>(Value); }

/// Limits a count to the numbers that a message can contain.
std::int32_t toCount(std::uint32_t Value) {
  return static_cast<std::int32_t>(
      std::min<std::uint32_t>(Value, std::numeric_limits<std::int32_t>::max()));
}

std::uint32_t readCount(std::int32_t Value) {
  if (Value < 0) {
    throw FieldError("negative count");
  }
  return static_cast<std::uint32_t>(Value);
}

std::uint32_t readShare(std::int32_t Value) {
  const std::uint32_t Result = readCount(Value);
  if (Result > FullShare) {
    throw FieldError("share of more than 1000 thousandths");
  }
  return Result;
}

std::vector<std::int32_t> toCounts(const std::vector<std::uint32_t> &Values) {
  std::vector<std::int32_t> Result;
  Result.reserve(Values.size());
  for (const std::uint32_t Each : Values) {
    Result.push_back(toCount(Each));
  }
  return Result;
}

std::vector<std::uint32_t> readCounts(const std::vector<std::int32_t> &Values) {
  std::vector<std::uint32_t> Result;
  Result.reserve(Values.size());
  for (const std::int32_t Each : Values) {
    Result.push_back(readCount(Each));
  }
  return Result;
}

wire::QuotaUsage toWire(const QuotaUsage &Each) {
  wire::QuotaUsage Result;
  Result.customer = Each.Customer.str();
  Result.admitted = toSigned(Each.Admitted);
  Result.requested = toSigned(Each.Requested);
  Result.newlyAdmitted = toCount(Each.NewlyAdmitted);
  Result.newlyRequested = toCount(Each.NewlyRequested);
  if (Each.RecentlyAdmitted != Each.NewlyAdmitted) {
    Result.__set_recentlyAdmitted(toCount(Each.RecentlyAdmitted));
  }
  if (Each.RecentlyRequested != Each.NewlyRequested) {
    Result.__set_recentlyRequested(toCount(Each.RecentlyRequested));
  }
  if (Each.AdmittedShare != FullShare) {
    Result.__set_admittedShare(toCount(Each.AdmittedShare));
  }
  return Result;
}

QuotaUsage fromWire(const wire::QuotaUsage &In) {
  QuotaUsage Result;
  Result.Customer = CustomerName(In.customer);
  Result.Admitted = static_cast<std::uint32_t>(In.admitted);
  Result.Requested = static_cast<std::uint32_t>(In.requested);
  Result.NewlyAdmitted = readCount(In.newlyAdmitted);
  Result.NewlyRequested = readCount(In.newlyRequested);
  Result.RecentlyAdmitted =
      In.__isset.recentlyAdmitted ? readCount(In.recentlyAdmitted) : Result.NewlyAdmitted;
  Result.RecentlyRequested =
      In.__isset.recentlyRequested ? readCount(In.recentlyRequested) : Result.NewlyRequested;
  Result.AdmittedShare = In.__isset.admittedShare ? readShare(In.admittedShare) : FullShare;
  return Result;
}

wire::PeerMessage toWire(const QuotaReport &Message, Range Elements) {
  wire::QuotaReport Content;
  Content.run = Message.Run;
  Content.sequence = toSigned(Message.Sequence);
  Content.recentMilliseconds = toCount(Message.RecentMilliseconds);
  if (Message.NeedsReply) {
    Content.__set_needsReply(true);
  }
  for (std::size_t Index = Elements.Begin; Index < Elements.End; ++Index) {
    Content.usages.push_back(toWire(Message.Usages[Index]));
  }
  wire::PeerMessage Result;
  Result.__set_quotaReport(Content);
  return Result;
}

wire::PeerMessage toWire(const QuotaSums &Message, Range Elements) {
  wire::QuotaSums Content;
  if (Message.NeedsReply) {
    Content.__set_needsReply(true);
  }
  for (std::size_t Index = Elements.Begin; Index < Elements.End; ++Index) {
    const QuotaSum &Each = Message.Sums[Index];
    wire::QuotaSum Out;
    Out.customer = Each.Customer.str();
    Out.admitted = toCounts(Each.Admitted);
    Out.requested = toCounts(Each.Requested);
    Out.heardEntries = toCount(Each.HeardEntries);
    Content.sums.push_back(std::move(Out));
  }
  wire::PeerMessage Result;
  Result.__set_quotaSums(Content);
  return Result;
}

wire::PeerMessage toWire(const QuotaShares &Message, Range Elements) {
  wire::QuotaShares Content;
  for (std::size_t Index = Elements.Begin; Index < Elements.End; ++Index) {
    const QuotaShare &Each = Message.Shares[Index];
    wire::QuotaShare Out;
    Out.customer = Each.Customer.str();
    Out.admittedShare = toCount(Each.AdmittedShare);
    if (Each.NeedsReport) {
      Out.__set_needsReport(true);
    }
    Content.shares.push_back(std::move(Out));
  }
  wire::PeerMessage Result;
  Result.__set_quotaShares(Content);
  return Result;
}

std::size_t listSize(const QuotaReport &Message) { return Message.Usages.size(); }
std::size_t listSize(const QuotaSums &Message) { return Message.Sums.size(); }
std::size_t listSize(const QuotaShares &Message) { return Message.Shares.size(); }

template <typename MessageType>
void encodeQuotaParts(const MessageType &Message, Range Elements, std::size_t Limit,
                      std::vector<std::string> &Result) {
  std::string Payload = writeThrift(toWire(Message, Elements));
  if (Payload.size() <= Limit || Elements.End - Elements.Begin < 2) {
    Result.push_back(std::move(Payload));
    return;
  }
  const std::size_t Middle = Elements.Begin + (Elements.End - Elements.Begin) / 2;
  encodeQuotaParts(Message, {Elements.Begin, Middle}, Limit, Result);
  encodeQuotaParts(Message, {Middle, Elements.End}, Limit, Result);
}

wire::RevisionNotice toWire(const RevisionNotice &Message) {
  wire::RevisionNotice Result;
  Result.revision = Message.Position.Revision;
  Result.__set_epoch(Message.Position.Epoch);
  if (Message.Staleness) {
    const auto Limit = std::int64_t{std::numeric_limits<std::int32_t>::max()};
    Result.__set_stalenessMilliseconds(static_cast<std::int32_t>(
        std::clamp<std::int64_t>(toMilliseconds(*Message.Staleness), 0, Limit)));
  }
  return Result;
}

RevisionNotice fromWire(const wire::RevisionNotice &In) {
  RevisionNotice Result{{In.__isset.epoch ? In.epoch : 0, In.revision}};
  if (In.__isset.stalenessMilliseconds) {
    Result.Staleness = std::chrono::milliseconds(readCount(In.stalenessMilliseconds));
  }
  return Result;
}

std::string encodePublicationMessage(const RevisionNotice &Message) {
  wire::PeerMessage Out;
  Out.__set_notice(toWire(Message));
  return writeThrift(Out);
}

std::string encodePublicationMessage(const NoticeRequest &Message) {
  wire::NoticeRequest Request;
  Request.number = static_cast<std::int32_t>(Message.Number);
  wire::PeerMessage Out;
  Out.__set_noticeRequest(Request);
  return writeThrift(Out);
}

std::string encodePublicationMessage(const NoticeReply &Message) {
  wire::NoticeReply Reply;
  Reply.number = static_cast<std::int32_t>(Message.Number);
  Reply.notice = toWire(Message.Notice);
  wire::PeerMessage Out;
  Out.__set_noticeReply(Reply);
  return writeThrift(Out);
}

QuotaReport fromWire(const wire::QuotaReport &In) {
  QuotaReport Result;
  Result.Run = In.run;
  Result.Sequence = static_cast<std::uint32_t>(In.sequence);
  Result.RecentMilliseconds = readCount(In.recentMilliseconds);
  Result.NeedsReply = In.__isset.needsReply && In.needsReply;
  for (const wire::QuotaUsage &Each : In.usages) {
    Result.Usages.push_back(fromWire(Each));
  }
  return Result;
}

QuotaSums fromWire(const wire::QuotaSums &In) {
  QuotaSums Result;
  Result.NeedsReply = In.__isset.needsReply && In.needsReply;
  for (const wire::QuotaSum &Each : In.sums) {
    Result.Sums.push_back({CustomerName(Each.customer), readCounts(Each.admitted),
                           readCounts(Each.requested), readCount(Each.heardEntries)});
  }
  return Result;
}

QuotaShares fromWire(const wire::QuotaShares &In) {
  QuotaShares Result;
  for (const wire::QuotaShare &Each : In.shares) {
    Result.Shares.push_back({CustomerName(Each.customer), readShare(Each.admittedShare),
                             Each.__isset.needsReport && Each.needsReport});
  }
  return Result;
}

PeerMessage fromWire(const wire::PeerMessage &In) {
  if (In.__isset.quotaReport) {
    return fromWire(In.quotaReport);
  }
  if (In.__isset.quotaSums) {
    return fromWire(In.quotaSums);
  }
  if (In.__isset.quotaShares) {
    return fromWire(In.quotaShares);
  }
  if (In.__isset.notice) {
    return fromWire(In.notice);
  }
  if (In.__isset.noticeRequest) {
    return NoticeRequest{static_cast<std::uint32_t>(In.noticeRequest.number)};
  }
  if (In.__isset.noticeReply) {
    return NoticeReply{static_cast<std::uint32_t>(In.noticeReply.number),
                       fromWire(In.noticeReply.notice)};
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
  if (const auto *Content = std::get_if<Gossip>(&Message)) {
    return encodeGossip(*Content, Limit);
  }
  std::vector<std::string> Result;
  std::visit(
      [Limit, &Result](const auto &Content) {
        using Type = std::decay_t<decltype(Content)>;
        if constexpr (std::is_constructible_v<PublicationMessage, Type>) {
          Result.push_back(encodePublicationMessage(Content));
        } else if constexpr (!std::is_same_v<Type, Gossip>) {
          encodeQuotaParts(Content, {0, listSize(Content)}, Limit, Result);
        }
      },
      Message);
  return Result;
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
