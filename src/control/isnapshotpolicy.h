#pragma once

#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::control {

/// Decides when an entry appends a snapshot of the state to the log, before the records that hold
/// the state expire. Entries take turns; duplicate snapshots are harmless.
class ISnapshotPolicy
{
public:
    virtual ~ISnapshotPolicy() = default;

    /// Records that a snapshot record has been read from the control stream.
    virtual void noteSnapshot(framework::TimePoint now) = 0;

    /// Records that this process starts to append a snapshot; the next attempt waits for the retry
    /// delay.
    virtual void noteAttempt(framework::TimePoint now) = 0;

    /// \param rank place of this entry in the order of turns; the first one has 0
    /// \return whether this entry is to write a snapshot now
    virtual bool isDue(std::size_t rank, framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
