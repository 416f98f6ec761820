#pragma once

#include "coordination/dispatch/DispatchTypes.h"
#include "coordination/limits/CustomerQuotas.h"
#include "state/Identifiers.h"
#include "state/Time.h"
#include "transport/EventLog.h"

#include <optional>
#include <string>

namespace anvilsaddle {

class ActiveRequest;

// Formats of numbers in log lines and header fields, and the fields of the log lines about one
// request. All functions are thread-safe.

/// Three digits behind the point, whatever the locale.
std::string formatDecimal(double Value);
std::string formatSeconds(Duration Value);
std::string formatMilliseconds(Duration Value);
/// Milliseconds since the time up to which the publications are known; `unknown` without one.
std::string formatStaleness(std::optional<TimePoint> KnownAsOf, TimePoint Now);

/// Adds the customer unless the request belongs to none.
LogFields withCustomer(LogFields Fields, const CustomerName &Customer);
/// Precondition: the command forwards the request.
LogFields forwardedLogFields(const ActiveRequest &Request, const SendAttempt &Command);
LogFields sentLogFields(const std::string &RequestId, const SendAttempt &Command);
void addHedgeInputs(LogFields &Fields, const HedgeInputs &Inputs);
/// Precondition: the decision refuses the request.
LogFields overQuotaLogFields(const std::string &RequestId, const CustomerName &Customer,
                             const QuotaDecision &Decision);

} // namespace anvilsaddle
