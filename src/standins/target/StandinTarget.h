#pragma once

#include "transport/GlibPointers.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

/// Behaviour of a stand-in target. Value type.
struct StandinTargetOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::uint32_t Slots = 3;
  /// Mean of the exponential service time, milliseconds.
  double ServiceMilliseconds = 10;
  std::uint64_t Seed = 1;
};

/// HTTP server in place of a real target: runs up to `Slots` requests at once, sheds the rest with
/// 503 and Retry-After, and counts how often each request id ran. Not thread-safe.
class StandinTarget {
public:
  explicit StandinTarget(StandinTargetOptions Options);
  StandinTarget(const StandinTarget &) = delete;
  StandinTarget &operator=(const StandinTarget &) = delete;

  /// Returns an error text, empty on success.
  std::string start();

private:
  struct Work;

  static void onRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  static gboolean onWorkDone(gpointer Data);
  void answerCounts(SoupServerMessage *Message) const;

  StandinTargetOptions Options;
  GObjectPointer<SoupServer> Server;
  std::mt19937_64 Engine;
  std::uint32_t Running = 0;
  std::uint32_t MostRunning = 0;
  std::uint64_t Shed = 0;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::uint64_t Runs = 0;
};

} // namespace anvilsaddle
