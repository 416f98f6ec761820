#include "transport/HttpConnection.h"

#include "transport/Clock.h"
#include "transport/HttpServer.h"

#include <algorithm>
#include <array>
#include <utility>

namespace anvilsaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ReadBufferBytes = 16384;
/// Bytes that are read from one connection before other connections are served.
constexpr std::size_t MaxReadBytesPerWakeup = std::size_t{256} * 1024;
/// Bytes of later requests that are buffered while earlier requests are pending.
constexpr std::size_t MaxReadAheadBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxPipelinedRequests = 16;
/// Largest response that is buffered for a pipelined request before earlier ones are written.
constexpr std::size_t ExpectedResponseBytes = std::size_t{256} * 1024;
/// Memory of a connection that is idle.
constexpr std::size_t IdleConnectionBytes = std::size_t{4} * 1024;
/// Memory of a request in progress besides its head and its body.
constexpr std::size_t RequestInProgressBytes = std::size_t{4} * 1024;
constexpr int RequestTimeout = 408;
constexpr int Unavailable = 503;
/// Other requests free their memory within moments.
constexpr std::chrono::seconds RetryWithoutMemory(1);
constexpr Duration LingerTimeout = 1s;
/// A connection lingers longer while its last response is on its way over a full link.
constexpr Duration MaxLingerTimeout = 10s;
/// Callers are told to reuse a connection for this share of its idle timeout only, so that their
/// requests don't cross its close.
constexpr double ReuseTimeShare = 0.8;

bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

} // namespace

HttpConnection::HttpConnection(HttpServer &Server, GObjectPointer<GSocket> Socket, TimePoint Now)
    : Server(Server), Socket(std::move(Socket)),
      Watch(this->Socket.descriptor(),
            [this](GIOCondition Condition) { this->onReady(Condition); }),
      Parser(parserLimits(Server)), ConnectionCharge(Server.memory(), MemoryKind::Connection),
      ExpectedCharge(Server.memory(), MemoryKind::ExpectedResponse),
      OutputCharge(Server.memory(), MemoryKind::Output),
      UnreadCharge(Server.memory(), MemoryKind::UnreadInput), LastActivity(Now),
      IdleTimeout(Server.limits().IdleTimeout), LastRead(Now) {
  this->updateCharges();
  this->updateWatch();
}

HttpConnection::~HttpConnection() = default;

bool HttpConnection::isIdle() const {
  return this->CurrentState == State::Open && this->Exchanges.empty() && !this->Parser.isStarted();
}

bool HttpConnection::shouldCloseAfter(const HttpExchange &Exchange) const {
  // A later request on this connection would be lost if the connection closed now.
  const bool IsLast = this->Exchanges.back().get() == &Exchange && !this->Parser.isStarted();
  return this->Server.isKeepAliveDisabled() && IsLast;
}

std::chrono::seconds HttpConnection::renewReuseTime() {
  this->IdleTimeout = this->Server.limits().IdleTimeout;
  return std::chrono::duration_cast<std::chrono::seconds>(this->IdleTimeout * ReuseTimeShare);
}

void HttpConnection::onReady(GIOCondition Condition) {
  if ((Condition & G_IO_OUT) != 0) {
    this->flush();
  }
  if (this->CurrentState == State::Closed || (Condition & ~G_IO_OUT) == 0) {
    return;
  }
  if (this->IsPaused) {
    // Nothing is read, so only errors and hang-ups are reported.
    if ((Condition & (G_IO_HUP | G_IO_ERR)) != 0) {
      this->close(CloseReason::ReadFailed);
    }
    return;
  }
  if (const auto Reason = this->readAvailable()) {
    this->close(*Reason);
    return;
  }
  if (this->CurrentState == State::Open) {
    this->parse();
    this->updateWatch();
    this->updateInputCharges();
    this->Server.endLargestInputs();
  }
}

