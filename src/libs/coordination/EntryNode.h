#pragma once

#include "coordination/Effect.h"
#include "coordination/EntryFleet.h"
#include "coordination/EntryIdentity.h"
#include "coordination/Explanation.h"
#include "coordination/GroupMap.h"
#include "coordination/GroupTable.h"
#include "coordination/KeyIssuer.h"
#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "coordination/RequestRouter.h"
#include "coordination/RetryBudget.h"
#include "state/SettingsStore.h"
#include "state/VmList.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilsaddle {

class RandomSource;
class Sealer;
class SettingsParser;

/// How one attempt on a target, or a forward to another entry, ended, as the transport saw it.
struct AttemptReport {
  AttemptOutcome Outcome = AttemptOutcome::Succeeded;
  /// False only if provably no byte of the request left this process.
  bool Sent = true;
  /// True if a part of the answer has gone to the caller.
  bool AnswerStarted = false;
  /// HTTP status of the answer; 0 if none arrived.
  int Status = 0;
  /// Set if another entry answered with a refusal of its own.
  std::optional<RunOutcome> PeerOutcome;
  Duration FirstByte{0};
  Duration Total{0};

  auto operator<=>(const AttemptReport &) const = default;
};

/// Addresses for a caller, best first.
struct EntryAnswer {
  std::vector<std::string> Entries;
  Duration TimeToKeep{0};
  std::string Ticket;

  auto operator<=>(const EntryAnswer &) const = default;
};

/// What metrics need to know of a request.
struct RequestSummary {
  ServiceName Service;
  RequestClass Class = RequestClass::Interactive;
  TimePoint Arrival;
  std::uint32_t Attempts = 0;

  auto operator<=>(const RequestSummary &) const = default;
};

/// All decisions of one entry: admits requests, queues them, chooses targets, retries, and takes
/// part in the fleet. Events and the current time go in, effects come out through takeEffects().
/// Performs no I/O and reads no clock. Times must not decrease between calls. Not thread-safe.
class EntryNode {
public:
  /// Precondition: parser, sealer and random source outlive the node.
  EntryNode(EntryIdentity Self, const SettingsParser &Parser, const Sealer &Seals,
            RandomSource &Random, TimePoint Now);
  ~EntryNode();

  /// Offers a revision of published settings from an entry, or from the configuration service if
  /// `Peer` is empty.
  OfferOutcome onSettings(const std::string &Path, std::uint64_t Revision, const std::string &Text,
                          const std::optional<VmName> &Peer, TimePoint Now);
  /// A peer has answered a FetchSettings effect, or failed to.
  void onSettingsFetched(const VmName &Entry, bool Ok, TimePoint Now);
  /// Ignores lists that are not newer than the one in use.
  void onVmList(const VmList &List, TimePoint Now);
  /// Precondition: the message was authenticated.
  void onPeerMessage(const PeerMessage &Message, TimePoint Now);

  /// Refusal that follows from the headers alone, before the body is read. If the request has an
  /// idempotency key of which an earlier request may have run, the refusal says "unknown".
  std::optional<Refusal> checkHead(const RequestHead &Head, TimePoint Now) const;
  /// Admits a request, whose number then appears in effects, or refuses it.
  std::variant<RequestNumber, Refusal> onRequest(const RequestHead &Head, TimePoint Now);
  /// True if the answer shall go to the caller; false if it shall be dropped and the attempt ended
  /// as shed.
  bool onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter, TimePoint Now);
  /// Ends the running attempt or forward of a request. Unknown numbers are ignored.
  void onAttemptEnd(RequestNumber Request, const AttemptReport &Report, TimePoint Now);
  void onCallerGone(RequestNumber Request, TimePoint Now);

  /// Addresses and a ticket for the caller with this Authorization header.
  std::variant<EntryAnswer, Refusal> entriesFor(const std::string &Authorization, TimePoint Now);
  /// Where a request of the customer would go and why.
  Explanation explain(const CustomerName &Name, const std::string &Method,
                      const std::string &UrlPath, TimePoint Now) const;

  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeup(TimePoint Now) const;

  /// Starts a graceful shutdown: new requests are refused, running ones finish.
  void beginStop(TimePoint Now);
  bool isStopping() const { return this->Stopping; }
  /// True once no request waits or runs and, if the entry is stopping, its groups are handed over.
  bool isDrained() const {
    return this->Requests.empty() && (!this->Stopping || this->Fleet.hasHandedOver());
  }
  bool isServing() const;

  std::vector<Effect> takeEffects();

  /// Nothing if the request is over.
  std::optional<RequestSummary> summary(RequestNumber Request) const;
  const EntryIdentity &identity() const { return this->Self; }
  /// Requests that wait or run.
  std::size_t requestCount() const { return this->Requests.size(); }
  const SettingsStore &settings() const { return this->Settings; }
  const VmList &vmList() const { return this->Vms; }
  const EntryFleet &fleet() const { return this->Fleet; }
  std::vector<std::pair<GroupId, std::vector<TargetStatus>>> targetStatus() const {
    return this->Groups.status();
  }

private:
  struct ActiveRequest;

  std::variant<RoutedRequest, Refusal> resolveTerms(const RequestHead &Head, TimePoint Now) const;
  void advance(TimePoint Now);
  void refreshView(TimePoint Now);
  void refreshGroups(TimePoint Now);
  void refreshLeases(TimePoint Now);
  void sendAll(const std::vector<OutgoingMessage> &Messages, TimePoint Now);
  void place(RequestNumber Number, TimePoint Now);
  bool enqueue(RequestNumber Number, const GroupId &Group, TimePoint Now);
  bool forward(RequestNumber Number, const VmName &Entry, bool ToOwner);
  bool overflow(RequestNumber Number, TimePoint Now);
  void startWaiting(TimePoint Now);
  void startRetries(TimePoint Now);
  void moveWaiting(const GroupId &Group, TimePoint Now);
  bool mayRunHere(const ActiveRequest &Request) const;
  bool scheduleRetry(RequestNumber Number, bool NotRun, TimePoint Now);
  void onAttemptFailed(RequestNumber Number, const AttemptReport &Report, TimePoint Now);
  void finish(RequestNumber Number, KeyState State, int Status);
  void refuse(RequestNumber Number, Refusal Answer);
  Refusal noCapacity(const ActiveRequest &Request, std::string Reason, TimePoint Now) const;
  void recordChange(std::string What, std::string From, std::string To, std::uint64_t Revision,
                    std::string Why);

  EntryIdentity Self;
  RandomSource &Random;
  SettingsStore Settings;
  VmList Vms;
  RequestRouter Router;
  KeyIssuer Keys;
  EntryFleet Fleet;
  GroupMap Targets;
  GroupTable Groups;
  RetryBudget Budget;
  std::map<RequestNumber, ActiveRequest> Requests;
  /// Requests that wait for their backoff, by the time of their next attempt.
  std::set<std::pair<TimePoint, RequestNumber>> Retries;
  RequestNumber LastNumber = 0;
  /// When the first lease in use ends; nothing starts after it without a look at the leases.
  std::optional<TimePoint> LeasesEnd;
  bool Stopping = false;
  std::vector<Effect> Effects;
};

} // namespace anvilsaddle
