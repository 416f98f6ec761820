#include "protocol/ApiKey.h"

#include <algorithm>
#include <memory>

#include <glib.h>

namespace anvilsaddle {

namespace {

constexpr std::string_view FieldName = "Authorization";
constexpr std::string_view Scheme = "Bearer";

bool isCredentialField(const FieldList::value_type &Field) {
  return equalsIgnoreCase(Field.first, FieldName);
}

PresentedCredential readValue(std::string_view Value) {
  if (Value.size() <= Scheme.size() || Value[Scheme.size()] != ' ' ||
      !equalsIgnoreCase(Value.substr(0, Scheme.size()), Scheme)) {
    return {PresentedCredential::Form::Malformed, {}};
  }
  const std::size_t Start = std::min(Value.find_first_not_of(' ', Scheme.size()), Value.size());
  const std::string_view Key = Value.substr(Start);
  return isApiKey(Key) ? PresentedCredential{PresentedCredential::Form::ApiKey, digestOf(Key)}
                       : PresentedCredential{PresentedCredential::Form::Malformed, {}};
}

} // namespace

bool isApiKey(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxApiKeyBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Each) { return g_ascii_isgraph(Each); });
}

ApiKeyDigest digestOf(std::string_view Key) {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> Checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(Checksum.get(), reinterpret_cast<const guchar *>(Key.data()),
                    static_cast<gssize>(Key.size()));
  ApiKeyDigest Result{};
  gsize Size = Result.size();
  g_checksum_get_digest(Checksum.get(), Result.data(), &Size);
  return Result;
}

PresentedCredential readCredential(const FieldList &Fields) {
  const auto First = std::find_if(Fields.begin(), Fields.end(), isCredentialField);
  if (First == Fields.end()) {
    return {};
  }
  if (std::any_of(First + 1, Fields.end(), isCredentialField)) {
    return {PresentedCredential::Form::Repeated, {}};
  }
  return readValue(First->second);
}

void removeCredentials(FieldList &Fields) { std::erase_if(Fields, isCredentialField); }

} // namespace anvilsaddle
