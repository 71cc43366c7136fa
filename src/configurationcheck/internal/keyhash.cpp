#include "configurationcheck/keyhash.h"

#include "configurationcheck/internal/sha256.h"

#include <array>
#include <cstdint>
#include <string>

namespace lavendertally::configurationcheck {

namespace {

/// Enough to compare hundreds of thousands of keys without a collision.
constexpr std::size_t WordsKept = 2;
constexpr std::size_t ShownDigits = 8;
constexpr int BitsPerDigit = 4;
constexpr int BitsPerWord = 32;
constexpr std::uint32_t DigitMask = 15;

} // namespace

KeyHash keyHash(const framework::ApiKey &key)
{
    const std::array<std::uint32_t, 8> words = sha256(key.value());
    std::string text;
    for (std::size_t word = 0; word < WordsKept; ++word) {
        for (int shift = BitsPerWord - BitsPerDigit; shift >= 0; shift -= BitsPerDigit) {
            text.push_back("0123456789abcdef"[(words[word] >> shift) & DigitMask]);
        }
    }
    return KeyHash(text);
}

std::string shortHash(const KeyHash &hash)
{
    return "#" + hash.value().substr(0, ShownDigits);
}

} // namespace lavendertally::configurationcheck
