#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::control {

/// Decides whether a process may still trust its configuration.
class IIsolationPolicy
{
public:
    virtual ~IIsolationPolicy() = default;

    /// Notes that the log or another daemon showed its revision.
    /// \param seen revision that it showed
    /// \param own revision in force in this process
    virtual void noteContact(framework::LogOffset seen, framework::LogOffset own,
                             framework::TimePoint now) = 0;

    /// Notes that this process has reached \p own.
    virtual void noteAdvance(framework::LogOffset own) = 0;

    /// \return whether new work is to be refused because the configuration may be out of date
    virtual bool isIsolated(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
