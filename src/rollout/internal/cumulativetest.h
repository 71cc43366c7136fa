#pragma once

#include <algorithm>
#include <cmath>

namespace lavendertally::rollout {

/// Cumulative sum test (Page, "Continuous inspection schemes", 1954) whether the rate of bad
/// answers has risen from one value to another. It forgets good answers, so a rise is found as fast
/// late as early.
class CumulativeTest
{
public:
    /// Log likelihood ratio at which the rate counts as risen: three to four bad answers almost in
    /// a row at an ordinary rate of 1%. With 10, half as many again of the versions that are bad on
    /// one of several routes passed; with 8, 2 of 3,000 good ones were rolled back.
    static constexpr double Threshold = 8.0;

    /// \param rise how far the new rate is from the ordinary one, as a share of the way to one
    explicit CumulativeTest(double rise) : m_rise(rise) { }

    /// \param ordinary rate of bad answers of the old version, between 0 and 1
    void observe(double good, double bad, double ordinary)
    {
        const double risen = ordinary + m_rise * (1.0 - ordinary);
        m_sum += bad * std::log(risen / ordinary);
        m_sum += good * std::log((1.0 - risen) / (1.0 - ordinary));
        m_sum = std::max(m_sum, 0.0);
    }
    bool isConclusive() const { return m_sum >= Threshold; }

private:
    double m_rise;
    double m_sum = 0.0;
};

} // namespace lavendertally::rollout
