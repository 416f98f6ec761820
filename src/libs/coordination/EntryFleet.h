#pragma once

#include "coordination/Effect.h"
#include "coordination/EntryIdentity.h"
#include "coordination/GroupMap.h"
#include "coordination/LeaseHolder.h"
#include "coordination/Lessor.h"
#include "coordination/Membership.h"
#include "coordination/Messages.h"
#include "coordination/OwnerMap.h"
#include "coordination/SettingsSpread.h"
#include "state/AuditTrail.h"
#include "state/Identifiers.h"
#include "state/Time.h"
#include "state/VmList.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilsaddle {

class GroupTable;
class SettingsSnapshot;

/// This entry's part in the fleet: who is alive, who owns which group, which targets this entry may
/// send to, and where settings come from. Performs no I/O and reads no clock. Not thread-safe.
class EntryFleet {
public:
  EntryFleet(EntryIdentity Self, TimePoint Now);

  /// Takes new settings or a new VM list into use. `Groups` is computed from both.
  void setView(const SettingsSnapshot &Settings, std::optional<std::uint64_t> Digest,
               const VmList &Vms, const GroupMap &Groups, TimePoint Now);
  /// Takes settings into use that change no group, failure domain or service.
  void setDigest(std::uint64_t NewDigest);
  void onServiceSettings() { this->Spread.onServiceSettings(); }
  void onSettingsFetched(const VmName &Entry, bool Complete, TimePoint Now);

  /// Handles a message of another entry, or of this one to itself, and returns the answers.
  std::vector<OutgoingMessage> onMessage(const PeerMessage &Message, TimePoint Now);
  std::vector<OutgoingMessage> onTick(TimePoint Now, std::vector<GroupLoad> OwnLoads,
                                      const InFlightCounts &InFlight);

  void beginStop() { this->Stopping = true; }
  /// True once a stopping entry owns nothing and its lessors were told so.
  bool hasHandedOver() const { return this->Owned.empty() && this->Leases.hasReleasedAll(); }
  bool isServing() const { return this->Serving; }

  /// True if the set of owned groups, or of usable targets, may differ from the last call.
  bool takeOwnershipChange();
  /// True if this entry is the owner of a group of its region in its own view.
  bool owns(const GroupId &Group) const;
  /// Slots of a target that this entry may fill now; 0 without a lease.
  std::uint32_t usableSlots(const GroupTarget &Target) const;
  /// Takes the leases that are valid at this time into use and returns when the first one ends.
  std::optional<TimePoint> refreshLeases(TimePoint Now);

  /// Owner of a group: in the own region by the own view, elsewhere by what the owner tells.
  std::optional<VmName> ownerOf(const GroupId &Group, TimePoint Now) const;
  /// Shard of a service with the most spare capacity in the own region; none if there is no target.
  std::optional<GroupId> bestGroup(const ServiceName &Service, const GroupTable &Own,
                                   TimePoint Now) const;
  /// Owner of a group of the service in another region that has told of spare slots.
  std::optional<VmName> ownerWithSpareSlots(const ServiceName &Service, const RegionName &Region,
                                            TimePoint Now) const;
  /// True if the entry is alive and still the same run.
  bool isAlive(const VmName &Entry, const Incarnation &Run) const;

  /// Callers' addresses of live entries outside taken-out domains: owners of the services first,
  /// region by region.
  std::vector<std::string> entryAddresses(const std::vector<RegionName> &Regions,
                                          const std::set<ServiceName> &Services,
                                          TimePoint Now) const;
  /// Peer address of a listed entry.
  std::optional<Endpoint> peerEndpoint(const VmName &Entry) const;

  /// Entry to fetch settings from now; onSettingsFetched() must follow.
  std::optional<VmName> nextSettingsSource(TimePoint Now);
  /// New state of the watch on the configuration service if it changed since the last call.
  std::optional<bool> takeWatchChange();
  std::vector<AuditEntry> takeChanges();
  std::vector<PeerStatus> peers() const { return this->Members.peers(); }

private:
  EntryState ownState() const;
  void updateOwnership(TimePoint Now);
  std::optional<VmName> nextBootstrapSource(TimePoint Now);

  EntryIdentity Self;
  Membership Members;
  Lessor Grants;
  LeaseHolder Leases;
  SettingsSpread Spread;
  /// Listed entries by name.
  std::map<VmName, Vm> Entries;
  std::uint64_t VmListRevision = 0;
  GroupMap Groups;
  /// Digest of the settings in force; none without settings.
  std::optional<std::uint64_t> Digest;
  LessorMap Lessors;
  /// Live entries among which owners were chosen last.
  std::vector<VmName> Candidates;
  std::set<GroupId> Owned;
  std::map<TargetName, LeasedTarget> Leased;
  std::vector<AuditEntry> Changes;
  std::size_t BootstrapCursor = 0;
  TimePoint BootstrapDue;
  bool ViewChanged = false;
  bool OwnershipChanged = false;
  bool Watching = false;
  bool WatchChanged = false;
  bool ListedDeparting = false;
  bool Serving = false;
  bool Stopping = false;
};

} // namespace anvilsaddle
