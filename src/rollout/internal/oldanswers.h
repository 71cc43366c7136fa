#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/rolloutevidence.h"

#include <array>
#include <cstddef>

namespace lavendertally::rollout {

/// Answers of the old version on one route over the last seconds. They are kept while it gets no
/// requests any more.
class OldAnswers
{
public:
    /// \param total answers counted so far; what is new since the last call is added
    void update(const protocol::RolloutEvidence &total, framework::TimePoint now);

    /// \return upper estimate of the present rate of failures
    double failureRate() const;
    /// \return whether there are enough answers to tell which are slow
    bool knowsTimes() const;
    /// \return class of answer times above which an answer is slow
    std::size_t slowAbove() const;
    /// \return upper estimate of the present rate of slow answers
    double slowRate() const;

private:
    struct Counts
    {
        double answers = 0.0;
        double failures = 0.0;
        std::array<double, protocol::RolloutTimeClasses> times{};

        double sound() const { return answers - failures; }
        double slow(std::size_t above) const;
    };

    static double upperRate(double bad, double answers);

    protocol::RolloutEvidence m_total;
    framework::TimePoint m_updated;
    Counts m_window;
    /// What the last call added.
    Counts m_recent;
};

} // namespace lavendertally::rollout
