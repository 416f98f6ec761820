#pragma once

#include <filesystem>
#include <fstream>
#include <string>

#include <glib.h>

namespace anvilsaddle {

/// Temporary directory; the destructor removes it with its content.
class TemporaryDirectory {
public:
  TemporaryDirectory() {
    gchar *Name = g_dir_make_tmp("anvilsaddle-XXXXXX", nullptr);
    this->Root = Name;
    g_free(Name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(this->Root); }
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

  std::string write(const std::string &Name, const std::string &Text) const {
    const std::filesystem::path File = this->Root / Name;
    std::filesystem::create_directories(File.parent_path());
    std::ofstream(File, std::ios::binary) << Text;
    return File.string();
  }
  std::string path(const std::string &Name = {}) const {
    return Name.empty() ? this->Root.string() : (this->Root / Name).string();
  }

private:
  std::filesystem::path Root;
};

} // namespace anvilsaddle
