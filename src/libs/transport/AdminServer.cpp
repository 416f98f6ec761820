#include "transport/AdminServer.h"

#include "coordination/EntryNode.h"
#include "protocol/Metrics.h"
#include "state/AuditTrail.h"
#include "transport/Clock.h"

#include <string_view>

#include <nlohmann/json.hpp>

namespace anvilsaddle {

namespace {

using nlohmann::json;

std::string queryValue(GHashTable *Query, const char *Name) {
  const auto *Value = Query ? static_cast<const char *>(g_hash_table_lookup(Query, Name)) : nullptr;
  return Value ? Value : "";
}

void answer(SoupServerMessage *Message, const char *Type, const std::string &Text) {
  soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
  soup_server_message_set_response(Message, Type, SOUP_MEMORY_COPY, Text.data(), Text.size());
}

} // namespace

AdminServer::AdminServer(const EntryNode &Node, const AuditTrail &Audit, Metrics &Counters,
                         const Clock &Time)
    : Node(Node), Audit(Audit), Counters(Counters), Time(Time),
      Server(soup_server_new("server-header", "anvilsaddle ", nullptr)) {}

std::string AdminServer::listen(std::uint16_t Port) {
  soup_server_add_handler(this->Server.get(), nullptr, onRequest, this, nullptr);
  const GObjectPointer<GSocketAddress> Socket(
      g_inet_socket_address_new_from_string("127.0.0.1", Port));
  GError *Error = nullptr;
  if (soup_server_listen(this->Server.get(), Socket.get(), static_cast<SoupServerListenOptions>(0),
                         &Error)) {
    return {};
  }
  const GErrorPointer Failure(Error);
  return "cannot listen on admin port " + std::to_string(Port) + ": " + Failure->message;
}

void AdminServer::onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                            GHashTable *Query, gpointer Data) {
  auto &Self = *static_cast<AdminServer *>(Data);
  const std::string_view Wanted(Path);
  constexpr const char *Json = "application/json";
  if (Wanted == "/admin/status") {
    answer(Message, Json, Self.statusJson());
  } else if (Wanted == "/admin/targets") {
    answer(Message, Json, Self.targetsJson());
  } else if (Wanted == "/admin/audit") {
    answer(Message, Json, Self.auditJson(Query));
  } else if (Wanted == "/admin/explain") {
    answer(Message, Json, Self.explainJson(Query));
  } else if (Wanted == "/metrics") {
    answer(Message, "text/plain; version=0.0.4", Self.Counters.render(Self.Time.now()));
  } else {
    soup_server_message_set_status(Message, SOUP_STATUS_NOT_FOUND, nullptr);
  }
}

std::string AdminServer::statusJson() const {
  json Revisions = json::object();
  for (const PathRevision &Entry : this->Node.settings().revisions()) {
    Revisions[Entry.Path] = Entry.Revision;
  }
  json Problems = json::array();
  for (const Finding &Each : this->Node.settings().pendingFindings()) {
    Problems.push_back(toString(Each));
  }
  json Peers = json::array();
  for (const PeerStatus &Each : this->Node.fleet().peers()) {
    Peers.push_back({{"vm", Each.Vm.str()},
                     {"region", Each.Region.str()},
                     {"failure_domain", Each.Domain.str()},
                     {"state", toString(Each.State)}});
  }
  json Groups = json::array();
  for (const auto &[Group, Targets] : this->Node.targetStatus()) {
    Groups.push_back(toString(Group));
  }
  const EntryIdentity &Self = this->Node.identity();
  return json{{"vm", Self.Vm.str()},
              {"region", Self.Region.str()},
              {"failure_domain", Self.Domain.str()},
              {"serving", this->Node.isServing()},
              {"stopping", this->Node.isStopping()},
              {"requests", this->Node.requestCount()},
              {"vm_list_revision", this->Node.vmList().Revision},
              {"settings", Revisions},
              {"findings", Problems},
              {"peers", Peers},
              {"groups", Groups}}
             .dump() +
         "\n";
}

std::string AdminServer::targetsJson() const {
  json Result = json::array();
  for (const auto &[Group, Targets] : this->Node.targetStatus()) {
    for (const TargetStatus &Each : Targets) {
      Result.push_back({{"group", toString(Group)},
                        {"target", Each.Target.str()},
                        {"slots", Each.Slots},
                        {"limit", Each.Limit},
                        {"in_flight", Each.InFlight},
                        {"baseline_us", Each.Baseline.count()}});
    }
  }
  return Result.dump() + "\n";
}

std::string AdminServer::auditJson(GHashTable *Query) const {
  json Result = json::array();
  const std::uint64_t After = g_ascii_strtoull(queryValue(Query, "after").c_str(), nullptr, 10);
  for (const AuditEntry &Each : this->Audit.entriesAfter(After)) {
    Result.push_back({{"sequence", Each.Sequence},
                      {"time_ms", Each.UnixMilliseconds},
                      {"what", Each.What},
                      {"from", Each.From},
                      {"to", Each.To},
                      {"revision", Each.Revision},
                      {"why", Each.Why}});
  }
  return Result.dump() + "\n";
}

std::string AdminServer::explainJson(GHashTable *Query) const {
  const Explanation Result =
      this->Node.explain(CustomerName(queryValue(Query, "customer")), queryValue(Query, "method"),
                         queryValue(Query, "path"), this->Time.now());
  json Steps = json::array();
  for (const ExplainStep &Each : Result.Steps) {
    Steps.push_back(
        {{"candidate", Each.Candidate}, {"result", Each.Result}, {"reason", Each.Reason}});
  }
  return json{{"decision", Result.Decision}, {"steps", Steps}}.dump() + "\n";
}

} // namespace anvilsaddle
