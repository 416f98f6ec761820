#include "transport/AnswerHeaders.h"

#include <algorithm>
#include <array>
#include <chrono>

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

bool isHopHeader(std::string_view Name) {
  return std::ranges::any_of(HopHeaders,
                             [Name](std::string_view Hop) { return equalsName(Name, Hop); });
}

} // namespace

std::string_view headerValue(SoupMessageHeaders *Headers, const char *Name) {
  const char *Value = soup_message_headers_get_one(Headers, Name);
  return Value ? Value : std::string_view();
}

void copyEndToEndHeaders(SoupMessageHeaders *From, SoupMessageHeaders *To, bool KeepOwn) {
  SoupMessageHeadersIter Next;
  soup_message_headers_iter_init(&Next, From);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Next, &Name, &Value)) {
    const bool Own = equalsName(std::string_view(Name).substr(0, OwnPrefix.size()), OwnPrefix);
    if (!isHopHeader(Name) && (KeepOwn || !Own) &&
        !soup_message_headers_header_contains(From, "Connection", Name)) {
      soup_message_headers_append(To, Name, Value);
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

std::optional<RunOutcome> refusalOutcome(SoupMessageHeaders *Headers) {
  const std::string_view Value = headerValue(Headers, OutcomeName);
  if (Value.empty()) {
    return std::nullopt;
  }
  // An outcome of a later version is not known to be harmless.
  return Value == "not-run" ? RunOutcome::NotRun : RunOutcome::Unknown;
}

} // namespace anvilsaddle
