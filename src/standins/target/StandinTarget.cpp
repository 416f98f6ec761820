#include "target/StandinTarget.h"

#include "transport/CallerWatch.h"
#include "transport/EarlyAnswer.h"
#include "transport/ProxyHeaders.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

constexpr std::uint64_t PartBytes = 65536;
constexpr std::size_t MaxLoadSamples = 100'000;

void answerText(SoupServerMessage *Message, guint Status, const std::string &Text) {
  soup_server_message_set_status(Message, Status, nullptr);
  soup_server_message_set_response(Message, "application/json", SOUP_MEMORY_COPY, Text.data(),
                                   Text.size());
}

} // namespace

/// One request from its arrival to the end of its answer.
struct StandinTarget::Work {
  Work(StandinTarget *Owner, SoupServerMessage *Message, StandinFault Fault)
      : Owner(Owner), Message(shareObject(Message)), Fault(Fault) {}

  StandinTarget *Owner;
  GObjectPointer<SoupServerMessage> Message;
  StandinFault Fault;
  std::unique_ptr<CallerWatch> Watch;
  guint Timer = 0;
  std::uint64_t BytesLeft = 0;
  bool Answered = false;

  ~Work() {
    g_signal_handlers_disconnect_by_data(this->Message.get(), this);
    g_clear_handle_id(&this->Timer, g_source_remove);
  }
};

StandinTarget::StandinTarget(StandinTargetOptions Options)
    : Options(std::move(Options)), Server(soup_server_new("server-header", "standin ", nullptr)),
      Engine(this->Options.Seed), ColdLeft(this->Options.Behaviour.ColdAnswers) {}

StandinTarget::~StandinTarget() { soup_server_disconnect(this->Server.get()); }

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

void StandinTarget::setBehaviour(const StandinBehaviour &Behaviour) {
  this->Options.Behaviour = Behaviour;
  this->ColdLeft = Behaviour.ColdAnswers;
  this->startQueued();
}

void StandinTarget::onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                              GHashTable *, gpointer Data) {
  auto &Self = *static_cast<StandinTarget *>(Data);
  const std::string_view Wanted(Path);
  if (Wanted == "/health") {
    Self.answerHealth(Message);
  } else if (Wanted == "/load") {
    Self.answerLoad(Message);
  } else if (Wanted == "/standin/counts") {
    Self.answerCounts(Message);
  } else if (Wanted == "/standin/control") {
    Self.answerControl(Message);
  } else {
    Self.run(Message);
  }
}

void StandinTarget::answerHealth(SoupServerMessage *Message) {
  ++this->Counts.Measurements;
  const StandinBehaviour &Now = this->Options.Behaviour;
  const guint Truth = Now.Draining || Now.Fault == StandinFault::FailFast ? 503 : 200;
  soup_server_message_set_status(Message, Now.HealthStatus ? Now.HealthStatus : Truth, nullptr);
}

void StandinTarget::answerLoad(SoupServerMessage *Message) {
  ++this->Counts.Measurements;
  const StandinBehaviour &Now = this->Options.Behaviour;
  const gint64 Wanted = g_get_monotonic_time() - gint64(Now.LoadLagMilliseconds) * 1000;
  std::int64_t Load = 0;
  for (const LoadSample &Each : this->Loads) {
    if (Each.Time <= Wanted) {
      Load = Each.Running;
    }
  }
  Load = Now.ReportedLoad >= 0 ? Now.ReportedLoad : Load;
  answerText(Message, SOUP_STATUS_OK,
             nlohmann::json{{"running", Load}, {"slots", Now.Slots}}.dump());
}

void StandinTarget::answerControl(SoupServerMessage *Message) {
  const SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  const GBytesPointer Bytes(soup_message_body_flatten(const_cast<SoupMessageBody *>(Body)));
  gsize Size = 0;
  const auto *Text = static_cast<const char *>(g_bytes_get_data(Bytes.get(), &Size));
  StandinBehaviour Next = this->Options.Behaviour;
  const std::string Error = changeBehaviour(Next, {Text ? Text : "", Size});
  if (!Error.empty()) {
    answerText(Message, SOUP_STATUS_BAD_REQUEST, nlohmann::json{{"error", Error}}.dump());
    return;
  }
  this->setBehaviour(Next);
  answerText(Message, SOUP_STATUS_OK, "{}");
}

