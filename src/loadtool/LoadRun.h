#pragma once

#include "loadtool/AnswerCache.h"
#include "loadtool/DueTimer.h"
#include "loadtool/HttpCaller.h"
#include "loadtool/KeyAudit.h"
#include "loadtool/LoadReport.h"
#include "loadtool/Scenario.h"
#include "loadtool/Schedule.h"
#include "state/VmList.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilsaddle {

/// Value type.
struct LoadOptions {
  /// `address:port` of entries to ask for addresses.
  std::vector<std::string> Entries;
  /// Targets for direct mode and for the check of keys.
  std::vector<Vm> Targets;
  /// Ticket for all keys in place of the ones in address answers; lets a run repeat the keys of an
  /// earlier run.
  std::string Ticket;
  /// Sends to targets drawn at random instead of entries.
  bool Direct = false;
  /// Most repeated sends of a request that was refused as "not run".
  unsigned MaxFollows = 0;
};

/// Sends the requests of one scenario and collects the answers. Blocks on the default GLib main
/// context. Not thread-safe.
class LoadRun {
public:
  /// Precondition: all references outlive the run. Direct mode needs targets, the other mode
  /// entries.
  LoadRun(const Scenario &Plan, const LoadOptions &Options);

  /// Asks for addresses and reads the counts of the targets. Returns an error text, empty on
  /// success.
  std::string prepare();
  void run();

  const LoadReport &report() const { return this->Report; }
  /// From the first due request to the last answer.
  Duration elapsed() const { return this->LastAnswer - this->Start; }
  /// Reads the counts of all targets and compares them with the answers. Nothing if a target does
  /// not answer.
  std::optional<KeyFindings> checkKeys();

private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;
  using RunCounts = std::map<std::string, std::uint64_t>;

  void onDue();
  void start(const ScheduledRequest &Next, TimePoint Now);
  void send(const CallPointer &Next);
  void onAnswer(const CallPointer &Ended, const HttpAnswer &Answer);
  bool follow(const CallPointer &Ended, const HttpAnswer &Answer);
  void finish(const Call &Ended, unsigned Status, RunKnowledge Run);
  void refresh(const std::string &Credential, TimePoint Now);
  std::string destinationOf(const RequestKind &Kind);
  std::string keyOf(const RequestKind &Kind, std::uint32_t Number) const;
  std::optional<std::vector<RunCounts>> readCounts();

  const Scenario &Plan;
  const LoadOptions &Options;
  HttpCaller Http;
  Schedule Due;
  ScheduledRequest Next;
  DueTimer Timer;
  LoadReport Report;
  KeyAudit Keys;
  /// By credential.
  std::map<std::string, AnswerCache> Answers;
  std::mt19937_64 Engine;
  TimePoint Start;
  TimePoint LastAnswer;
};

} // namespace anvilsaddle
