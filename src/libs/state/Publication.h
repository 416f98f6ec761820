#pragma once

#include "state/Configuration.h"
#include "state/SourcePosition.h"
#include "state/Target.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace anvilsaddle {

/// A target was registered, or its registration has changed.
struct TargetRegistered {
  Target Registration;

  auto operator<=>(const TargetRegistered &) const = default;
};

/// The registration of a target was removed.
struct TargetRemoved {
  TargetName Name;

  auto operator<=>(const TargetRemoved &) const = default;
};

/// Operators take a failure domain out of service, or return it to service.
struct DomainEvacuation {
  FailureDomainName Domain;
  /// True if the failure domain is out of service.
  bool Active = false;

  auto operator<=>(const DomainEvacuation &) const = default;
};

/// One change published by operators or targets. It replaces earlier publications about the same
/// configuration, target or failure domain.
using Publication = std::variant<Configuration, TargetRegistered, TargetRemoved, DomainEvacuation>;

/// Range of positions about which it is only known what changed from its first to its last one, but
/// not what changed in between and changed back. Value type.
struct PublicationGap {
  SourcePosition First;
  SourcePosition Last;

  bool isInside(const SourcePosition &Position) const {
    return this->First < Position && Position < this->Last;
  }
  /// True if no position can be inside.
  bool isEmpty() const {
    return this->First.Epoch == this->Last.Epoch && this->First.Revision + 1 >= this->Last.Revision;
  }

  auto operator<=>(const PublicationGap &) const = default;
};

/// Publications in the order of their position in the source. Value type.
struct PublicationBatch {
  /// True if the batch contains everything that is published, so that anything missing was removed.
  /// Otherwise it contains all changes after the revision Since.
  bool IsSnapshot = false;
  std::int64_t Since = 0;
  /// Revision of the source after the last change of the batch.
  std::int64_t Revision = 0;
  /// Time for which removals are delayed after an outage of the source, because targets whose
  /// registrations expired during the outage may register again within it; 0 if there was no outage
  /// recently.
  Duration RemovalDelay{0};
  std::vector<Publication> Changes;
  /// Gaps of the sender that end after Since.
  std::vector<PublicationGap> Gaps;
  /// Epoch of the source to which the revision belongs.
  std::int64_t Epoch = 0;
  /// Epoch to which Since belongs; lower than Epoch if the source returned from a copy in between.
  std::int64_t SinceEpoch = 0;

  SourcePosition since() const { return {this->SinceEpoch, this->Since}; }
  SourcePosition position() const { return {this->Epoch, this->Revision}; }

  auto operator<=>(const PublicationBatch &) const = default;
};

} // namespace anvilsaddle
