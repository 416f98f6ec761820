#include "configservice/StandinConfigService.h"

#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using nlohmann::json;

constexpr guint PollMilliseconds = 20;
constexpr gint64 WatchMicroseconds = gint64{30} * G_USEC_PER_SEC;
constexpr std::string_view SettingsPrefix = "/v1/settings/";

std::uint64_t afterOf(GHashTable *Query) {
  const auto *Text =
      Query ? static_cast<const char *>(g_hash_table_lookup(Query, "after")) : nullptr;
  return Text ? g_ascii_strtoull(Text, nullptr, 10) : 0;
}

std::string readText(const std::filesystem::path &File) {
  std::ifstream Stream(File, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

} // namespace

StandinConfigService::StandinConfigService(std::filesystem::path Directory, std::string Address,
                                           std::uint16_t Port)
    : Directory(std::move(Directory)), Address(std::move(Address)), Port(Port),
      Server(soup_server_new("server-header", "standin ", nullptr)) {}

StandinConfigService::~StandinConfigService() {
  g_clear_handle_id(&this->PollTimer, g_source_remove);
}

std::string StandinConfigService::start() {
  this->readFiles();
  soup_server_add_handler(this->Server.get(), nullptr, onRequest, this, nullptr);
  const GObjectPointer<GSocketAddress> Socket(
      g_inet_socket_address_new_from_string(this->Address.c_str(), this->Port));
  GError *Error = nullptr;
  if (!soup_server_listen(this->Server.get(), Socket.get(), static_cast<SoupServerListenOptions>(0),
                          &Error)) {
    const GErrorPointer Failure(Error);
    return Failure->message;
  }
  this->PollTimer = g_timeout_add(PollMilliseconds, onPoll, this);
  return {};
}

void StandinConfigService::onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                                     GHashTable *Query, gpointer Data) {
  auto &Self = *static_cast<StandinConfigService *>(Data);
  const std::string_view Wanted(Path);
  if (Wanted == "/standin/counts") {
    Self.answer(Message, json{{"calls", Self.Calls}}.dump());
    return;
  }
  ++Self.Calls;
  if (Wanted == "/v1/index" || Wanted == "/v1/vms") {
    const bool Vms = Wanted == "/v1/vms";
    const std::uint64_t Newest = Vms ? Self.Vms.Revision : Self.Revision;
    const std::uint64_t After = afterOf(Query);
    if (After < Newest) {
      Self.answer(Message, Vms ? Self.vmsJson() : Self.indexJson());
      return;
    }
    soup_server_message_pause(Message);
    Self.Waiters.push_back(
        {shareObject(Message), Vms, After, g_get_monotonic_time() + WatchMicroseconds});
    return;
  }
  if (Wanted.starts_with(SettingsPrefix)) {
    const auto Found = Self.Entries.find(std::string(Wanted.substr(SettingsPrefix.size())));
    if (Found != Self.Entries.end()) {
      Self.answer(Message,
                  json{{"revision", Found->second.Revision}, {"text", Found->second.Text}}.dump());
      return;
    }
  }
  soup_server_message_set_status(Message, SOUP_STATUS_NOT_FOUND, nullptr);
}

gboolean StandinConfigService::onPoll(gpointer Data) {
  auto &Self = *static_cast<StandinConfigService *>(Data);
  Self.readFiles();
  const gint64 Now = g_get_monotonic_time();
  std::erase_if(Self.Waiters, [&Self, Now](const Waiter &Each) {
    const bool Newer = Each.After < (Each.Vms ? Self.Vms.Revision : Self.Revision);
    if (!Newer && Now < Each.GivesUpAt) {
      return false;
    }
    Self.answer(Each.Message.get(), Each.Vms ? Self.vmsJson() : Self.indexJson());
    soup_server_message_unpause(Each.Message.get());
    return true;
  });
  return G_SOURCE_CONTINUE;
}

void StandinConfigService::readFiles() {
  this->readFile("platform", this->Directory / "platform.toml");
  std::error_code Ignored;
  for (const auto &File : std::filesystem::directory_iterator(this->Directory / "teams", Ignored)) {
    if (File.path().extension() == ".toml") {
      this->readFile("teams/" + File.path().stem().string(), File.path());
    }
  }
  std::string Text = readText(this->Directory / "vms.json");
  if (!Text.empty() && Text != this->Vms.Text) {
    this->Vms.Text = std::move(Text);
    ++this->Vms.Revision;
  }
}

void StandinConfigService::readFile(const std::string &Path, const std::filesystem::path &File) {
  std::string Text = readText(File);
  Entry &Known = this->Entries[Path];
  if (!Text.empty() && Text != Known.Text) {
    Known.Text = std::move(Text);
    Known.Revision = ++this->Revision;
  }
}

std::string StandinConfigService::indexJson() const {
  json Paths = json::object();
  for (const auto &[Path, Known] : this->Entries) {
    Paths[Path] = Known.Revision;
  }
  return json{{"revision", this->Revision}, {"paths", Paths}}.dump();
}

std::string StandinConfigService::vmsJson() const {
  json Result = json::parse(this->Vms.Text, nullptr, false);
  if (!Result.is_object()) {
    Result = {{"vms", json::array()}};
  }
  Result["revision"] = this->Vms.Revision;
  return Result.dump();
}

void StandinConfigService::answer(SoupServerMessage *Message, const std::string &Text) const {
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

} // namespace anvilsaddle
