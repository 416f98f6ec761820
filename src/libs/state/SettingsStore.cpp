#include "state/SettingsStore.h"

#include "state/SettingsParser.h"

#include <variant>

#include <xxhash.h>

namespace anvilsaddle {

OfferResult SettingsStore::offer(const std::string &Path, std::uint64_t Revision,
                                 const std::string &Text) {
  Subtree &Stored = this->Subtrees[Path];
  OfferResult Result;
  Result.PreviousRevision = Stored.Revision;
  if (Revision < Stored.Revision) {
    Result.Outcome = OfferOutcome::Older;
    return Result;
  }
  if (Revision == Stored.Revision || Revision == Stored.RefusedRevision) {
    Result.Outcome = OfferOutcome::Unchanged;
    return Result;
  }

  SettingsParser::Result Parsed = this->Parser.parse(Path, Text);
  if (auto *Problems = std::get_if<Findings>(&Parsed)) {
    if (Revision > Stored.RefusedRevision) {
      Stored.RefusedRevision = Revision;
      Stored.Problems = *Problems;
    }
    Result.Outcome = OfferOutcome::Refused;
    Result.Problems = std::move(*Problems);
    return Result;
  }
  if (auto *NewPlatform = std::get_if<PlatformSettings>(&Parsed)) {
    this->Snapshot.setPlatform(std::move(*NewPlatform));
  } else {
    this->Snapshot.setTeam(std::move(std::get<TeamSettings>(Parsed)));
  }
  Stored.Revision = Revision;
  Stored.ContentHash = XXH3_64bits(Text.data(), Text.size());
  Stored.Text = Text;
  if (Stored.RefusedRevision < Revision) {
    Stored.RefusedRevision = 0;
    Stored.Problems.clear();
  }
  this->updateDigest();
  Result.Outcome = OfferOutcome::Accepted;
  return Result;
}

bool SettingsStore::isNewer(const PathRevision &Offered) const {
  const auto Found = this->Subtrees.find(Offered.Path);
  if (Found == this->Subtrees.end()) {
    return true;
  }
  return Offered.Revision > Found->second.Revision &&
         Offered.Revision != Found->second.RefusedRevision;
}

std::vector<PathRevision> SettingsStore::revisions() const {
  std::vector<PathRevision> Result;
  for (const auto &[Path, Stored] : this->Subtrees) {
    if (Stored.Revision > 0) {
      Result.push_back({Path, Stored.Revision, Stored.ContentHash});
    }
  }
  return Result;
}

const std::string *SettingsStore::text(const std::string &Path) const {
  const auto Found = this->Subtrees.find(Path);
  if (Found == this->Subtrees.end() || Found->second.Revision == 0) {
    return nullptr;
  }
  return &Found->second.Text;
}

Findings SettingsStore::pendingFindings() const {
  Findings Result;
  for (const auto &[Path, Stored] : this->Subtrees) {
    Result.insert(Result.end(), Stored.Problems.begin(), Stored.Problems.end());
  }
  return Result;
}

void SettingsStore::updateDigest() {
  std::uint64_t Hash = 0;
  for (const PathRevision &Entry : this->revisions()) {
    Hash = XXH3_64bits_withSeed(Entry.Path.data(), Entry.Path.size(), Hash);
    const std::uint64_t Numbers[] = {Entry.Revision, Entry.ContentHash};
    Hash = XXH3_64bits_withSeed(Numbers, sizeof(Numbers), Hash);
  }
  this->Digest = Hash;
}

} // namespace anvilsaddle
