#include "transport/ProxyHeaders.h"

#include "transport/GlibPointers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr const char *OutcomeName = "Anvilsaddle-Outcome";
constexpr std::string_view OwnPrefix = "Anvilsaddle-";

/// Headers of one connection; Expect is answered by this process, and the length is set anew.
constexpr std::array<std::string_view, 11> HopHeaders = {"connection",
                                                         "keep-alive",
                                                         "proxy-authenticate",
                                                         "proxy-authorization",
                                                         "te",
                                                         "trailer",
                                                         "upgrade",
                                                         "transfer-encoding",
                                                         "expect",
                                                         "content-length",
                                                         "proxy-connection"};

bool equalsName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         g_ascii_strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// `Connection` is the value of the Connection header, which names further headers of the
/// connection; may be null.
bool isHopHeader(std::string_view Name, const char *Connection) {
  if (std::ranges::any_of(HopHeaders,
                          [Name](std::string_view Hop) { return equalsName(Name, Hop); })) {
    return true;
  }
  return Connection && *Connection && soup_header_contains(Connection, std::string(Name).c_str());
}

bool isOwnHeader(std::string_view Name) {
  return equalsName(Name.substr(0, OwnPrefix.size()), OwnPrefix);
}

void appendField(std::string &Text, std::string_view Name, std::string_view Value) {
  // The library joins folded lines; a line end that is left would start another header.
  if (Value.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
    return;
  }
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

} // namespace

std::string_view headerValue(SoupMessageHeaders *Headers, const char *Name) {
  const char *Value = soup_message_headers_get_one(Headers, Name);
  return Value ? Value : std::string_view();
}

std::string formatRequestHead(SoupServerMessage *Caller, const std::vector<HeaderField> &Added) {
  GUri *Uri = soup_server_message_get_uri(Caller);
  std::string Result = soup_server_message_get_method(Caller);
  Result += ' ';
  // The library has decoded the path. What is sent is what was routed.
  const std::unique_ptr<char, GFree> Path(
      g_uri_escape_string(g_uri_get_path(Uri), "/!$&'()*+,;=:@", FALSE));
  Result += Path.get();
  if (const char *Query = g_uri_get_query(Uri)) {
    Result += '?';
    Result += Query;
  }
  Result += " HTTP/1.1\r\n";
  SoupMessageHeaders *From = soup_server_message_get_request_headers(Caller);
  const char *Connection = soup_message_headers_get_list(From, "Connection");
  SoupMessageHeadersIter Next;
  soup_message_headers_iter_init(&Next, From);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Next, &Name, &Value)) {
    const bool Replaced = std::ranges::any_of(
        Added, [Name](const HeaderField &Each) { return equalsName(Name, Each.first); });
    if (!Replaced && !equalsName(Name, "Authorization") && !isOwnHeader(Name) &&
        !isHopHeader(Name, Connection)) {
      appendField(Result, Name, Value);
    }
  }
  for (const auto &[AddedName, AddedValue] : Added) {
    appendField(Result, AddedName, AddedValue);
  }
  return Result;
}

void copyAnswerHeaders(const AnswerHead &From, SoupMessageHeaders *To, bool KeepOwn) {
  const std::string Connection(From.field("Connection"));
  for (const auto &[Name, Value] : From.Fields) {
    if (!isHopHeader(Name, Connection.c_str()) && (KeepOwn || !isOwnHeader(Name))) {
      soup_message_headers_append(To, Name.c_str(), Value.c_str());
    }
  }
}

void writeRefusal(SoupServerMessage *Caller, const Refusal &Answer) {
  const char *Outcome = Answer.Outcome == RunOutcome::NotRun ? "not-run" : "unknown";
  nlohmann::json Body = {{"outcome", Outcome}, {"reason", Answer.Reason}};
  SoupMessageHeaders *Headers = soup_server_message_get_response_headers(Caller);
  soup_message_headers_replace(Headers, OutcomeName, Outcome);
  if (!Answer.Entries.empty()) {
    std::string Entries;
    for (const std::string &Entry : Answer.Entries) {
      Entries += (Entries.empty() ? "" : ", ") + Entry;
    }
    soup_message_headers_replace(Headers, "Anvilsaddle-Entries", Entries.c_str());
    Body["entries"] = Answer.Entries;
  }
  if (!Answer.Ticket.empty()) {
    soup_message_headers_replace(Headers, "Anvilsaddle-Ticket", Answer.Ticket.c_str());
    Body["ticket"] = Answer.Ticket;
  }
  if (Answer.RetryAfter > Duration::zero()) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter).count();
    soup_message_headers_replace(Headers, "Retry-After", std::to_string(Seconds).c_str());
  }
  const std::string Text =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  soup_server_message_set_status(Caller, static_cast<guint>(Answer.Status), nullptr);
  soup_server_message_set_response(Caller, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

std::optional<RunOutcome> refusalOutcome(const AnswerHead &Answer) {
  const std::string_view Value = Answer.field(OutcomeName);
  if (Value.empty()) {
    return std::nullopt;
  }
  // An outcome of a later version is not known to be harmless.
  return Value == "not-run" ? RunOutcome::NotRun : RunOutcome::Unknown;
}

} // namespace anvilsaddle
