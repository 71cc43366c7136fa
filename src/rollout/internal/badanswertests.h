#pragma once

#include "rollout/internal/cumulativetest.h"

#include <cstdint>

namespace lavendertally::rollout {

/// Tests of one kind of bad answers of the new version, for a small rise of their rate and for a
/// large one, which takes fewer answers.
class BadAnswerTests
{
public:
    void observe(std::uint64_t answers, std::uint64_t bad, double ordinary)
    {
        const auto badCount = static_cast<double>(bad);
        const double good = static_cast<double>(answers) - badCount;
        m_smallRise.observe(good, badCount, ordinary);
        m_largeRise.observe(good, badCount, ordinary);
        m_answers += answers;
        m_bad += bad;
    }
    bool areConclusive() const { return m_smallRise.isConclusive() || m_largeRise.isConclusive(); }
    std::uint64_t answers() const { return m_answers; }
    std::uint64_t bad() const { return m_bad; }

private:
    CumulativeTest m_smallRise{0.05};
    CumulativeTest m_largeRise{0.25};
    std::uint64_t m_answers = 0;
    std::uint64_t m_bad = 0;
};

} // namespace lavendertally::rollout
