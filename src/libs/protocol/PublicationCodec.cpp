#include "protocol/PublicationCodec.h"

#include "protocol/ThriftBytes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include <peer_types.h>

namespace anvilsaddle {

namespace {

/// No duration in a publication is longer, and sums of such durations do not overflow.
constexpr Duration MaxDuration = std::chrono::hours(24);

wire::Route toWire(const Route &Value) {
  wire::Route Result;
  Result.name = Value.Name.str();
  Result.host = Value.Host;
  Result.prefix = Value.PathPrefix;
  Result.idempotent = Value.Idempotent;
  if (Value.HasLargeResponses) {
    Result.__set_hasLargeResponses(true);
  }
  Result.timeoutMicroseconds = Value.Timeout.count();
  Result.objectiveMicroseconds = Value.LatencyObjective.count();
  Result.priority = static_cast<std::int32_t>(Value.Priority);
  Result.maxTargets = static_cast<std::int32_t>(Value.MaxTargets);
  for (const WeightedService &Each : Value.Services) {
    wire::WeightedService Part;
    Part.serviceName = Each.Service.str();
    Part.weight = Each.Weight;
    Result.services.push_back(Part);
  }
  for (const RegionName &Each : Value.HomeRegions) {
    Result.homeRegions.push_back(Each.str());
  }
  return Result;
}

wire::Configuration toWire(const Configuration &Value) {
  wire::Configuration Result;
  Result.version = static_cast<std::int64_t>(Value.Version);
  for (const Route &Each : Value.Routes) {
    Result.routes.push_back(toWire(Each));
  }
  for (const auto &[Name, Each] : Value.Services) {
    wire::Service Part;
    Part.name = Name.str();
    Part.healthPath = Each.HealthPath;
    Part.coldRate = Each.ColdRequestsPerSecond;
    Result.services.push_back(Part);
  }
  Result.headBytes = static_cast<std::int64_t>(Value.Limits.HeadBytes);
  Result.bodyBytes = static_cast<std::int64_t>(Value.Limits.BodyBytes);
  Result.headTimeoutMicroseconds = Value.Limits.HeadTimeout.count();
  Result.idleTimeoutMicroseconds = Value.Limits.IdleTimeout.count();
  return Result;
}

wire::Target toWire(const Target &Value) {
  wire::Target Result;
  Result.name = Value.Name.str();
  Result.serviceName = Value.Service.str();
  Result.address = Value.Address.Address;
  Result.port = Value.Address.Port;
  Result.domain = Value.Domain.str();
  Result.slots = static_cast<std::int32_t>(Value.Slots);
  Result.draining = Value.Draining;
  Result.coldMicroseconds = Value.RemainingColdTime.count();
  Result.startedUnixMilliseconds = Value.StartedUnixMilliseconds;
  Result.__set_sequence(Value.Sequence);
  return Result;
}

wire::Publication toWire(const Publication &Value) {
  wire::Publication Result;
  if (const auto *Settings = std::get_if<Configuration>(&Value)) {
    Result.__set_configuration(toWire(*Settings));
  } else if (const auto *Registered = std::get_if<TargetRegistered>(&Value)) {
    Result.__set_registered(toWire(Registered->Registration));
  } else if (const auto *Removed = std::get_if<TargetRemoved>(&Value)) {
    Result.__set_removed(Removed->Name.str());
  } else if (const auto *Evacuation = std::get_if<DomainEvacuation>(&Value)) {
    wire::Evacuation Part;
    Part.domain = Evacuation->Domain.str();
    Part.active = Evacuation->Active;
    Result.__set_evacuation(Part);
  }
  return Result;
}

wire::Publication toWire(const ConfigurationDelta &Value) {
  Configuration Changes;
  Changes.Version = Value.Version;
  Changes.Routes = Value.ChangedRoutes;
  Changes.Services = Value.Services;
  Changes.Limits = Value.Limits;
  wire::ConfigurationDelta Part;
  Part.baseVersion = static_cast<std::int64_t>(Value.BaseVersion);
  Part.changes = toWire(Changes);
  for (const RouteName &Each : Value.RemovedRoutes) {
    Part.removedRoutes.push_back(Each.str());
  }
  wire::Publication Result;
  Result.__set_configurationDelta(Part);
  return Result;
}

Duration readDuration(std::int64_t Microseconds) {
  return std::clamp(Duration(Microseconds), Duration(0), MaxDuration);
}

std::uint32_t readCount(std::int32_t Count) {
  return static_cast<std::uint32_t>(std::max(Count, 0));
}

Route fromWire(const wire::Route &In) {
  Route Result;
  Result.Name = RouteName(In.name);
  Result.Host = In.host;
  Result.PathPrefix = In.prefix;
  Result.Idempotent = In.idempotent;
  Result.HasLargeResponses = In.__isset.hasLargeResponses && In.hasLargeResponses;
  Result.Timeout = readDuration(In.timeoutMicroseconds);
  Result.LatencyObjective = readDuration(In.objectiveMicroseconds);
  Result.Priority = readCount(In.priority);
  Result.MaxTargets = readCount(In.maxTargets);
  for (const wire::WeightedService &Each : In.services) {
    Result.Services.push_back({ServiceName(Each.serviceName), Each.weight});
  }
  for (const std::string &Each : In.homeRegions) {
    Result.HomeRegions.insert(RegionName(Each));
  }
  return Result;
}

Configuration fromWire(const wire::Configuration &In) {
  Configuration Result;
  Result.Version = static_cast<std::uint64_t>(In.version);
  for (const wire::Route &Each : In.routes) {
    // Requests can't be routed to a route without a service.
    if (!Each.services.empty()) {
      Result.Routes.push_back(fromWire(Each));
    }
  }
  for (const wire::Service &Each : In.services) {
    Result.Services[ServiceName(Each.name)] = {ServiceName(Each.name), Each.healthPath,
                                               Each.coldRate};
  }
  Result.Limits = {static_cast<std::size_t>(In.headBytes), static_cast<std::size_t>(In.bodyBytes),
                   readDuration(In.headTimeoutMicroseconds),
                   readDuration(In.idleTimeoutMicroseconds)};
  return Result;
}

bool isValid(const wire::Target &In) {
  const bool IsPort = In.port > 0 && In.port <= std::numeric_limits<std::uint16_t>::max();
  return IsPort && In.slots > 0 && In.coldMicroseconds >= 0 &&
         In.coldMicroseconds <= MaxDuration.count() && In.startedUnixMilliseconds >= 0 &&
         (!In.__isset.sequence || In.sequence >= 0) &&
         parseEndpoint(In.address + ":" + std::to_string(In.port)).has_value();
}

/// An invalid registration names no target, and replaces an earlier one of the same name.
Publication fromWire(const wire::Target &In) {
  if (!isValid(In)) {
    return TargetRemoved{TargetName(In.name)};
  }
  Target Result;
  Result.Name = TargetName(In.name);
  Result.Service = ServiceName(In.serviceName);
  Result.Address = {In.address, static_cast<std::uint16_t>(In.port)};
  Result.Domain = FailureDomainName(In.domain);
  Result.Slots = static_cast<std::uint32_t>(In.slots);
  Result.Draining = In.draining;
  Result.RemainingColdTime = Duration(In.coldMicroseconds);
  Result.StartedUnixMilliseconds = In.startedUnixMilliseconds;
  Result.Sequence = In.__isset.sequence ? In.sequence : 0;
  return TargetRegistered{std::move(Result)};
}

ConfigurationDelta fromWire(const wire::ConfigurationDelta &In) {
  Configuration Changes = fromWire(In.changes);
  ConfigurationDelta Result;
  Result.BaseVersion = static_cast<std::uint64_t>(In.baseVersion);
  Result.Version = Changes.Version;
  Result.ChangedRoutes = std::move(Changes.Routes);
  for (const std::string &Each : In.removedRoutes) {
    Result.RemovedRoutes.emplace_back(Each);
  }
  Result.Services = std::move(Changes.Services);
  Result.Limits = Changes.Limits;
  return Result;
}

std::optional<Publication> fromWire(const wire::Publication &In, const Configuration *Base) {
  if (In.__isset.configurationDelta) {
    return Base ? applyDelta(*Base, fromWire(In.configurationDelta)) : std::nullopt;
  }
  if (In.__isset.configuration) {
    return fromWire(In.configuration);
  }
  if (In.__isset.registered) {
    return fromWire(In.registered);
  }
  if (In.__isset.removed) {
    return TargetRemoved{TargetName(In.removed)};
  }
  if (In.__isset.evacuation) {
    return DomainEvacuation{FailureDomainName(In.evacuation.domain), In.evacuation.active};
  }
  return std::nullopt;
}

} // namespace

std::string writeBatch(const PublicationBatch &Batch,
                       const std::optional<ConfigurationDelta> &Delta) {
  wire::PublicationBatch Out;
  Out.complete = Batch.IsSnapshot;
  Out.since = Batch.Since;
  Out.revision = Batch.Revision;
  Out.__set_epoch(Batch.Epoch);
  Out.__set_sinceEpoch(Batch.SinceEpoch);
  Out.removalsWaitMicroseconds = Batch.RemovalDelay.count();
  for (const Publication &Each : Batch.Changes) {
    const auto *Newer = std::get_if<Configuration>(&Each);
    const bool IsReplaced = Newer && Delta && Delta->Version == Newer->Version;
    Out.changes.push_back(IsReplaced ? toWire(*Delta) : toWire(Each));
  }
  for (const PublicationGap &Each : Batch.Gaps) {
    wire::RevisionGap Part;
    Part.first = Each.First.Revision;
    Part.last = Each.Last.Revision;
    Part.__set_firstEpoch(Each.First.Epoch);
    Part.__set_lastEpoch(Each.Last.Epoch);
    Out.gaps.push_back(Part);
  }
  Out.__isset.gaps = !Out.gaps.empty();
  return writeThrift(Out);
}

std::optional<PublicationBatch> readBatch(std::string_view Text, const Configuration *Base) {
  try {
    wire::PublicationBatch In;
    readThrift(Text, In);
    PublicationBatch Result{
        In.complete, In.since, In.revision, readDuration(In.removalsWaitMicroseconds), {}, {}};
    Result.Epoch = In.__isset.epoch ? In.epoch : 0;
    Result.SinceEpoch = In.__isset.sinceEpoch ? In.sinceEpoch : 0;
    for (const wire::RevisionGap &Each : In.gaps) {
      Result.Gaps.push_back({{Each.__isset.firstEpoch ? Each.firstEpoch : 0, Each.first},
                             {Each.__isset.lastEpoch ? Each.lastEpoch : 0, Each.last}});
    }
    for (const wire::Publication &Each : In.changes) {
      const auto Change = fromWire(Each, Base);
      if (!Change) {
        return std::nullopt;
      }
      Result.Changes.push_back(*Change);
    }
    return Result;
  } catch (const apache::thrift::TException &) {
    // The caller of this function logs the error.
    return std::nullopt;
  }
}

} // namespace anvilsaddle
