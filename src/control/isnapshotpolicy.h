#pragma once

#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::control {

/// Decides when an entry writes the state to the log again, before the records that hold it
/// expire. Entries take turns; a snapshot that is written twice does no harm.
class ISnapshotPolicy
{
public:
    virtual ~ISnapshotPolicy() = default;

    /// Notes that a snapshot record has been read from the control stream.
    virtual void noteSnapshot(framework::TimePoint now) = 0;

    /// Notes that an append of this process is under way or has failed.
    virtual void noteAttempt(framework::TimePoint now) = 0;

    /// \param rank place of this entry in the order of turns; the first one has 0
    /// \return whether this entry is to write a snapshot now
    virtual bool isDue(std::size_t rank, framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
