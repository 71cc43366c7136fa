#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::control {

/// Decides whether a process is isolated: its configuration may be too old to take new work.
class IIsolationPolicy
{
public:
    virtual ~IIsolationPolicy() = default;

    /// Records that the log or another daemon reported its revision.
    /// \param seen reported revision; only one equal to \p own confirms the configuration
    /// \param own revision in force in this process
    virtual void noteContact(framework::LogOffset seen, framework::LogOffset own,
                             framework::TimePoint now) = 0;

    /// Records that the revision in force in this process is now \p own.
    virtual void noteAdvance(framework::LogOffset own) = 0;

    /// \return whether new work is to be refused because the configuration may be out of date
    virtual bool isIsolated(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
