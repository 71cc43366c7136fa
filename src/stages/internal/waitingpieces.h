#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace lavendertally::stages {

/// Counts the pieces of all jobs that wait to be sent, by service and due time, so that the work
/// ahead of a job is found without visiting the other jobs.
class WaitingPieces
{
public:
    /// \param due due time of the pieces' job
    /// \param change pieces added; negative if they no longer wait
    void change(const framework::ServiceId &service, framework::TimePoint due, std::int64_t change);

    /// \return number of waiting pieces that are due at \p due or earlier, including those that are
    /// due within the same few milliseconds
    std::int64_t dueBy(const framework::ServiceId &service, framework::TimePoint due) const;

private:
    /// Number of pieces by due time in units of a fixed width.
    using Counts = std::map<std::int64_t, std::int64_t>;

    std::unordered_map<framework::ServiceId, Counts> m_counts;
};

} // namespace lavendertally::stages
