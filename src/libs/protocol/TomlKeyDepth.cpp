#include "protocol/TomlKeyDepth.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Skips strings and comments and counts the dots of each key between them.
class KeyScanner {
public:
  explicit KeyScanner(std::string_view Text) : Text(Text) {}

  std::optional<TomlPosition> findDeepKey() {
    std::size_t Dots = 0;
    while (this->Offset < this->Text.size()) {
      const char Next = this->Text[this->Offset];
      if (Next == '"' || Next == '\'') {
        this->skipString(Next);
        continue;
      }
      if (Next == '#') {
        this->skipComment();
        continue;
      }
      if (Next == '.' && ++Dots >= MaxTomlKeyParts) {
        return this->position();
      }
      // These characters end a key or a value. Only keys have several dots.
      if (std::string_view("\n=,[]{}").find(Next) != std::string_view::npos) {
        Dots = 0;
      }
      ++this->Offset;
    }
    return std::nullopt;
  }

private:
  void skipComment() {
    this->Offset = std::min(this->Text.find('\n', this->Offset), this->Text.size());
  }

  void skipString(char Quote) {
    const char Triple[] = {Quote, Quote, Quote};
    const std::string_view Delimiter(Triple, 3);
    const bool Multiline = this->remaining().starts_with(Delimiter);
    this->Offset += Multiline ? 3 : 1;
    while (this->Offset < this->Text.size()) {
      const char Next = this->Text[this->Offset];
      if (Next == '\\' && Quote == '"') {
        this->Offset += 2;
        continue;
      }
      // A line break ends an unterminated string; the parser reports the error.
      if (!Multiline && (Next == Quote || Next == '\n')) {
        ++this->Offset;
        return;
      }
      if (Multiline && this->remaining().starts_with(Delimiter)) {
        this->Offset += 3;
        // Up to two quotes before the delimiter belong to the content.
        for (int Extra = 0; Extra < 2 && this->remaining().starts_with(Quote); ++Extra) {
          ++this->Offset;
        }
        return;
      }
      ++this->Offset;
    }
  }

  std::string_view remaining() const {
    return this->Text.substr(std::min(this->Offset, this->Text.size()));
  }

  TomlPosition position() const {
    TomlPosition Result;
    for (const char Character : this->Text.substr(0, this->Offset)) {
      Result.Line += Character == '\n' ? 1 : 0;
      Result.Column = Character == '\n' ? 1 : Result.Column + 1;
    }
    return Result;
  }

  std::string_view Text;
  std::size_t Offset = 0;
};

} // namespace

std::optional<TomlPosition> findDeepTomlKey(std::string_view Text) {
  return KeyScanner(Text).findDeepKey();
}

} // namespace anvilsaddle
