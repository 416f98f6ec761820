#include "protocol/PeerEnvelope.h"

namespace anvilsaddle {

namespace {

constexpr std::size_t NumberBytes = 8;
/// Version, length of the name, and three integers.
constexpr std::size_t FixedHeaderBytes = 2 + 3 * NumberBytes;

void appendNumber(std::string &Out, std::uint64_t Value) {
  for (std::size_t Index = 0; Index < NumberBytes; ++Index) {
    Out.push_back(static_cast<char>(Value >> (8 * (NumberBytes - 1 - Index))));
  }
}

std::uint64_t readNumber(std::string_view In) {
  std::uint64_t Result = 0;
  for (std::size_t Index = 0; Index < NumberBytes; ++Index) {
    Result = Result << 8 | static_cast<unsigned char>(In[Index]);
  }
  return Result;
}

/// Value of a lower-case hexadecimal digit, as MessageAuthenticator returns them.
unsigned hexDigitValue(char Digit) {
  return static_cast<unsigned>(Digit <= '9' ? Digit - '0' : Digit - 'a' + 10);
}

std::string authenticationCode(std::string_view Content, const MessageAuthenticator &Authenticator,
                               const VmName &Receiver) {
  // The label separates these codes from other uses of the fleet key. The line break separates the
  // receiver's name from the content.
  std::string Text = "peer-datagram\n" + Receiver.str() + "\n";
  Text += Content;
  const std::string Hex = Authenticator.hmac(Text);
  std::string Result;
  for (std::size_t Index = 0; Index < PeerEnvelope::AuthenticationCodeBytes; ++Index) {
    Result.push_back(
        static_cast<char>(hexDigitValue(Hex[2 * Index]) << 4 | hexDigitValue(Hex[2 * Index + 1])));
  }
  return Result;
}

} // namespace

std::size_t PeerEnvelope::payloadLimit(const VmName &Sender) {
  return MaxDatagramBytes - FixedHeaderBytes - AuthenticationCodeBytes - Sender.str().size();
}

std::string PeerEnvelope::seal(const MessageAuthenticator &Authenticator,
                               const VmName &Receiver) const {
  std::string Result;
  Result.reserve(MaxDatagramBytes);
  Result.push_back(static_cast<char>(Version));
  Result.push_back(static_cast<char>(this->Sender.str().size()));
  Result += this->Sender.str();
  appendNumber(Result, static_cast<std::uint64_t>(this->SenderIncarnation.StartedUnixMilliseconds));
  appendNumber(Result, this->SenderIncarnation.Nonce);
  appendNumber(Result, this->Sequence);
  Result += this->Payload;
  Result += authenticationCode(Result, Authenticator, Receiver);
  return Result;
}

std::variant<PeerEnvelope, PeerError> PeerEnvelope::open(std::string_view Datagram,
                                                         const MessageAuthenticator &Authenticator,
                                                         const VmName &Receiver) {
  if (Datagram.size() > MaxDatagramBytes) {
    return PeerError{PeerRejection::TooLarge,
                     "datagram of " + std::to_string(Datagram.size()) + " bytes"};
  }
  if (Datagram.size() < FixedHeaderBytes + AuthenticationCodeBytes) {
    return PeerError{PeerRejection::Truncated,
                     "datagram of " + std::to_string(Datagram.size()) + " bytes"};
  }
  const auto ReceivedVersion = static_cast<std::uint8_t>(Datagram[0]);
  if (ReceivedVersion != Version) {
    return PeerError{PeerRejection::UnsupportedVersion,
                     "envelope version " + std::to_string(ReceivedVersion)};
  }
  const std::string_view Content = Datagram.substr(0, Datagram.size() - AuthenticationCodeBytes);
  if (!Authenticator.constantTimeEquals(authenticationCode(Content, Authenticator, Receiver),
                                        Datagram.substr(Content.size()))) {
    return PeerError{
        PeerRejection::BadAuthentication,
        "the authentication code does not match: different fleet key, different receiver or "
        "modified bytes"};
  }
  const std::size_t NameBytes = static_cast<unsigned char>(Content[1]);
  if (NameBytes == 0 || NameBytes > MaxNameBytes || Content.size() < FixedHeaderBytes + NameBytes) {
    return PeerError{PeerRejection::Malformed,
                     "sender name of " + std::to_string(NameBytes) + " bytes"};
  }
  std::string_view Rest = Content.substr(2);
  PeerEnvelope Result;
  Result.Sender = VmName(std::string(Rest.substr(0, NameBytes)));
  Rest.remove_prefix(NameBytes);
  Result.SenderIncarnation.StartedUnixMilliseconds = static_cast<std::int64_t>(readNumber(Rest));
  Result.SenderIncarnation.Nonce = readNumber(Rest.substr(NumberBytes));
  Result.Sequence = readNumber(Rest.substr(2 * NumberBytes));
  Result.Payload = std::string(Rest.substr(3 * NumberBytes));
  return Result;
}

} // namespace anvilsaddle
