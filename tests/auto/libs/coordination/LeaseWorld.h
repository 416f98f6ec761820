#pragma once

#include "coordination/LeaseHolder.h"
#include "coordination/Lessor.h"
#include "coordination/Membership.h"
#include "state/SettingsSnapshot.h"
#include "state/VmList.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Settings with one region, two failure domains and two services of 3 slots and 2 s.
SettingsSnapshot leaseSettings();

/// Entries of one region that exchange messages through a queue which loses, delays, duplicates and
/// reorders them. Each entry has its own clock, which runs up to 2% fast or slow.
class LeaseWorld {
public:
  LeaseWorld(std::size_t EntryCount, std::uint64_t Seed);

  void pause(std::size_t Entry, Duration Length);
  /// Ends the process; requests that it started go on running on their targets.
  void kill(std::size_t Entry);
  void restart(std::size_t Entry);
  /// The entry announces that it stops; its targets go to other owners by release.
  void depart(std::size_t Entry);
  /// Entries with different bits cannot reach each other.
  void partition(unsigned Sides) { this->Sides = Sides; }
  /// Adds the entry to the newest VM list, or ends its process and removes it.
  void toggleListed(std::size_t Entry);
  void toggleTarget(std::size_t Target);
  /// The entry gets the next VM list that it does not have yet.
  void advanceList(std::size_t Entry);
  void stopFaults();

  /// Advances the time and checks the limit of every target at every step. Returns what exceeded a
  /// limit, or an empty text.
  std::string run(Duration Length);
  /// Describes a group without a single owner that holds all its usable targets; empty if none.
  std::string unownedGroup() const;

private:
  struct Work {
    TargetName Target;
    Incarnation Starter;
    Duration End{0};
  };
  struct Process {
    VmName Name;
    double Rate = 1;
    std::size_t List = 0;
    std::optional<std::size_t> ViewedList;
    Incarnation Run;
    Duration PausedUntil{0};
    bool Departing = false;
    std::unique_ptr<Membership> Members;
    std::unique_ptr<Lessor> Grants;
    std::unique_ptr<LeaseHolder> Leases;
    std::vector<Work> Running;
  };
  struct Delivery {
    std::size_t Receiver = 0;
    PeerMessage Message;
  };

  TimePoint localTime(const Process &Each) const;
  void publish();
  void step();
  void deliver(Process &Each, const PeerMessage &Message);
  void send(std::size_t Sender, std::vector<OutgoingMessage> Messages);
  void updateOwned(Process &Each);
  void startWork(Process &Each);
  std::string exceededLimit() const;
  bool chance(unsigned Percent) { return this->Random() % 100 < Percent; }

  SettingsSnapshot Settings;
  std::mt19937_64 Random;
  Duration Now{std::chrono::hours(1)};
  bool Faults = true;
  unsigned Sides = 0;
  std::vector<bool> Listed;
  std::vector<bool> TargetListed;
  std::vector<VmList> Lists;
  std::vector<Process> Processes;
  std::multimap<Duration, Delivery> Queue;
};

} // namespace anvilsaddle
