#include "target/StandinBehaviour.h"

#include <nlohmann/json.hpp>

namespace anvilsaddle {

NLOHMANN_JSON_SERIALIZE_ENUM(StandinFault, {{StandinFault::None, "none"},
                                            {StandinFault::EarlyClose, "early_close"},
                                            {StandinFault::KillMidAnswer, "kill_mid_answer"},
                                            {StandinFault::ShortBody, "short_body"},
                                            {StandinFault::FailFast, "fail_fast"}})

namespace {

template <typename T> void take(nlohmann::json &From, const char *Name, T &To) {
  const auto Found = From.find(Name);
  if (Found != From.end()) {
    To = Found->get<T>();
    From.erase(Found);
  }
}

} // namespace

std::string changeBehaviour(StandinBehaviour &Behaviour, std::string_view Json) {
  StandinBehaviour Next = Behaviour;
  nlohmann::json From = nlohmann::json::parse(Json, nullptr, false);
  if (!From.is_object()) {
    return "the control message is not a JSON object";
  }
  try {
    take(From, "slots", Next.Slots);
    take(From, "service_ms", Next.ServiceMilliseconds);
    take(From, "exponential", Next.Exponential);
    take(From, "slowdown", Next.Slowdown);
    take(From, "cold_answers", Next.ColdAnswers);
    take(From, "shed_over_slots", Next.ShedOverSlots);
    take(From, "draining", Next.Draining);
    take(From, "fault", Next.Fault);
    take(From, "fault_every", Next.FaultEvery);
    take(From, "body_bytes", Next.BodyBytes);
    take(From, "chunked", Next.Chunked);
    take(From, "health_status", Next.HealthStatus);
    take(From, "reported_load", Next.ReportedLoad);
    take(From, "load_lag_ms", Next.LoadLagMilliseconds);
  } catch (const nlohmann::json::exception &Error) {
    return Error.what();
  }
  if (!From.empty()) {
    return "unknown field '" + From.begin().key() + "'";
  }
  if (Next.FaultEvery == 0 || Next.ServiceMilliseconds < 0 || Next.Slowdown < 0) {
    return "a value is out of range";
  }
  Behaviour = Next;
  return {};
}

} // namespace anvilsaddle
