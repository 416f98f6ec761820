#pragma once

#include "coordination/DispatchPolicy.h"
#include "coordination/Effect.h"
#include "coordination/EntryIdentity.h"
#include "coordination/GroupMap.h"
#include "coordination/KeyLedger.h"
#include "coordination/Messages.h"
#include "coordination/Refusal.h"
#include "coordination/RequestHead.h"
#include "coordination/RequestRouter.h"
#include "state/SettingsStore.h"
#include "state/VmList.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace anvilsaddle {

class RandomSource;
class Sealer;
class SettingsParser;

/// How one attempt on a target ended, as the transport saw it.
struct AttemptReport {
  AttemptOutcome Outcome = AttemptOutcome::Succeeded;
  /// False only if provably no byte of the request left this process.
  bool Sent = true;
  /// True if a part of the answer has gone to the caller.
  bool AnswerStarted = false;
  /// HTTP status of the answer; 0 if none arrived.
  int Status = 0;
  Duration FirstByte{0};
  Duration Total{0};
  /// Set if another entry refused the request that was passed on to it; the refusal has gone to the
  /// caller.
  std::optional<RunOutcome> PeerOutcome;

  auto operator<=>(const AttemptReport &) const = default;
};

/// Addresses for a caller, best first.
struct EntryAnswer {
  std::vector<std::string> Entries;
  Duration TimeToKeep{0};
  std::string Ticket;

  auto operator<=>(const EntryAnswer &) const = default;
};

/// All decisions of one entry: admits requests, queues them, chooses targets and answers peers.
/// Events and the current time go in, effects come out through takeEffects(). Performs no I/O and
/// reads no clock. Times must not decrease between calls. Not thread-safe.
class EntryNode {
public:
  /// Precondition: parser, sealer and random source outlive the node.
  EntryNode(EntryIdentity Self, const SettingsParser &Parser, const Sealer &Seals,
            RandomSource &Random);
  ~EntryNode();

  /// Offers a revision of published settings. `Source` names where it came from, for the audit
  /// trail.
  OfferOutcome onSettings(const std::string &Path, std::uint64_t Revision, const std::string &Text,
                          const std::string &Source, TimePoint Now);
  /// Ignores lists that are not newer than the one in use.
  void onVmList(const VmList &List, TimePoint Now);

  /// Refuses what the headers alone show to be impossible, before the body is read.
  std::optional<Refusal> checkHead(const RequestHead &Head) const;
  /// Admits a request, whose number then appears in effects, or refuses it.
  std::variant<RequestNumber, Refusal> onRequest(const RequestHead &Head, TimePoint Now);
  /// True if the answer shall go to the caller; false if it shall be dropped and the attempt ended.
  bool onAnswerHead(RequestNumber Request, int Status, bool HasRetryAfter);
  /// Ends the running attempt of a request. Unknown numbers are ignored.
  void onAttemptEnd(RequestNumber Request, const AttemptReport &Report, TimePoint Now);
  void onCallerGone(RequestNumber Request, TimePoint Now);

  /// Addresses and a ticket for the caller with this Authorization header.
  std::variant<EntryAnswer, Refusal> entriesFor(const std::string &Authorization, TimePoint Now);

  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeup(TimePoint Now) const;

  /// Starts a graceful shutdown: new requests are refused, running ones finish.
  void beginStop(TimePoint Now);
  bool isStopping() const { return this->Stopping; }
  /// True once no request waits or runs.
  bool isDrained() const { return this->Requests.empty(); }

  std::vector<Effect> takeEffects();

  const SettingsStore &settings() const { return this->Settings; }
  const VmList &vmList() const { return this->Vms; }
  std::vector<std::pair<GroupId, std::vector<TargetStatus>>> targetStatus() const;

private:
  struct ActiveRequest;
  struct Group;

  std::optional<Refusal> admitKey(const RequestHead &Head, const RoutedRequest &Routed,
                                  TimePoint Now, bool &Admitted);
  Refusal keyRefusal(const RequestHead &Head, const CustomerName &Customer) const;
  std::string newTicket(const CustomerName &Customer, TimePoint Now) const;
  std::vector<std::string> entryAddresses(const std::vector<RegionName> &Regions) const;
  Group *bestGroup(const ServiceName &Service, const RegionName &Region);
  void enqueue(RequestNumber Number, ActiveRequest &Request, TimePoint Now);
  void finish(RequestNumber Number, KeyState State, int Status);
  void refuse(RequestNumber Number, Refusal Answer);
  void rebuildGroups(TimePoint Now);
  void startWaiting(TimePoint Now);

  EntryIdentity Self;
  const Sealer &Seals;
  RandomSource &Random;
  SettingsStore Settings;
  VmList Vms;
  RequestRouter Router;
  KeyLedger Ledger;
  GroupMap Targets;
  std::map<GroupId, Group> Groups;
  std::map<RequestNumber, ActiveRequest> Requests;
  RequestNumber LastNumber = 0;
  bool Stopping = false;
  std::vector<Effect> Effects;
};

} // namespace anvilsaddle
