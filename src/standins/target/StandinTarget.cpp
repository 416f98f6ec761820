#include "target/StandinTarget.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

struct StandinTarget::Work {
  StandinTarget *Owner = nullptr;
  GObjectPointer<SoupServerMessage> Message;
};

StandinTarget::StandinTarget(StandinTargetOptions Options)
    : Options(std::move(Options)), Server(soup_server_new("server-header", "standin ", nullptr)),
      Engine(this->Options.Seed) {}

std::string StandinTarget::start() {
  soup_server_add_handler(this->Server.get(), nullptr, onRequest, this, nullptr);
  const GObjectPointer<GSocketAddress> Socket(
      g_inet_socket_address_new_from_string(this->Options.Address.c_str(), this->Options.Port));
  GError *Error = nullptr;
  if (soup_server_listen(this->Server.get(), Socket.get(), static_cast<SoupServerListenOptions>(0),
                         &Error)) {
    return {};
  }
  const GErrorPointer Failure(Error);
  return Failure->message;
}

void StandinTarget::onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                              GHashTable *, gpointer Data) {
  auto &Self = *static_cast<StandinTarget *>(Data);
  if (std::string_view(Path) == "/health") {
    soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
    return;
  }
  if (std::string_view(Path) == "/standin/counts") {
    Self.answerCounts(Message);
    return;
  }
  if (Self.Running >= Self.Options.Slots) {
    ++Self.Shed;
    soup_message_headers_replace(soup_server_message_get_response_headers(Message), "Retry-After",
                                 "1");
    soup_server_message_set_status(Message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    return;
  }
  ++Self.Runs;
  const char *Key = soup_message_headers_get_one(soup_server_message_get_request_headers(Message),
                                                 "Idempotency-Key");
  if (Key) {
    ++Self.RunsByKey[Key];
  }
  Self.MostRunning = std::max(Self.MostRunning, ++Self.Running);
  soup_server_message_pause(Message);
  std::exponential_distribution<double> Draw(1.0 / Self.Options.ServiceMilliseconds);
  const auto Wait = static_cast<guint>(std::lround(Draw(Self.Engine)));
  g_timeout_add(Wait, onWorkDone, new Work{&Self, shareObject(Message)});
}

gboolean StandinTarget::onWorkDone(gpointer Data) {
  const std::unique_ptr<Work> Done(static_cast<Work *>(Data));
  --Done->Owner->Running;
  static constexpr std::string_view Body = "done\n";
  soup_server_message_set_status(Done->Message.get(), SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Done->Message.get(), "text/plain", SOUP_MEMORY_STATIC,
                                   Body.data(), Body.size());
  soup_server_message_unpause(Done->Message.get());
  return G_SOURCE_REMOVE;
}

void StandinTarget::answerCounts(SoupServerMessage *Message) const {
  std::uint64_t Most = 0;
  for (const auto &[Key, Count] : this->RunsByKey) {
    Most = std::max(Most, Count);
  }
  const std::string Text = nlohmann::json{
      {"runs", this->Runs},
      {"shed", this->Shed},
      {"most_running", this->MostRunning},
      {"keys", this->RunsByKey},
      {"most_runs_of_a_key",
       Most}}.dump();
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

} // namespace anvilsaddle
