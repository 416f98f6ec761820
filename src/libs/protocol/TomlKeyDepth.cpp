#include "protocol/TomlKeyDepth.h"

#include <algorithm>

namespace anvilsaddle {

namespace {

/// Reads over strings and comments and counts the dots of each key between them.
class KeyScanner {
public:
  explicit KeyScanner(std::string_view Text) : Text(Text) {}

  std::optional<TomlPosition> run() {
    std::size_t Dots = 0;
    while (this->Position < this->Text.size()) {
      const char Next = this->Text[this->Position];
      if (Next == '"' || Next == '\'') {
        this->skipString(Next);
        continue;
      }
      if (Next == '#') {
        this->skipComment();
        continue;
      }
      if (Next == '.' && ++Dots >= MaxTomlKeyParts) {
        return this->place();
      }
      // These end a key or a value; only keys have several dots.
      if (std::string_view("\n=,[]{}").find(Next) != std::string_view::npos) {
        Dots = 0;
      }
      ++this->Position;
    }
    return std::nullopt;
  }

private:
  void skipComment() {
    this->Position = std::min(this->Text.find('\n', this->Position), this->Text.size());
  }

  void skipString(char Quote) {
    const char Triple[] = {Quote, Quote, Quote};
    const std::string_view Delimiter(Triple, 3);
    const bool Multiline = this->rest().starts_with(Delimiter);
    this->Position += Multiline ? 3 : 1;
    while (this->Position < this->Text.size()) {
      const char Next = this->Text[this->Position];
      if (Next == '\\' && Quote == '"') {
        this->Position += 2;
        continue;
      }
      // A line break ends a string that was not closed; the parser reports it.
      if (!Multiline && (Next == Quote || Next == '\n')) {
        ++this->Position;
        return;
      }
      if (Multiline && this->rest().starts_with(Delimiter)) {
        this->Position += 3;
        // Up to two quotes before the delimiter belong to the content.
        for (int Extra = 0; Extra < 2 && this->rest().starts_with(Quote); ++Extra) {
          ++this->Position;
        }
        return;
      }
      ++this->Position;
    }
  }

  std::string_view rest() const {
    return this->Text.substr(std::min(this->Position, this->Text.size()));
  }

  TomlPosition place() const {
    TomlPosition Result;
    for (const char Each : this->Text.substr(0, this->Position)) {
      Result.Line += Each == '\n' ? 1 : 0;
      Result.Column = Each == '\n' ? 1 : Result.Column + 1;
    }
    return Result;
  }

  std::string_view Text;
  std::size_t Position = 0;
};

} // namespace

std::optional<TomlPosition> findDeepTomlKey(std::string_view Text) {
  return KeyScanner(Text).run();
}

} // namespace anvilsaddle
