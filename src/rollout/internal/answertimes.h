#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutevidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace lavendertally::rollout {

/// Classes of answer times; each ends at 1.25 times the end of the one before, the first at 1 ms.
/// Fine enough to tell several times slower answers, and the same at all daemons.
class AnswerTimes
{
public:
    static constexpr double Factor = 1.25;

    static std::size_t classOf(framework::Milliseconds time)
    {
        const auto milliseconds = static_cast<double>(std::max<std::int64_t>(time.value(), 1));
        const double exact = std::log(milliseconds) / std::log(Factor);
        constexpr double RoundingTolerance = 1e-9;
        const auto number = static_cast<std::size_t>(std::ceil(exact - RoundingTolerance));
        return std::min(number, protocol::RolloutTimeClasses - 1);
    }

    /// \return longest time in the class
    static framework::Milliseconds end(std::size_t timeClass)
    {
        return framework::Milliseconds(
            static_cast<std::int64_t>(std::ceil(std::pow(Factor, static_cast<double>(timeClass)))));
    }

    /// \param times answers by class
    /// \return the first class up to which \p share of the answers are
    template <typename Count>
    static std::size_t quantile(const std::array<Count, protocol::RolloutTimeClasses> &times,
                                double share)
    {
        double total = 0.0;
        for (const Count count : times) {
            total += static_cast<double>(count);
        }
        double below = 0.0;
        for (std::size_t index = 0; index < times.size(); ++index) {
            below += static_cast<double>(times[index]);
            if (below >= share * total) {
                return index;
            }
        }
        return times.size() - 1;
    }
};

} // namespace lavendertally::rollout
