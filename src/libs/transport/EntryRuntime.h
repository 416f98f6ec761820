#pragma once

#include "coordination/EntryNode.h"
#include "protocol/DaemonSettings.h"
#include "protocol/ForwardHeaders.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/AdminServer.h"
#include "transport/GlibPointers.h"
#include "transport/ProxyExchange.h"
#include "transport/RequestServer.h"
#include "transport/TargetConnections.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

class Clock;
class RandomSource;
class Sealer;
class SettingsParser;
class PeerLink;
class PlatformWatch;

/// Drives an EntryNode: turns HTTP requests and timers into events and carries out its effects on
/// the thread-default GLib main context. Not thread-safe.
class EntryRuntime final : private ExchangeListener, private RequestHandler {
public:
  /// Precondition: all references outlive the runtime.
  EntryRuntime(const DaemonSettings &Local, const Clock &Time, const SettingsParser &Parser,
               const Sealer &Seals, RandomSource &Random);
  ~EntryRuntime() override;
  EntryRuntime(const EntryRuntime &) = delete;
  EntryRuntime &operator=(const EntryRuntime &) = delete;

  /// Opens the listening sockets and starts reading settings. Returns an error text, empty on
  /// success.
  std::string start();
  /// Starts a graceful shutdown; `OnDrained` is called once nothing is in flight.
  void stop(std::function<void()> OnDrained);

private:
  static void onEntriesRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                               GHashTable *Query, gpointer Data);
  static gboolean onTick(gpointer Data);

  std::optional<Refusal> checkHead(const RequestHead &Head) override;
  std::optional<Refusal> onRequest(SoupServerMessage *Message, RequestHead Head,
                                   bool BodyFollows) override;
  bool onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter) override;
  void onAttemptEnd(RequestNumber Request, const AttemptReport &Report) override;
  void onCallerGone(RequestNumber Request) override;
  void onExchangeDone(RequestNumber Request) override;

  /// Null if the request is over; its attempt then ends as cancelled.
  ProxyExchange *exchangeForAttempt(RequestNumber Request);
  void carryOut(const Effect &Next);
  void carryOutEffects();
  void record(AuditEntry Entry);

  const DaemonSettings &Local;
  const Clock &Time;
  EntryIdentity Identity;
  EntryNode Node;
  AuditTrail Audit;
  TargetConnections Connections;
  ForwardHeaders Forwarding;
  Metrics Counters;
  AdminServer Admin;
  RequestServer CallerServer;
  RequestServer PeerServer;
  std::unique_ptr<PeerLink> Peers;
  std::unique_ptr<PlatformWatch> Platform;
  std::map<RequestNumber, std::unique_ptr<ProxyExchange>> Exchanges;
  guint TickTimer = 0;
  bool CarryingOut = false;
  std::function<void()> OnDrained;
};

} // namespace anvilsaddle
