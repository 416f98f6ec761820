#pragma once

#include "target/StandinBehaviour.h"
#include "transport/GlibPointers.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Where a stand-in target listens and how it starts. Value type.
struct StandinTargetOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::uint64_t Seed = 1;
  StandinBehaviour Behaviour;
};

/// What a stand-in target did so far. Value type.
struct StandinCounts {
  std::uint64_t Runs = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Failed = 0;
  /// Requests whose caller closed the connection before the end of the answer.
  std::uint64_t Cancelled = 0;
  /// Health and load requests.
  std::uint64_t Measurements = 0;
  std::uint32_t MostRunning = 0;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::map<std::string, std::uint64_t> RunsByRequest;
};

/// HTTP server in place of a real target: runs requests for a random time, misbehaves as told by
/// `POST /standin/control`, and counts at `GET /standin/counts`. Not thread-safe.
class StandinTarget {
public:
  explicit StandinTarget(StandinTargetOptions Options);
  ~StandinTarget();
  StandinTarget(const StandinTarget &) = delete;
  StandinTarget &operator=(const StandinTarget &) = delete;

  /// Returns an error text, empty on success.
  std::string start();
  void setBehaviour(const StandinBehaviour &Behaviour);
  const StandinCounts &counts() const { return this->Counts; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(this->Running.size()); }

private:
  struct Work;
  struct LoadSample {
    gint64 Time;
    std::uint32_t Running;
  };

  static void onRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  static gboolean onWorkDone(gpointer Data);
  static void onFinished(SoupServerMessage *Message, gpointer Data);
  static void onChunkWritten(SoupServerMessage *Message, gpointer Data);

  void answerHealth(SoupServerMessage *Message);
  void answerLoad(SoupServerMessage *Message);
  void answerControl(SoupServerMessage *Message);
  void answerCounts(SoupServerMessage *Message) const;
  void shed(SoupServerMessage *Message);
  void run(SoupServerMessage *Message);
  void startTimer(Work &Started);
  void startQueued();
  bool failOver();
  void answer(Work &Done);
  void sendPart(Work &Sending);
  void remove(Work &Ended);
  void recordLoad();

  StandinTargetOptions Options;
  GObjectPointer<SoupServer> Server;
  std::mt19937_64 Engine;
  StandinCounts Counts;
  std::uint32_t ColdLeft = 0;
  std::list<std::unique_ptr<Work>> Running;
  std::list<std::unique_ptr<Work>> Queued;
  /// Requests that no longer hold a slot and whose answer is being written.
  std::list<std::unique_ptr<Work>> Answering;
  std::deque<LoadSample> Loads;
};

} // namespace anvilsaddle
