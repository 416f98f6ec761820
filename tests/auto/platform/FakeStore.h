#pragma once

#include "../libs/transport/Loopback.h"
#include "coordination/publications/PublicationSource.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilsaddle {

inline std::string response(const std::string &Body, const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Adds the header field that names the epoch of the store.
inline std::string inEpoch(int Epoch, std::string Response) {
  return Response.insert(Response.find("\r\n") + 2, "Store-Era: " + std::to_string(Epoch) + "\r\n");
}

/// Returns an item whose value is an empty JSON object.
inline std::string item(const std::string &Key) {
  return R"({"key":")" + Key + R"(","value":"e30=","revision":1,"created":1,"lease":0})";
}

inline std::string range(const std::string &Items, int Revision, bool HasMore = false) {
  return response(R"({"items":[)" + Items + R"(],"hasMore":)" + (HasMore ? "true" : "false") +
                  R"(,"at":)" + std::to_string(Revision) + "}");
}

inline std::string events(const std::string &Items, int Revision) {
  return response(R"({"events":[)" + Items + R"(],"at":)" + std::to_string(Revision) + "}");
}

/// Fake store. Sends the scripted responses, one for each request, and leaves further requests
/// without a response. An empty response resets the connection.
class FakeStore {
public:
  explicit FakeStore(std::vector<std::string> Script)
      : Script(std::move(Script)), Server([this](RawConnection &Caller, int) {
          const std::string Request = this->Server.Requests.back();
          if (Request.find("pathPrefix=op/evacuate/") != std::string::npos) {
            // Checks whether the store is reachable and ahead.
            ++this->CheckCount;
            Caller.send(this->CheckResponse);
            return;
          }
          this->ReceivedRequests.push_back(Request);
          const std::size_t Index = this->ReceivedRequests.size() - 1;
          if (Index >= this->Script.size()) {
            return;
          }
          if (this->Script[Index].empty()) {
            Caller.reset();
          } else {
            Caller.send(this->Script[Index]);
          }
        }) {}

  std::string requestLine(std::size_t Index) const {
    const std::string &Head = this->ReceivedRequests.at(Index);
    return Head.substr(0, Head.find(" HTTP"));
  }

  std::vector<std::string> Script;
  /// Heads of all requests except the checks.
  std::vector<std::string> ReceivedRequests;
  /// A revision that no watch is behind.
  std::string CheckResponse = range("", 0);
  int CheckCount = 0;
  ScriptedServer Server;
};

/// Records the notifications of the client as text.
class RecordingListener final : public PublicationListener {
public:
  void onPublications(const PublicationBatch &Batch, std::optional<TimePoint> AsOf) override {
    this->KnownAsOf = std::max(this->KnownAsOf, AsOf);
    this->Text += Batch.IsSnapshot ? "all" : "since " + std::to_string(Batch.Since);
    this->Text += " to " + text(Batch.position()) + ":" + std::to_string(Batch.Changes.size());
    for (const Publication &Each : Batch.Changes) {
      if (const auto *Removed = std::get_if<TargetRemoved>(&Each)) {
        this->Text += " -" + Removed->Name.str();
      }
    }
    this->Text += ";";
  }
  void onSourceUpToDate(const SourcePosition &Position, TimePoint AsOf) override {
    this->KnownAsOf = AsOf;
    this->Text += "unchanged " + text(Position) + ";";
  }
  void onInvalidPublication(const Diagnostic &Error) override {
    this->Text += "bad " + Error.Path + ";";
  }
  void onSourceUnavailable(const std::string &) override { this->Text += "lost;"; }
  void onSourceRecovered(Duration Outage) override {
    this->Text += "back;";
    this->Outage = Outage;
  }

  std::optional<TimePoint> knownAsOf() const override { return this->KnownAsOf; }

  std::string Text;
  /// The last one reported.
  Duration Outage{0};
  std::optional<TimePoint> KnownAsOf;

private:
  /// The epoch is left out if it is 0.
  static std::string text(const SourcePosition &Position) {
    const std::string Revision = std::to_string(Position.Revision);
    return Position.Epoch == 0 ? Revision : Revision + "@" + std::to_string(Position.Epoch);
  }
};

} // namespace anvilsaddle
