#include "transport/PlatformWatch.h"

#include "protocol/VmListJson.h"
#include "transport/TextGet.h"

#include <memory>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr guint RetryPauseMilliseconds = 500;
/// Longer than the service holds a watch open.
constexpr guint WatchTimeoutSeconds = 40;

} // namespace

PlatformWatch::PlatformWatch(std::string ConfigurationService, std::string VmListService,
                             Listener Events)
    : ConfigurationService(std::move(ConfigurationService)),
      VmListService(std::move(VmListService)), Events(std::move(Events)),
      Session(soup_session_new_with_options("timeout", WatchTimeoutSeconds, nullptr)) {}

PlatformWatch::~PlatformWatch() {
  this->watchSettings(false);
  g_cancellable_cancel(this->Cancel.get());
}

void PlatformWatch::start() { this->watchVms(); }

void PlatformWatch::watchSettings(bool Active) {
  if (Active == (this->IndexCancel != nullptr)) {
    return;
  }
  if (!Active) {
    g_cancellable_cancel(this->IndexCancel.get());
    this->IndexCancel.reset();
    return;
  }
  this->IndexCancel.reset(g_cancellable_new());
  // Paths may have changed while another entry held the watch.
  this->IndexRevision = 0;
  this->watchIndex();
}

void PlatformWatch::get(const std::string &Url, GCancellable *Cancelled,
                        std::function<void(const std::string &Body, bool Ok)> Done) {
  getText(this->Session.get(), GObjectPointer<SoupMessage>(soup_message_new("GET", Url.c_str())),
          Cancelled, [Done = std::move(Done)](SoupMessage *, const std::string &Body, bool Ok) {
            Done(Body, Ok);
          });
}

void PlatformWatch::watchIndex() {
  this->get(this->ConfigurationService + "/v1/index?after=" + std::to_string(this->IndexRevision),
            this->IndexCancel.get(), [this](const std::string &Body, bool Ok) {
              if (!Ok) {
                this->later(this->IndexCancel.get(), [this] { this->watchIndex(); });
                return;
              }
              this->onIndex(Body);
              this->watchIndex();
            });
}

void PlatformWatch::onIndex(const std::string &Body) {
  const auto Index = nlohmann::json::parse(Body, nullptr, false);
  if (!Index.is_object() || !Index.contains("paths") || !Index["paths"].is_object()) {
    return;
  }
  this->IndexRevision = Index.value("revision", std::uint64_t{0});
  for (const auto &[Path, Value] : Index["paths"].items()) {
    const auto Revision = Value.is_number_unsigned() ? Value.get<std::uint64_t>() : 0;
    if (Revision <= this->Read[Path]) {
      continue;
    }
    this->get(this->ConfigurationService + "/v1/settings/" + Path, this->IndexCancel.get(),
              [this, Path = Path](const std::string &Answer, bool Ok) {
                const auto Entry = nlohmann::json::parse(Answer, nullptr, false);
                if (!Ok || !Entry.is_object() || !Entry.contains("text")) {
                  this->IndexRevision = 0;
                  return;
                }
                const auto Served = Entry.value("revision", std::uint64_t{0});
                this->Read[Path] = Served;
                this->Events.OnSettings(Path, Served, Entry.value("text", std::string()));
              });
  }
}

void PlatformWatch::watchVms() {
  this->get(this->VmListService + "/v1/vms?after=" + std::to_string(this->VmRevision),
            this->Cancel.get(), [this](const std::string &Body, bool Ok) {
              auto List = readVmList(Body, "vm-list");
              if (!Ok || std::holds_alternative<Findings>(List)) {
                this->later(this->Cancel.get(), [this] { this->watchVms(); });
                return;
              }
              this->VmRevision = std::get<VmList>(List).Revision;
              this->Events.OnVmList(std::get<VmList>(List));
              this->watchVms();
            });
}

void PlatformWatch::later(GCancellable *Cancelled, std::function<void()> Action) {
  struct Delayed {
    GObjectPointer<GCancellable> Cancel;
    std::function<void()> Action;
  };
  auto Next = std::make_unique<Delayed>(Delayed{shareObject(Cancelled), std::move(Action)});
  g_timeout_add(
      RetryPauseMilliseconds,
      [](gpointer Data) -> gboolean {
        const std::unique_ptr<Delayed> Due(static_cast<Delayed *>(Data));
        if (!g_cancellable_is_cancelled(Due->Cancel.get())) {
          Due->Action();
        }
        return G_SOURCE_REMOVE;
      },
      Next.release());
}

} // namespace anvilsaddle
