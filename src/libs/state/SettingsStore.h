#pragma once

#include "state/Finding.h"
#include "state/SettingsSnapshot.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilsaddle {

class SettingsParser;

/// Revision of one settings path. Value type.
struct PathRevision {
  std::string Path;
  std::uint64_t Revision = 0;
  std::uint64_t ContentHash = 0;

  auto operator<=>(const PathRevision &) const = default;
};

enum class OfferOutcome { Accepted, Unchanged, Older, Refused };

struct OfferResult {
  OfferOutcome Outcome = OfferOutcome::Unchanged;
  /// Revision in force for the path before the offer; 0 if there was none.
  std::uint64_t PreviousRevision = 0;
  Findings Problems;
};

/// Last accepted revision of each settings path. In force is the highest valid revision that was
/// ever offered, whatever the order of the offers, so that entries which saw different revisions
/// agree. Not thread-safe.
class SettingsStore {
public:
  /// Precondition: the parser outlives the store.
  explicit SettingsStore(const SettingsParser &Parser) : Parser(Parser) {}

  /// Offers one revision from the configuration service or from a peer.
  OfferResult offer(const std::string &Path, std::uint64_t Revision, const std::string &Text);

  /// True if the revision is newer than the accepted one and is not known to be refused.
  bool isNewer(const PathRevision &Offered) const;

  const SettingsSnapshot &snapshot() const { return this->Snapshot; }
  /// Accepted revisions, ordered by path.
  std::vector<PathRevision> revisions() const;
  /// Text of the accepted revision of a path; null if there is none.
  const std::string *text(const std::string &Path) const;
  /// Hash over the accepted paths, revisions and contents; equal stores have equal digests.
  std::uint64_t digest() const { return this->Digest; }
  /// Findings of refused revisions newer than the accepted one, for all paths.
  Findings pendingFindings() const;

private:
  struct Subtree {
    std::uint64_t Revision = 0;
    std::uint64_t ContentHash = 0;
    std::string Text;
    std::uint64_t RefusedRevision = 0;
    Findings Problems;
  };

  void updateDigest();

  const SettingsParser &Parser;
  std::map<std::string, Subtree> Subtrees;
  SettingsSnapshot Snapshot;
  std::uint64_t Digest = 0;
};

} // namespace anvilsaddle
