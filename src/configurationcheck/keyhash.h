#pragma once

#include "framework/types/ids.h"

namespace lavendertally::configurationcheck {

struct KeyHashTag;

/// Stands for an API key where the key itself must not be shown.
using KeyHash = framework::StringId<KeyHashTag>;

/// \return the first 64 bits of the key's SHA-256 in hexadecimal. The hash is a cryptographic one
/// because XXH3 of a short text can be inverted.
KeyHash keyHash(const framework::ApiKey &key);

/// \return the part of \p hash that reports show
std::string shortHash(const KeyHash &hash);

} // namespace lavendertally::configurationcheck