void StandinTarget::answerCounts(SoupServerMessage *Message) const {
  std::uint64_t Most = 0;
  for (const auto &[Key, Count] : this->Counts.RunsByKey) {
    Most = std::max(Most, Count);
  }
  answerText(Message, SOUP_STATUS_OK,
             nlohmann::json{{"runs", this->Counts.Runs},
                            {"shed", this->Counts.Shed},
                            {"failed", this->Counts.Failed},
                            {"cancelled", this->Counts.Cancelled},
                            {"measurements", this->Counts.Measurements},
                            {"in_flight", this->Running.size()},
                            {"most_running", this->Counts.MostRunning},
                            {"keys", this->Counts.RunsByKey},
                            {"by_request", this->Counts.RunsByRequest},
                            {"most_runs_of_a_key", Most}}
                 .dump());
}

void StandinTarget::shed(SoupServerMessage *Message) {
  ++this->Counts.Shed;
  soup_message_headers_replace(soup_server_message_get_response_headers(Message), "Retry-After",
                               "1");
  soup_server_message_set_status(Message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
}

bool StandinTarget::failOver() {
  if (this->ColdLeft == 0 || this->Running.empty()) {
    return false;
  }
  this->ColdLeft = this->Options.Behaviour.ColdAnswers;
  while (!this->Running.empty()) {
    Work &Each = *this->Running.front();
    ++this->Counts.Failed;
    Each.Fault = StandinFault::FailFast;
    this->answer(Each);
  }
  return true;
}

void StandinTarget::run(SoupServerMessage *Message) {
  const StandinBehaviour &Now = this->Options.Behaviour;
  const bool Full = this->Running.size() >= Now.Slots;
  if (Now.Draining || (Full && Now.ShedOverSlots)) {
    this->shed(Message);
    return;
  }
  ++this->Counts.Runs;
  SoupMessageHeaders *Headers = soup_server_message_get_request_headers(Message);
  if (const auto Key = headerValue(Headers, "Idempotency-Key"); !Key.empty()) {
    ++this->Counts.RunsByKey[std::string(Key)];
  }
  if (const auto Id = headerValue(Headers, "Request-Id"); !Id.empty()) {
    ++this->Counts.RunsByRequest[std::string(Id)];
  }
  const StandinFault Fault =
      this->Counts.Runs % Now.FaultEvery == 0 ? Now.Fault : StandinFault::None;
  if (this->failOver() || Fault == StandinFault::FailFast) {
    ++this->Counts.Failed;
    soup_server_message_set_status(Message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    return;
  }
  auto Next = std::make_unique<Work>(this, Message, Fault);
  Work *Added = Next.get();
  g_signal_connect(Message, "finished", G_CALLBACK(onFinished), Added);
  g_signal_connect(Message, "wrote-chunk", G_CALLBACK(onChunkWritten), Added);
  Added->Watch = std::make_unique<CallerWatch>(soup_server_message_get_socket(Message), [Added] {
    StandinTarget &Self = *Added->Owner;
    const GObjectPointer<SoupServerMessage> Held = shareObject(Added->Message.get());
    ++Self.Counts.Cancelled;
    Self.remove(*Added);
    closeWithoutAnswer(Held.get(), true);
  });
  soup_server_message_pause(Message);
  if (Full) {
    this->Queued.push_back(std::move(Next));
    return;
  }
  this->Running.push_back(std::move(Next));
  this->startTimer(*Added);
}

void StandinTarget::startTimer(Work &Started) {
  this->Counts.MostRunning = std::max(this->Counts.MostRunning, this->running());
  this->recordLoad();
  const StandinBehaviour &Now = this->Options.Behaviour;
  double Milliseconds = Now.ServiceMilliseconds * Now.Slowdown;
  if (Now.Exponential && Milliseconds > 0) {
    Milliseconds = std::exponential_distribution<double>(1.0 / Milliseconds)(this->Engine);
  }
  const auto Wait = static_cast<guint>(std::lround(Milliseconds));
  if (Wait == 0) {
    this->answer(Started);
    return;
  }
  Started.Timer = g_timeout_add(Wait, onWorkDone, &Started);
}

void StandinTarget::startQueued() {
  while (!this->Queued.empty() && this->Running.size() < this->Options.Behaviour.Slots) {
    this->Running.splice(this->Running.end(), this->Queued, this->Queued.begin());
    this->startTimer(*this->Running.back());
  }
}

gboolean StandinTarget::onWorkDone(gpointer Data) {
  auto &Done = *static_cast<Work *>(Data);
  Done.Timer = 0;
  if (Done.Owner->ColdLeft > 0) {
    --Done.Owner->ColdLeft;
  }
  Done.Owner->answer(Done);
  return G_SOURCE_REMOVE;
}

void StandinTarget::answer(Work &Done) {
  const auto Place = std::ranges::find_if(
      this->Running, [&Done](const auto &Each) { return Each.get() == &Done; });
  this->Answering.splice(this->Answering.end(), this->Running, Place);
  this->recordLoad();
  g_clear_handle_id(&Done.Timer, g_source_remove);
  SoupServerMessage *Message = Done.Message.get();
  Done.Answered = true;
  if (Done.Fault == StandinFault::EarlyClose) {
    ++this->Counts.Failed;
    const GObjectPointer<SoupServerMessage> Held = shareObject(Message);
    this->remove(Done);
    closeWithoutAnswer(Held.get(), false);
    this->startQueued();
    return;
  }
  if (Done.Fault == StandinFault::FailFast) {
    soup_server_message_set_status(Message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    soup_server_message_unpause(Message);
    this->startQueued();
    return;
  }
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  SoupMessageHeaders *Headers = soup_server_message_get_response_headers(Message);
  const bool Faulty = Done.Fault != StandinFault::None;
  Done.BytesLeft = std::max<std::uint64_t>(this->Options.Behaviour.BodyBytes, Faulty ? 2 : 0);
  if (this->Options.Behaviour.Chunked) {
    soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  } else {
    soup_message_headers_set_content_length(Headers, static_cast<goffset>(Done.BytesLeft));
  }
  soup_message_body_set_accumulate(soup_server_message_get_response_body(Message), FALSE);
  if (Faulty) {
    Done.BytesLeft /= 2;
  }
  this->sendPart(Done);
  soup_server_message_unpause(Message);
  this->startQueued();
}

void StandinTarget::sendPart(Work &Sending) {
  SoupMessageBody *Body = soup_server_message_get_response_body(Sending.Message.get());
  const std::uint64_t Size = std::min(Sending.BytesLeft, PartBytes);
  if (Size > 0) {
    const std::string Part(Size, 'x');
    soup_message_body_append(Body, SOUP_MEMORY_COPY, Part.data(), Part.size());
    Sending.BytesLeft -= Size;
  }
  if (Sending.BytesLeft == 0 && Sending.Fault == StandinFault::None) {
    soup_message_body_complete(Body);
  }
}

void StandinTarget::onChunkWritten(SoupServerMessage *Message, gpointer Data) {
  auto &Sending = *static_cast<Work *>(Data);
  if (Sending.BytesLeft > 0) {
    Sending.Owner->sendPart(Sending);
    return;
  }
  if (Sending.Fault != StandinFault::None) {
    StandinTarget &Self = *Sending.Owner;
    const bool Reset = Sending.Fault == StandinFault::KillMidAnswer;
    const GObjectPointer<SoupServerMessage> Held = shareObject(Message);
    ++Self.Counts.Failed;
    Self.remove(Sending);
    soup_server_message_pause(Message);
    // The connection cannot be taken from the library inside its own callback.
    g_idle_add_full(
        G_PRIORITY_DEFAULT,
        Reset ? [](gpointer Caller) -> gboolean {
          closeWithoutAnswer(SOUP_SERVER_MESSAGE(Caller), true);
          return G_SOURCE_REMOVE;
        }
              : [](gpointer Caller) -> gboolean {
                  closeWithoutAnswer(SOUP_SERVER_MESSAGE(Caller), false);
                  return G_SOURCE_REMOVE;
                },
        g_object_ref(Message), g_object_unref);
  }
}

void StandinTarget::onFinished(SoupServerMessage *, gpointer Data) {
  auto &Ended = *static_cast<Work *>(Data);
  StandinTarget &Self = *Ended.Owner;
  if (!Ended.Answered) {
    ++Self.Counts.Cancelled;
  }
  Self.remove(Ended);
}

void StandinTarget::remove(Work &Ended) {
  const auto Same = [&Ended](const auto &Each) { return Each.get() == &Ended; };
  const bool HeldSlot = std::ranges::any_of(this->Running, Same);
  for (auto *List : {&this->Running, &this->Queued, &this->Answering}) {
    List->remove_if(Same);
  }
  if (HeldSlot) {
    this->recordLoad();
    this->startQueued();
  }
}

void StandinTarget::recordLoad() {
  this->Loads.push_back({g_get_monotonic_time(), this->running()});
  if (this->Loads.size() > MaxLoadSamples) {
    this->Loads.pop_front();
  }
}

} // namespace anvilsaddle
