#include "configurationcheck/internal/sha256.h"

#include <bit>
#include <cstddef>
#include <string>

namespace lavendertally::configurationcheck {

namespace {

constexpr std::size_t BlockBytes = 64;
constexpr std::size_t LengthBytes = 8;
constexpr std::size_t Rounds = 64;
constexpr std::size_t WordsInBlock = 16;
constexpr int BitsPerByte = 8;

using State = std::array<std::uint32_t, 8>;
using Words = std::array<std::uint32_t, Rounds>;

constexpr State InitialState = {0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a,
                                0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19};

constexpr Words RoundConstants = {
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2};

/// \return \p text with the end mark, zeros and the length in bits that the algorithm appends
std::string padded(std::string_view text)
{
    std::string result(text);
    result.push_back('\x80');
    while (result.size() % BlockBytes != BlockBytes - LengthBytes) {
        result.push_back('\0');
    }
    const std::uint64_t bits = text.size() * BitsPerByte;
    for (std::size_t byte = LengthBytes; byte > 0; --byte) {
        result.push_back(static_cast<char>(bits >> ((byte - 1) * BitsPerByte)));
    }
    return result;
}

Words schedule(std::string_view block)
{
    Words words{};
    for (std::size_t index = 0; index < BlockBytes; ++index) {
        std::uint32_t &word = words[index / sizeof(std::uint32_t)];
        word = (word << BitsPerByte) | static_cast<unsigned char>(block[index]);
    }
    for (std::size_t index = WordsInBlock; index < Rounds; ++index) {
        const std::uint32_t a = words[index - 15];
        const std::uint32_t b = words[index - 2];
        words[index] = words[index - WordsInBlock] + words[index - 7]
            + (std::rotr(a, 7) ^ std::rotr(a, 18) ^ (a >> 3))
            + (std::rotr(b, 17) ^ std::rotr(b, 19) ^ (b >> 10));
    }
    return words;
}

void addBlock(State &state, std::string_view block)
{
    const Words words = schedule(block);
    auto [a, b, c, d, e, f, g, h] = state;
    for (std::size_t round = 0; round < Rounds; ++round) {
        const std::uint32_t first = h + (std::rotr(e, 6) ^ std::rotr(e, 11) ^ std::rotr(e, 25))
            + ((e & f) ^ (~e & g)) + RoundConstants[round] + words[round];
        const std::uint32_t second =
            (std::rotr(a, 2) ^ std::rotr(a, 13) ^ std::rotr(a, 22)) + ((a & b) ^ (a & c) ^ (b & c));
        h = g;
        g = f;
        f = e;
        e = d + first;
        d = c;
        c = b;
        b = a;
        a = first + second;
    }
    const State added = {a, b, c, d, e, f, g, h};
    for (std::size_t index = 0; index < state.size(); ++index) {
        state[index] += added[index];
    }
}

} // namespace

std::array<std::uint32_t, 8> sha256(std::string_view text)
{
    State state = InitialState;
    const std::string message = padded(text);
    for (std::size_t offset = 0; offset < message.size(); offset += BlockBytes) {
        addBlock(state, std::string_view(message).substr(offset, BlockBytes));
    }
    return state;
}

} // namespace lavendertally::configurationcheck
