#pragma once

#include "coordination/customers/CustomerTable.h"
#include "protocol/HttpMessage.h"
#include "state/Configuration.h"

#include <cstddef>
#include <string_view>

namespace anvilsaddle {

/// A longer key is malformed. Keys of today's configurations have 20 characters.
inline constexpr std::size_t MaxApiKeyBytes = 512;

/// Returns whether a text has the form of an API key: visible ASCII characters without blanks, and
/// not too long. Thread-safe.
bool isApiKey(std::string_view Text);

/// Returns the SHA-256 digest of a key. Thread-safe.
ApiKeyDigest digestOf(std::string_view Key);

/// Reads the API key of a request from its field `Authorization: Bearer KEY`. Thread-safe.
PresentedCredential readCredential(const FieldList &Fields);

/// Removes all fields that may contain an API key. Thread-safe.
void removeCredentials(FieldList &Fields);

} // namespace anvilsaddle