std::optional<CloseReason> HttpConnection::readAvailable() {
  std::array<char, ReadBufferBytes> Buffer;
  // Read everything that has arrived first: if the caller has already disconnected, the requests
  // before that must not be passed to the handler.
  for (std::size_t Total = 0; Total < MaxReadBytesPerWakeup;) {
    GError *Error = nullptr;
    const gssize Count =
        g_socket_receive(this->Socket.get(), Buffer.data(), Buffer.size(), nullptr, &Error);
    const GErrorPointer Failure(Error);
    if (Count < 0) {
      return g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)
                 ? std::nullopt
                 : std::optional(CloseReason::ReadFailed);
    }
    if (Count == 0) {
      return CloseReason::CallerClosed;
    }
    // Discarded bytes count too: a fast sender must not occupy the process.
    Total += static_cast<std::size_t>(Count);
    if (this->CurrentState == State::Lingering || this->CurrentState == State::Resetting) {
      this->reportUnreadBytes(this->LingeringReason);
    }
    if (this->CurrentState != State::Open || this->IsRejected) {
      continue;
    }
    if (!this->Parser.isStarted()) {
      this->RequestStarted = this->Server.now();
    }
    this->LastRead = this->Server.now();
    this->LastActivity = this->LastRead;
    this->Parser.add({Buffer.data(), static_cast<std::size_t>(Count)});
    if (!this->receiveBody() || static_cast<std::size_t>(Count) < Buffer.size()) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool HttpConnection::mayParseNext() const {
  if (this->IsRejected || this->Exchanges.size() >= MaxPipelinedRequests) {
    return false;
  }
  return !this->isNextHeldBack() &&
         std::all_of(this->Exchanges.begin(), this->Exchanges.end(), [](const auto &Each) {
           return isSafeMethod(Each->Request.Method) && Each->Request.KeepAlive &&
                  !Each->CloseAfter && !Each->HoldsLaterRequests;
         });
}

bool HttpConnection::isNextHeldBack() const {
  return !this->Exchanges.empty() && (this->Exchanges.back()->HoldsLaterRequests ||
                                      !this->Server.memory()->hasRoomFor(ExpectedResponseBytes));
}

RequestParser::Limits HttpConnection::parserLimits(const HttpServer &Server) {
  return {Server.limits().HeadBytes, Server.limits().BodyBytes,
          Server.memory()->limits().TotalBytes};
}

RequestParser::State HttpConnection::parseNext() {
  this->Parser.setLimits(parserLimits(this->Server));
  return this->Parser.parse();
}

bool HttpConnection::receiveBody() {
  return !this->mayParseNext() || this->parseNext() != RequestParser::State::Incomplete ||
         this->reserveBody();
}

bool HttpConnection::reserveBody() {
  if (!this->Parser.isReceivingBody()) {
    return true;
  }
  const TimePoint Now = this->Server.now();
  if (!this->Reservation) {
    this->Reservation = std::make_shared<BodyReservation>(this->Server.memory(), Now);
    this->Reservation->setDecisionCallback([this] { this->onMemoryDecision(); });
  }
  const std::size_t Received = this->Parser.bodyBytes();
  this->Reservation->onBytes(Received);
  std::size_t Wanted = Received + ReadBufferBytes;
  if (const auto Announced = this->Parser.announcedBodyBytes()) {
    Wanted = *Announced;
  } else if (Wanted > this->Reservation->reserved()) {
    // A body of unknown length reserves twice what it has, up to the largest permitted size.
    Wanted = std::max(Wanted, std::min(Received * 2, this->Server.limits().BodyBytes));
  }
  if (this->Reservation->reserve(Wanted, Now) == MemoryAccount::BodyState::Granted) {
    if (Wanted > MemoryAccount::SmallBodyBytes) {
      this->Server.returnFreedMemory();
    }
    // What arrives of a body of unknown length may exceed its reservation.
    if (this->Parser.announcedBodyBytes() && Wanted > MemoryAccount::SmallBodyBytes) {
      this->resizeReceiveBuffer(ReceiveBuffer::Large);
    }
    return true;
  }
  this->IsPaused = true;
  this->Server.scheduleMemoryDecisions();
  return false;
}

void HttpConnection::resizeReceiveBuffer(ReceiveBuffer Size) {
  if (std::exchange(this->CurrentReceiveBuffer, Size) != Size) {
    setReceiveBuffer(this->Socket.get(), Size);
  }
}

void HttpConnection::onMemoryDecision() {
  if (this->CurrentState != State::Open) {
    return;
  }
  switch (this->Reservation->state()) {
  case MemoryAccount::BodyState::Waiting:
    return;
  case MemoryAccount::BodyState::RefusedForMemory:
    this->rejectRequest(Unavailable, "no memory is free for the request body",
                        this->Server.memory()->expectedWait());
    return;
  case MemoryAccount::BodyState::RefusedAsTooLarge:
    this->rejectRequest(Unavailable, "the memory of this entry is too small for the request body");
    return;
  case MemoryAccount::BodyState::RefusedAsSlow:
    this->rejectRequest(RequestTimeout, "the request body arrives too slowly");
    return;
  case MemoryAccount::BodyState::Granted:
    break;
  }
  this->IsPaused = false;
  // The pause is not the sender's.
  this->LastActivity = this->Server.now();
  this->RequestStarted = this->LastActivity;
  this->parse();
  this->updateWatch();
}

void HttpConnection::parse() {
  while (this->CurrentState == State::Open && !this->IsPaused && !this->IsRejected &&
         this->Exchanges.size() < MaxPipelinedRequests) {
    if (!this->mayParseNext()) {
      this->IsHeldBack = this->isNextHeldBack();
      return;
    }
    const RequestParser::State Result = this->parseNext();
    if (Result == RequestParser::State::Failed) {
      const int Status = this->Parser.errorStatus();
      this->rejectRequest(Status, this->Parser.errorText(),
                          Status == Unavailable ? std::optional(RetryWithoutMemory) : std::nullopt);
      return;
    }
    if (Result == RequestParser::State::Complete) {
      if (!this->makeRoom()) {
        return;
      }
      this->pass();
      continue;
    }
    if (this->Parser.isHeadComplete() && !std::exchange(this->HasCheckedHead, true)) {
      if (auto Rejection = this->Server.handler().onHead(this->Parser.head())) {
        this->respondRejected(std::move(Rejection->Head), Rejection->Text);
        return;
      }
    }
    if (this->reserveBody() && this->Parser.awaitsContinue() && this->Exchanges.empty() &&
        !std::exchange(this->ContinueSent, true)) {
      static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
      g_socket_send(this->Socket.get(), Continue.data(), Continue.size(), nullptr, nullptr);
    }
    return;
  }
}

bool HttpConnection::makeRoom() {
  MemoryAccount &Memory = *this->Server.memory();
  if (!Memory.isOverLimit()) {
    return true;
  }
  this->Server.endLargestInputs();
  if (this->CurrentState != State::Open || this->IsRejected) {
    return false;
  }
  if (Memory.isOverLimit()) {
    this->refuseRequest();
    return false;
  }
  return true;
}

void HttpConnection::refuseRequest() {
  this->Server.memory()->countRefusal();
  this->rejectRequest(Unavailable, "no memory is free for the request", RetryWithoutMemory);
}

void HttpConnection::pass() {
  struct AccountedBody {
    std::string Bytes;
    std::shared_ptr<BodyReservation> Reservation;
  };
  this->ContinueSent = false;
  this->HasCheckedHead = false;
  this->resizeReceiveBuffer(ReceiveBuffer::Small);
  auto Body = std::make_shared<AccountedBody>();
  Body->Bytes = this->Parser.takeBody();
  Body->Reservation = std::move(this->Reservation);
  this->Reservation.reset();
  if (!Body->Bytes.empty()) {
    if (!Body->Reservation) {
      Body->Reservation =
          std::make_shared<BodyReservation>(this->Server.memory(), this->Server.now());
    }
    Body->Reservation->complete(Body->Bytes.size());
  }
  this->Exchanges.push_back(std::make_unique<HttpExchange>(
      *this, this->Parser.takeHead(), std::shared_ptr<const std::string>(Body, &Body->Bytes),
      std::exchange(this->IsHeldBack, false) ? this->LastRead : this->Server.now()));
  this->Parser.next();
  this->RequestStarted = this->Server.now();
  this->updateCharges();
  this->Server.handler().onRequest(*this->Exchanges.back());
}

void HttpConnection::rejectRequest(int Status, const std::string &Text,
                                   std::optional<std::chrono::seconds> RetryAfter) {
  const MemoryAccount &Memory = *this->Server.memory();
  this->Server.handler().onRejected(
      {this->Parser.isHeadComplete() ? this->Parser.head() : RequestHead(), Status, Text,
       this->Socket.callerAddress(), this->Parser.bodyBytes(), Memory.used(),
       Memory.limits().TotalBytes});
  ResponseHead Head;
  Head.Status = Status;
  Head.Reason = reasonPhrase(Status);
  Head.Fields = {{"Content-Type", "text/plain"}};
  if (RetryAfter) {
    Head.Fields.emplace_back("Retry-After", std::to_string(RetryAfter->count()));
  }
  this->respondRejected(std::move(Head), Text + "\n");
}

void HttpConnection::respondRejected(ResponseHead Head, const std::string &Text) {
  this->IsRejected = true;
  this->discardInput();
  RequestHead Placeholder;
  Placeholder.Method = "GET";
  Placeholder.KeepAlive = false;
  this->Exchanges.push_back(std::make_unique<HttpExchange>(
      *this, std::move(Placeholder), std::make_shared<const std::string>(), this->Server.now()));
  this->Exchanges.back()->respond(std::move(Head), Text);
}

void HttpConnection::discardInput() {
  this->IsPaused = false;
  this->Parser.discard();
  this->Reservation.reset();
  this->updateInputCharges();
}

void HttpConnection::updateCharges() {
  std::size_t Output = 0;
  std::size_t Expected = 0;
  for (const auto &Each : this->Exchanges) {
    Output += Each->Output.capacity();
    const bool IsFirst = Each == this->Exchanges.front();
    Expected += !IsFirst && Each->Pending && Each->Output.empty() ? ExpectedResponseBytes : 0;
  }
  const bool IsClosed = this->CurrentState == State::Closed;
  this->OutputCharge.set(IsClosed ? 0 : Output);
  this->ExpectedCharge.set(IsClosed ? 0 : Expected);
  this->updateInputCharges();
}

bool HttpConnection::isReadingPaused() const {
  return this->IsPaused ||
         (this->Parser.buffered() > MaxReadAheadBytes && !this->Exchanges.empty());
}

void HttpConnection::updateInputCharges() {
  if (this->CurrentState == State::Closed) {
    this->ConnectionCharge.set(0);
    this->UnreadCharge.set(0);
    return;
  }
  std::size_t Heads = this->Parser.headMemory();
  for (const auto &Each : this->Exchanges) {
    Heads += Each->headMemory() + RequestInProgressBytes;
  }
  this->ConnectionCharge.set(IdleConnectionBytes + Heads);
  const std::size_t Unread = this->isReadingPaused() ? this->Socket.unreadBytes() : 0;
  this->UnreadCharge.set(this->Parser.bufferMemory() + Unread);
}

std::size_t HttpConnection::heldInput() const {
  const bool HoldsInput =
      this->CurrentState == State::Open && !this->IsRejected && this->Parser.isStarted();
  return HoldsInput ? this->UnreadCharge.bytes() + this->Parser.headMemory() : 0;
}

void HttpConnection::refuseInput() {
  if (this->Exchanges.empty()) {
    this->refuseRequest();
    return;
  }
  this->Server.memory()->countRefusal();
  this->reportInput(CloseReason::InputRefused);
  this->IsRejected = true;
  this->Exchanges.back()->closeAfterResponse();
  this->discardInput();
  this->updateWatch();
}

Duration HttpConnection::outputStalledFor(TimePoint Now) const {
  const bool IsWaiting = this->CurrentState == State::Open && !this->Exchanges.empty() &&
                         !this->Exchanges.front()->Output.empty();
  return IsWaiting ? Now - this->Delivery.lastProgress() : Duration(0);
}

void HttpConnection::resetSlowReader() {
  this->Server.memory()->countSlowReader();
  this->resetWith(CloseReason::OutputNotTaken);
}

void HttpConnection::flush() {
  // Callbacks during a flush may add output, which the running flush then writes as well.
  if (this->IsFlushing || this->CurrentState == State::Closed) {
    return;
  }
  this->IsFlushing = true;
  if (this->OutputCharge.bytes() == 0) {
    this->Delivery.onWaiting(this->Server.now());
  }
  this->write();
  this->IsFlushing = false;
  this->updateCharges();
  if (this->CurrentState == State::Open) {
    this->updateWatch();
  }
}

void HttpConnection::write() {
  while (this->CurrentState == State::Open && !this->Exchanges.empty()) {
    HttpExchange &Front = *this->Exchanges.front();
    if (!Front.Output.empty()) {
      GError *Error = nullptr;
      const gssize Count = g_socket_send(this->Socket.get(), Front.Output.data(),
                                         Front.Output.size(), nullptr, &Error);
      const GErrorPointer Failure(Error);
      if (Count < 0) {
        if (!g_error_matches(Failure.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
          this->close(CloseReason::WriteFailed);
        }
        return;
      }
      this->LastActivity = this->Server.now();
      this->LastWrite = this->LastActivity;
      if (!std::exchange(Front.HasSentBytes, true)) {
        this->Delivery.beginResponse();
      }
      this->Delivery.onSent(static_cast<std::size_t>(Count), this->LastActivity);
      Front.Output.erase(0, static_cast<std::size_t>(Count));
      if (Front.Output.empty()) {
        std::string().swap(Front.Output);
      }
      continue;
    }
    if (!this->onFrontWritten()) {
      return;
    }
  }
}

bool HttpConnection::onFrontWritten() {
  HttpExchange &Front = *this->Exchanges.front();
  if (!Front.Complete) {
    if (const auto Callback = std::exchange(Front.OnDrained, nullptr)) {
      Callback();
    }
    return !Front.Output.empty();
  }
  const bool CloseNow = Front.CloseAfter;
  this->Exchanges.pop_front();
  if (CloseNow) {
    this->startLingering(CloseReason::LastResponse);
    return false;
  }
  if (this->Exchanges.empty()) {
    // Process requests that had to wait for the response to an unsafe one.
    this->parse();
    if (this->Server.hasStoppedListening()) {
      this->closeIfIdle(CloseReason::Shutdown);
    }
  }
  return true;
}

void HttpConnection::updateWatch() {
  if (this->CurrentState == State::Closed) {
    return;
  }
  GIOCondition Conditions = G_IO_IN;
  if (this->isReadingPaused()) {
    // Pauses reading, but still detects that the caller disconnects.
    Conditions = G_IO_HUP;
  }
  if (!this->Exchanges.empty() && !this->Exchanges.front()->Output.empty()) {
    Conditions = Conditions | G_IO_OUT;
  }
  this->Watch.setConditions(Conditions);
}

void HttpConnection::startLingering(CloseReason Reason) {
  g_socket_shutdown(this->Socket.get(), FALSE, TRUE, nullptr);
  this->stopServing(State::Lingering, Reason);
  this->Exchanges.clear();
  this->updateCharges();
}

void HttpConnection::stopServing(State Next, CloseReason Reason) {
  this->CurrentState = Next;
  this->LingeringReason = Reason;
  this->LastActivity = this->Server.now();
  this->reportUnanswered(Reason);
  this->discardInput();
  this->Watch.setConditions(G_IO_IN);
}

void HttpConnection::closeIfIdle(CloseReason Reason) {
  if (!this->isIdle()) {
    return;
  }
  // A request that has arrived but was not read yet still gets its response.
  this->onReady(G_IO_IN);
  if (!this->isIdle()) {
    return;
  }
  const bool HasRecentWrite =
      this->LastWrite && this->Server.now() - *this->LastWrite < LingerTimeout;
  if (HasRecentWrite || this->hasUndeliveredBytes()) {
    this->startLingering(Reason);
    return;
  }
  // The caller has the last response, so nothing is read any more: a request that arrives after
  // this causes a reset, which tells the caller that it did not run.
  this->close(Reason);
}

void HttpConnection::reset() {
  if (this->CurrentState != State::Open || this->hasDeliveredEarlierResponses()) {
    this->resetWith(CloseReason::TruncatedResponse);
    return;
  }
  this->Socket.resetOnClose();
  this->stopServing(State::Resetting, CloseReason::TruncatedResponse);
  // The exchanges stay until the connection ends: functions of them may be on the call stack.
  for (const auto &Each : this->Exchanges) {
    Each->releaseOutput();
  }
  this->updateCharges();
}

void HttpConnection::resetWith(CloseReason Reason) {
  this->Socket.resetOnClose();
  this->close(Reason);
}

void HttpConnection::close(CloseReason Reason) {
  const State Previous = std::exchange(this->CurrentState, State::Closed);
  if (Previous == State::Closed) {
    return;
  }
  if (Previous == State::Open) {
    this->reportUnanswered(Reason);
  }
  this->discardInput();
  this->updateCharges();
  this->Watch.setConditions(static_cast<GIOCondition>(0));
  g_socket_close(this->Socket.get(), nullptr);
  this->Server.remove(*this);
}

void HttpConnection::reportUnanswered(CloseReason Reason) {
  for (const auto &Each : this->Exchanges) {
    if (std::exchange(Each->Pending, false)) {
      this->Server.countUnanswered(Reason, RequestStage::InProgress);
      this->Server.handler().onCallerDisconnected(*Each, Reason);
    } else {
      this->report(Reason, Each->Complete ? RequestStage::Unsent : RequestStage::InProgress,
                   Each->Request);
    }
  }
  if (!this->IsRejected) {
    this->reportInput(Reason);
  }
}

void HttpConnection::reportInput(CloseReason Reason) {
  while (this->Parser.parse() == RequestParser::State::Complete) {
    this->report(Reason, RequestStage::Unprocessed, this->Parser.head());
    this->Parser.next();
  }
  if (this->Parser.isStarted()) {
    this->report(Reason, RequestStage::Incomplete, {});
  }
  if (this->CurrentState == State::Closed && this->Socket.hasUnreadBytes()) {
    this->reportUnreadBytes(Reason);
  }
}

void HttpConnection::report(CloseReason Reason, RequestStage Stage, const RequestHead &Head) {
  this->Server.countUnanswered(Reason, Stage);
  this->Server.handler().onUnanswered({Reason, Stage, Head, this->Socket.callerAddress()});
}

void HttpConnection::reportUnreadBytes(CloseReason Reason) {
  if (!std::exchange(this->HasReportedUnread, true)) {
    this->report(Reason, RequestStage::Unread, {});
  }
}

void HttpConnection::checkTimeouts(TimePoint Now) {
  if (this->CurrentState == State::Lingering) {
    const Duration Elapsed = Now - this->LastActivity;
    if (Elapsed > MaxLingerTimeout || (Elapsed > LingerTimeout && !this->hasUndeliveredBytes())) {
      this->close(this->LingeringReason);
    }
    return;
  }
  if (this->CurrentState == State::Resetting) {
    if (Now - this->LastActivity > MaxLingerTimeout || this->hasDeliveredEarlierResponses()) {
      this->close(this->LingeringReason);
    }
    return;
  }
  if (this->CurrentState != State::Open) {
    return;
  }
  if (this->isIdle()) {
    if (Now - this->LastActivity > this->IdleTimeout) {
      this->closeIfIdle(CloseReason::IdleTimeout);
    }
    return;
  }
  if (this->isReadingPaused()) {
    this->updateInputCharges();
  }
  this->Delivery.update(this->Socket.undeliveredBytes(), Now);
  // A busy entry may not have read the rest yet.
  if (this->isTooSlow(Now) && !this->Socket.hasUnreadBytes()) {
    this->rejectRequest(RequestTimeout, "the request arrives too slowly");
  }
}

bool HttpConnection::isTooSlow(TimePoint Now) const {
  if (!this->Exchanges.empty() || this->IsPaused || !this->Parser.isStarted()) {
    return false;
  }
  const Duration HeadTimeout = this->Server.limits().HeadTimeout;
  if (Now - std::max(this->RequestStarted, this->LastActivity) > HeadTimeout) {
    return true;
  }
  if (!this->Server.isNearConnectionLimit()) {
    return false;
  }
  // A byte now and then keeps a connection only while there are enough for everyone.
  const Duration Elapsed = Now - this->RequestStarted;
  if (!this->Parser.isHeadComplete()) {
    return Elapsed > HeadTimeout;
  }
  const double Required = std::chrono::duration<double>(Elapsed).count() *
                          static_cast<double>(MemoryAccount::MinBytesPerSecond);
  return Elapsed > MemoryAccount::RateGraceTime &&
         static_cast<double>(this->Parser.bodyBytes()) < Required;
}

} // namespace anvilsaddle
