#include "transport/GlibPointers.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <libsoup/soup.h>

using namespace anvilsaddle;

namespace {

struct LoadOptions {
  std::vector<std::string> Urls;
  std::string Method = "GET";
  std::string Credential;
  std::string Ticket;
  double Rate = 100;
  std::uint32_t Count = 1000;
  std::uint64_t Seed = 1;
};

/// Sends requests with exponential gaps, independent of the answers, and sorts outcomes by status.
class LoadRun {
public:
  explicit LoadRun(const LoadOptions &Options)
      : Options(Options), Engine(Options.Seed),
        Session(soup_session_new_with_options("max-conns", 2000, "max-conns-per-host", 2000,
                                              "timeout", 30, nullptr)),
        Loop(g_main_loop_new(nullptr, FALSE)) {}

  void run() {
    this->NextDue = g_get_monotonic_time();
    this->scheduleNext();
    g_main_loop_run(this->Loop.get());
  }

  void print() {
    for (auto &[Status, Times] : this->Latencies) {
      std::ranges::sort(Times);
      const auto Quantile = [&Sorted = Times](double Fraction) {
        const auto Index = static_cast<std::size_t>(Fraction * static_cast<double>(Sorted.size()));
        return static_cast<double>(Sorted[std::min(Index, Sorted.size() - 1)]) / 1000;
      };
      std::printf("status %u count %zu p50 %.2f ms p99 %.2f ms p99.9 %.2f ms\n", Status,
                  Times.size(), Quantile(0.5), Quantile(0.99), Quantile(0.999));
    }
  }

private:
  struct Call {
    LoadRun *Owner;
    GObjectPointer<SoupMessage> Message;
    gint64 Due;
  };

  void scheduleNext() {
    std::exponential_distribution<double> Gap(this->Options.Rate);
    this->NextDue += static_cast<gint64>(Gap(this->Engine) * 1e6);
    const gint64 Wait = std::max<gint64>(0, this->NextDue - g_get_monotonic_time());
    g_timeout_add(static_cast<guint>(Wait / 1000), onDue, this);
  }

  static gboolean onDue(gpointer Data) {
    auto &Self = *static_cast<LoadRun *>(Data);
    Self.send();
    if (Self.Sent < Self.Options.Count) {
      Self.scheduleNext();
    }
    return G_SOURCE_REMOVE;
  }

  void send() {
    const std::string &Url = this->Options.Urls[this->Sent % this->Options.Urls.size()];
    ++this->Sent;
    auto Next = std::make_unique<Call>();
    Next->Owner = this;
    Next->Due = this->NextDue;
    Next->Message.reset(soup_message_new(this->Options.Method.c_str(), Url.c_str()));
    SoupMessage *Message = Next->Message.get();
    SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
    const std::string Bearer = "Bearer " + this->Options.Credential;
    soup_message_headers_append(Headers, "Authorization", Bearer.c_str());
    if (!this->Options.Ticket.empty()) {
      const std::string Key = this->Options.Ticket + "." + std::to_string(this->Sent);
      soup_message_headers_append(Headers, "Idempotency-Key", Key.c_str());
    }
    soup_session_send_and_read_async(this->Session.get(), Message, G_PRIORITY_DEFAULT, nullptr,
                                     onDone, Next.release());
  }

  static void onDone(GObject *Source, GAsyncResult *Result, gpointer Data) {
    const std::unique_ptr<Call> Ended(static_cast<Call *>(Data));
    GError *Error = nullptr;
    const GBytesPointer Body(
        soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, &Error));
    const GErrorPointer Failure(Error);
    LoadRun &Self = *Ended->Owner;
    const guint Status = Body ? soup_message_get_status(Ended->Message.get()) : 0;
    Self.Latencies[Status].push_back(g_get_monotonic_time() - Ended->Due);
    if (++Self.Done == Self.Options.Count) {
      g_main_loop_quit(Self.Loop.get());
    }
  }

  const LoadOptions &Options;
  std::mt19937_64 Engine;
  GObjectPointer<SoupSession> Session;
  GMainLoopPointer Loop;
  gint64 NextDue = 0;
  std::uint32_t Sent = 0;
  std::uint32_t Done = 0;
  std::map<guint, std::vector<gint64>> Latencies;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Load tool: open-loop requests to entries or targets");
  LoadOptions Options;
  App.add_option("--url", Options.Urls, "URLs, used in turn")->required();
  App.add_option("--method", Options.Method, "HTTP method");
  App.add_option("--credential", Options.Credential, "<team>.<customer>.<secret>");
  App.add_option("--ticket", Options.Ticket, "Ticket for idempotency keys");
  App.add_option("--rate", Options.Rate, "Requests a second");
  App.add_option("--count", Options.Count, "Number of requests");
  App.add_option("--seed", Options.Seed, "Seed of the gaps");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  LoadRun Run(Options);
  Run.run();
  Run.print();
  return 0;
}
