#pragma once

#include "framework/types/timepoint.h"

#include <cstdint>

namespace lavendertally::routing {

/// Learned time that a backend server takes for its work, relative to the average of its service,
/// from what it has finished.
class ServerSpeed
{
public:
    /// \param ratio time that a prompt took to be read, divided by what the service takes for it
    void observeRead(double ratio, framework::TimePoint now);
    /// \param ratio the same for one output token
    void observeWrite(double ratio, framework::TimePoint now);
    /// \param ratio the same for a whole call of a plain service
    void observeCall(double ratio, framework::TimePoint now);
    /// \param percent time that work takes there now, as the backend server reports it
    void observeReport(std::uint32_t percent, framework::TimePoint now);

    /// \return time to read, relative to the average of the service, at the present speed
    double readTime(framework::TimePoint now) const;
    /// \return the same for output tokens
    double writeTime(framework::TimePoint now) const;
    /// \return the same for whole calls, as learned; 1 unless it differs from the others by more
    /// than chance explains
    double callTime(framework::TimePoint now) const;
    /// \return factor by which the present speed, as reported, differs from the usual one; samples
    /// are divided by it before they are learned
    double present(framework::TimePoint now) const;

private:
    /// Moving average of a logarithm.
    struct Average
    {
        double log = 0.0;
        double variance = 0.0;
        std::uint32_t samples = 0;
        framework::TimePoint at;

        /// \param smoothing weight of the newest sample once there are many
        void observe(double ratio, double smoothing, framework::TimePoint now);
        double value(framework::TimePoint now) const;
    };

    Average m_read;
    Average m_write;
    Average m_call;
    double m_reported = 1.0;
    double m_usualReported = 1.0;
    framework::TimePoint m_reportedAt;
};

} // namespace lavendertally::routing
