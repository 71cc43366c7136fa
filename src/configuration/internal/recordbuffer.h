#pragma once

#include "configuration/types/controlrecord.h"
#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <deque>
#include <optional>
#include <vector>

namespace lavendertally::configuration {

/// The newest records of the control stream, for peers that are a little behind.
class RecordBuffer
{
public:
    /// \param limit bound on the data kept
    explicit RecordBuffer(framework::Bytes limit) : m_limit(limit) { }

    /// Adds the next record and drops the oldest ones past the limit.
    void push(const ControlRecord &record);

    /// Drops all; the next record to be added is at \p next.
    void restartAt(framework::LogOffset next);

    /// \return the records from \p revision on, or nothing when not all of them are kept
    std::optional<std::vector<ControlRecord>> since(framework::LogOffset revision) const;

private:
    framework::Bytes m_limit;
    framework::Bytes m_size;
    framework::LogOffset m_next;
    std::deque<ControlRecord> m_records;
};

} // namespace lavendertally::configuration
