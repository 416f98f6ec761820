#pragma once

#include "coordination/EntryNode.h"
#include "coordination/RandomSource.h"
#include "coordination/Sealer.h"
#include "state/SettingsParser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Parses a text that is the index of prepared settings.
class PreparedSettings final : public SettingsParser {
public:
  std::vector<PlatformSettings> Platforms;
  std::vector<TeamSettings> Teams;

  Result parse(std::string_view Path, std::string_view Text) const override;
};

/// Seals that anybody could forge; enough for tests of decisions.
class PlainSealer final : public Sealer {
public:
  std::string sha256Hex(std::string_view Text) const override { return "#" + std::string(Text); }
  std::string seal(std::string_view Text) const override;
  bool equals(std::string_view Left, std::string_view Right) const override {
    return Left == Right;
  }
};

class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}
  double uniform() override { return std::uniform_real_distribution<double>(0, 1)(this->Engine); }
  std::uint64_t bits() override { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

/// How a request of a caller ended.
struct FixtureAnswer {
  /// 200 for a target's answer, else the status of the refusal.
  int Status = 0;
  std::optional<RunOutcome> Outcome;
};

/// Several EntryNode objects over a fake network and fake targets under a virtual clock. Only what
/// the node's interface needs: messages take 1 ms, targets answer after a drawn time, a cut drops
/// messages, a paused entry gets its events late, a killed one loses them.
class FleetFixture {
public:
  FleetFixture(std::size_t EntryCount, std::size_t TargetCount, std::uint64_t Seed);
  ~FleetFixture();

  void advance(Duration Period);
  /// Sends a request to an entry; returns its index in answers().
  std::size_t send(std::size_t Entry, const std::string &Path, const std::string &Key = "");
  /// A ticket of the entry for the test customer; empty if it refuses.
  std::string ticket(std::size_t Entry);
  void setPaused(std::size_t Entry, bool Paused);
  void setCut(std::size_t Entry, bool Cut);
  void kill(std::size_t Entry);
  void restart(std::size_t Entry);
  void changePlatform(const std::function<void(PlatformSettings &)> &Change);
  void changeTeam(const std::function<void(TeamSettings &)> &Change);
  void setDeparting(std::size_t Target);
  void setServiceTime(Duration Longest) { this->LongestService = Longest; }

  EntryNode *node(std::size_t Entry) { return this->Entries[Entry].Node.get(); }
  const std::vector<std::optional<FixtureAnswer>> &answers() const { return this->Answers; }
  int runsOfKey(const std::string &Key) const;
  int runsOfRequest(std::size_t Request) const { return this->RunsOfRequest.at(Request); }
  /// Most requests that one target worked on at a time.
  std::uint32_t mostInFlight() const { return this->MostInFlight; }
  /// Starts on a target at a time when it must get no new work.
  std::uint32_t forbiddenStarts() const { return this->ForbiddenStarts; }
  std::uint64_t configurationReads() const { return this->ConfigurationReads; }
  TimePoint now() const { return this->Now; }
  static constexpr std::uint32_t Slots = 3;
  static constexpr Duration MaxDeadline = std::chrono::milliseconds(500);

private:
  struct Origin {
    /// Index of the caller's request, and the request of the entry that forwarded it, if any.
    std::size_t Caller = 0;
    std::optional<std::pair<std::size_t, RequestNumber>> Forwarder;
    std::uint64_t ForwarderRun = 0;
    RequestHead Head;
  };
  struct Entry {
    std::unique_ptr<SeededRandom> Random;
    std::unique_ptr<EntryNode> Node;
    std::uint64_t Run = 0;
    bool Paused = false;
    bool Cut = false;
    bool Watching = false;
    std::map<RequestNumber, Origin> Origins;
    std::vector<std::function<void()>> Held;
    /// Requests of callers that wait for a paused entry.
    std::set<std::size_t> Arriving;
  };
  struct Event {
    TimePoint Due;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(Other.Due, Other.Order) < std::pair(this->Due, this->Order);
    }
  };

  void at(TimePoint Due, std::function<void()> Action);
  /// Runs an action on an entry's loop: later if it is paused, never if that run was killed.
  void onEntry(std::size_t Index, std::uint64_t Run, const std::function<void()> &Action);
  void tick(std::size_t Index, std::uint64_t Run);
  void carryOut(std::size_t Index);
  void startWork(std::size_t Index, const StartAttempt &Attempt);
  void forward(std::size_t Index, const StartForward &Forward);
  void fetch(std::size_t Index, const VmName &Source);
  void endRequest(std::size_t Index, RequestNumber Number, const FixtureAnswer &Answer);
  void deliverSettings(std::size_t Index);
  std::optional<std::size_t> indexOf(const VmName &Name) const;
  bool connected(std::size_t Left, std::size_t Right) const;
  bool mustGetNoWork(const TargetName &Target) const;

  PreparedSettings Parser;
  PlainSealer Seals;
  std::mt19937_64 Engine;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
  std::vector<Entry> Entries;
  VmList Vms;
  std::map<std::string, std::pair<std::uint64_t, std::string>> Published;
  std::uint64_t Revision = 0;
  std::uint64_t RunCounter = 0;
  Duration LongestService = std::chrono::milliseconds(40);
  std::vector<std::optional<FixtureAnswer>> Answers;
  std::map<std::string, int> RunsOfKey;
  std::map<std::size_t, int> RunsOfRequest;
  std::map<TargetName, std::uint32_t> Working;
  std::uint32_t MostInFlight = 0;
  std::uint32_t ForbiddenStarts = 0;
  std::uint64_t ConfigurationReads = 0;
  /// Time from which a target or domain must get no new work.
  std::map<TargetName, TimePoint> ClosedFrom;
};

} // namespace anvilsaddle
