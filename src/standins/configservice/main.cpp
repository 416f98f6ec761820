#include "configservice/StandinConfigService.h"

#include <iostream>

#include <CLI/CLI.hpp>
#include <glib-unix.h>

using namespace anvilsaddle;

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Stand-in for the configuration service and the VM list");
  std::string Directory;
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  App.add_option("--address", Address, "IP number to listen on");
  App.add_option("--port", Port, "Port to listen on")->required();
  App.add_option("--directory", Directory, "Directory with settings")->required();
  CLI11_PARSE(App, ArgumentCount, Arguments);

  StandinConfigService Service(Directory, Address, Port);
  if (const std::string Error = Service.start(); !Error.empty()) {
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
