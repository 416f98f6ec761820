#include "protocol/PeerCodec.h"

#include "protocol/ThriftBytes.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include <arpa/inet.h>
#include <peer_types.h>

namespace anvilsaddle {

namespace {

using apache::thrift::TException;

/// A field of an otherwise readable message has a value that this version does not know.
class FieldError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// States that fit beside the index of a failure domain.
constexpr int StateCount = 4;

/// The part of a list that goes into one payload.
struct Range {
  std::size_t Begin = 0;
  std::size_t End = 0;
};

std::int32_t addressNumber(const std::string &Address) {
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) != 1) {
    throw FieldError("'" + Address + "' is not an IPv4 number");
  }
  return static_cast<std::int32_t>(ntohl(Parsed.s_addr));
}

std::string addressText(std::int32_t Number) {
  in_addr Parsed{};
  Parsed.s_addr = htonl(static_cast<std::uint32_t>(Number));
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Parsed, Text, sizeof(Text));
  return Text;
}

int domainIndex(std::vector<std::string> &Domains, const std::string &Name) {
  const auto Found = std::find(Domains.begin(), Domains.end(), Name);
  const auto Index = Found - Domains.begin();
  if (Found == Domains.end()) {
    Domains.push_back(Name);
  }
  return static_cast<int>(Index);
}

/// A list of numbers as the differences between neighbours, which take fewer bytes. Differences
/// wrap around.
template <typename Signed> class Steps {
public:
  Signed next(Signed Value) {
    const auto Number = static_cast<Unsigned>(Value);
    return static_cast<Signed>(Number - std::exchange(this->Last, Number));
  }
  Signed value(Signed Step) {
    this->Last += static_cast<Unsigned>(Step);
    return static_cast<Signed>(this->Last);
  }

private:
  using Unsigned = std::make_unsigned_t<Signed>;
  Unsigned Last = 0;
};

wire::Gossip toWire(const Gossip &Message, Range Part) {
  wire::Gossip Result;
  Steps<std::int32_t> Addresses;
  Steps<std::int64_t> Incarnations;
  for (std::size_t Index = Part.Begin; Index < Part.End; ++Index) {
    const MemberRecord &Each = Message.Members[Index];
    const int Domain = domainIndex(Result.domains, Each.Domain.str());
    Result.addressSteps.push_back(Addresses.next(addressNumber(Each.Address)));
    Result.domainsAndStates.push_back(
        static_cast<std::int16_t>(Domain * StateCount + static_cast<int>(Each.State)));
    Result.incarnationSteps.push_back(Incarnations.next(Each.Incarnation));
    Result.beats.push_back(static_cast<std::int32_t>(Each.Heartbeat));
  }
  return Result;
}

void writeParts(const Gossip &Message, Range Part, std::size_t Limit,
                std::vector<std::string> &Result) {
  wire::PeerMessage Out;
  Out.__set_gossip(toWire(Message, Part));
  std::string Payload = writeThrift(Out);
  if (Payload.size() <= Limit || Part.End - Part.Begin < 2) {
    Result.push_back(std::move(Payload));
    return;
  }
  const std::size_t Middle = Part.Begin + (Part.End - Part.Begin) / 2;
  writeParts(Message, {Part.Begin, Middle}, Limit, Result);
  writeParts(Message, {Middle, Part.End}, Limit, Result);
}

MemberRecord fromWire(std::int16_t DomainAndState, const std::vector<std::string> &Domains) {
  if (DomainAndState < 0) {
    throw FieldError("negative failure domain and state");
  }
  const auto Domain = static_cast<std::size_t>(DomainAndState / StateCount);
  const int State = DomainAndState % StateCount;
  if (Domain >= Domains.size()) {
    throw FieldError("unknown failure domain " + std::to_string(Domain));
  }
  if (State > static_cast<int>(EntryState::Leaving)) {
    throw FieldError("unknown entry state " + std::to_string(State));
  }
  MemberRecord Result;
  Result.Domain = FailureDomainName(Domains[Domain]);
  Result.State = static_cast<EntryState>(State);
  return Result;
}

Gossip fromWire(const wire::Gossip &In) {
  const std::size_t Count = In.beats.size();
  if (In.addressSteps.size() != Count || In.domainsAndStates.size() != Count ||
      In.incarnationSteps.size() != Count) {
    throw FieldError("the lists of the records differ in length");
  }
  Gossip Result;
  Steps<std::int32_t> Addresses;
  Steps<std::int64_t> Incarnations;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    MemberRecord Each = fromWire(In.domainsAndStates[Index], In.domains);
    Each.Address = addressText(Addresses.value(In.addressSteps[Index]));
    Each.Incarnation = Incarnations.value(In.incarnationSteps[Index]);
    Each.Heartbeat = static_cast<std::uint32_t>(In.beats[Index]);
    Result.Members.push_back(std::move(Each));
  }
  return Result;
}

PeerMessage fromWire(const wire::PeerMessage &In) {
  if (In.__isset.notice) {
    return RevisionNotice{In.notice.revision};
  }
  if (In.__isset.gossip) {
    return fromWire(In.gossip);
  }
  throw FieldError("no known message");
}

wire::PeerMessage read(std::string_view Payload) {
  wire::PeerMessage Result;
  if (const std::size_t Rest = readThrift(Payload, Result); Rest != 0) {
    throw FieldError(std::to_string(Rest) + " bytes after the message");
  }
  return Result;
}

} // namespace

std::vector<std::string> PeerCodec::encode(const PeerMessage &Message, std::size_t Limit) const {
  if (const auto *Notice = std::get_if<RevisionNotice>(&Message)) {
    wire::PeerMessage Out;
    wire::RevisionNotice Content;
    Content.revision = Notice->Revision;
    Out.__set_notice(Content);
    return {writeThrift(Out)};
  }
  std::vector<std::string> Result;
  const auto &Content = std::get<Gossip>(Message);
  writeParts(Content, {0, Content.Members.size()}, Limit, Result);
  return Result;
}

std::variant<PeerMessage, PeerError> PeerCodec::decode(std::string_view Payload) const {
  if (Payload.size() > MaxPayloadBytes) {
    return PeerError{PeerRejection::TooLarge,
                     "payload of " + std::to_string(Payload.size()) + " bytes, at most " +
                         std::to_string(MaxPayloadBytes) + " are accepted"};
  }
  if (Payload.empty()) {
    return PeerError{PeerRejection::Truncated, "empty payload"};
  }
  try {
    return fromWire(read(Payload));
  } catch (const TException &Error) {
    return PeerError{PeerRejection::Malformed, Error.what()};
  } catch (const FieldError &Error) {
    return PeerError{PeerRejection::Malformed, Error.what()};
  }
}

} // namespace anvilsaddle
