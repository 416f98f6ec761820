#include "transport/EntryPageHandler.h"

#include "coordination/AddressDirectory.h"
#include "coordination/RouteTable.h"
#include "transport/RequestFlows.h"

#include <utility>
#include <vector>

namespace anvilsaddle {

EntryPageHandler::EntryPageHandler(const EntryPages &Pages, const Membership &Members,
                                   const Topology &Places, const RequestFlows &Flows,
                                   std::uint16_t CallerPort, Duration AddressLifetime)
    : Pages(Pages), Members(Members), Places(Places), Flows(Flows), CallerPort(CallerPort),
      AddressLifetime(AddressLifetime) {}

void EntryPageHandler::onRequest(HttpExchange &Exchange) {
  if (this->Pages.isReadinessQuestion(Exchange.head())) {
    const bool IsReady = this->Members.state() == EntryState::Ready;
    Exchange.respondText(IsReady ? 200 : 503, "text/plain", toString(this->Members.state()));
    return;
  }
  if (const auto Question = this->Pages.readAddressQuestion(Exchange.head())) {
    this->answerAddresses(Exchange, *Question);
    return;
  }
  Exchange.respondText(404, "text/plain", "no such page\n");
}

void EntryPageHandler::answerAddresses(HttpExchange &Exchange,
                                       const AddressQuestion &Question) const {
  std::vector<const Route *> Routes;
  if (const RouteTable *Known = this->Flows.routes()) {
    Routes = Known->routesForHost(Question.Host);
  }
  std::vector<Endpoint> Entries;
  for (std::string &Address : chooseEntryAddresses(this->Members.liveMembers(), this->Places,
                                                   Question.Region, Question.Domain, Routes)) {
    Entries.push_back({std::move(Address), this->CallerPort});
  }
  if (Entries.empty()) {
    Exchange.respondText(503, "text/plain", "no entry is ready\n");
    return;
  }
  Exchange.respondText(200, "application/json",
                       this->Pages.writeAddresses(Entries, this->AddressLifetime));
}

} // namespace anvilsaddle
