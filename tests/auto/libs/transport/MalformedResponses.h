#pragma once

#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

/// Responses whose heads do not follow the grammar; `Fields` are fields that would make the
/// response usable.
inline std::vector<std::string> makeMalformedResponses(const std::string &Fields) {
  using namespace std::string_literals;
  std::vector<std::string> Result;
  for (const char *Status : {"000", "099", "600", "1000"}) {
    Result.push_back("HTTP/1.1 "s + Status + " OK\r\n" + Fields + "Content-Length: 2\r\n\r\nok");
  }
  for (const std::string &Line : {"A b: c"s, "A : b"s, "A\x01: b"s, "A\0: b"s, " folded"s}) {
    std::string Response = "HTTP/1.1 200 OK\r\n" + Fields;
    Response += Line;
    Response += "\r\nContent-Length: 2\r\n\r\nok";
    Result.push_back(std::move(Response));
  }
  return Result;
}

} // namespace anvilsaddle
