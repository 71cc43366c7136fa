#pragma once

#include "framework/irandom.h"

#include <random>

namespace lavendertally::framework {

/// Mersenne Twister with a given seed.
class SeededRandom final : public IRandom
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace lavendertally::framework
