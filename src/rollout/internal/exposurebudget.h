#pragma once

#include <cstdint>

namespace lavendertally::rollout {

/// Keeps the requests that one daemon sends to the new version within a share of those that it
/// sends for the service. It needs nothing but the daemon's own counts, so the shares of all
/// daemons add up to the same share whatever they hear of each other.
class ExposureBudget
{
public:
    /// \param phase in [0, 1); spread evenly over the daemons, so that the first requests to the
    /// new version of many daemons with little traffic do not add up
    explicit ExposureBudget(double phase = 0.0) : m_phase(phase) { }

    /// Counts from now on for the share of a new step.
    void beginStep()
    {
        m_stepSent = 0;
        m_stepToTarget = 0;
    }

    void sent(bool toTarget)
    {
        ++m_sent;
        ++m_stepSent;
        m_toTarget += toTarget ? 1 : 0;
        m_stepToTarget += toTarget ? 1 : 0;
    }

    /// \param share of the requests since the step began
    /// \param cap share of all requests
    /// \param slack requests allowed on top of the cap
    /// \return whether the next request may go to the new version
    bool allows(double share, double cap, double slack) const
    {
        return fits(m_stepToTarget, m_stepSent, share, slack)
            && fits(m_toTarget, m_sent, cap, slack);
    }

    std::uint64_t sent() const { return m_sent; }
    std::uint64_t sentToTarget() const { return m_toTarget; }

private:
    bool fits(std::uint64_t toTarget, std::uint64_t sent, double share, double slack) const
    {
        return static_cast<double>(toTarget + 1)
            <= share * static_cast<double>(sent + 1) + slack + m_phase;
    }

    double m_phase;
    std::uint64_t m_sent = 0;
    std::uint64_t m_toTarget = 0;
    std::uint64_t m_stepSent = 0;
    std::uint64_t m_stepToTarget = 0;
};

} // namespace lavendertally::rollout
