#pragma once

#include "transport/GlibPointers.h"

#include <cstdint>
#include <string>

#include <libsoup/soup.h>

namespace anvilsaddle {

class AuditTrail;
class Clock;
class EntryNode;
class Metrics;

/// Operators' interface on 127.0.0.1: `/admin/status`, `/admin/targets`, `/admin/audit`,
/// `/admin/explain` in JSON and `/metrics` in the text exposition format. Reads only. Not
/// thread-safe.
class AdminServer {
public:
  /// Precondition: all references outlive the server.
  AdminServer(const EntryNode &Node, const AuditTrail &Audit, Metrics &Counters, const Clock &Time);
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  /// Returns an error text, empty on success.
  std::string listen(std::uint16_t Port);

private:
  static void onRequest(SoupServer *Server, SoupServerMessage *Message, const char *Path,
                        GHashTable *Query, gpointer Data);
  std::string statusJson() const;
  std::string targetsJson() const;
  std::string auditJson(GHashTable *Query) const;
  std::string explainJson(GHashTable *Query) const;

  const EntryNode &Node;
  const AuditTrail &Audit;
  Metrics &Counters;
  const Clock &Time;
  GObjectPointer<SoupServer> Server;
};

} // namespace anvilsaddle
