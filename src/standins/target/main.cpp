#include "target/StandinTarget.h"

#include <iostream>

#include <CLI/CLI.hpp>
#include <glib-unix.h>

using namespace anvilsaddle;

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Stand-in for a target");
  StandinTargetOptions Options;
  App.add_option("--address", Options.Address, "IP number to listen on");
  App.add_option("--port", Options.Port, "Port to listen on")->required();
  App.add_option("--slots", Options.Behaviour.Slots, "Requests that run at once");
  App.add_option("--service-ms", Options.Behaviour.ServiceMilliseconds,
                 "Mean service time, milliseconds");
  App.add_option("--cold-answers", Options.Behaviour.ColdAnswers,
                 "Answers at a concurrency of 1 that end the cold start");
  App.add_option("--seed", Options.Seed, "Seed of the service times");
  CLI11_PARSE(App, ArgumentCount, Arguments);

  StandinTarget Target(Options);
  if (const std::string Error = Target.start(); !Error.empty()) {
    std::cerr << Error << '\n';
    return 1;
  }
  const GMainLoopPointer Loop(g_main_loop_new(nullptr, FALSE));
  g_unix_signal_add(
      SIGTERM,
      [](gpointer Data) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop *>(Data));
        return G_SOURCE_CONTINUE;
      },
      Loop.get());
  g_main_loop_run(Loop.get());
  return 0;
}
