#pragma once

#include "configuration/types/controlrecord.h"
#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <deque>
#include <optional>
#include <vector>

namespace lavendertally::configuration {

/// Buffer of the newest records of the control stream, from which peers that lag slightly catch up
/// without a snapshot.
class RecordBuffer
{
public:
    /// \param limit upper bound on the total size of the record data
    explicit RecordBuffer(framework::Bytes limit) : m_limit(limit) { }

    /// Appends the next record and evicts the oldest ones while the limit is exceeded.
    void push(const ControlRecord &record);

    /// Clears the buffer; the next record to be pushed has the offset \p next.
    void restartAt(framework::LogOffset next);

    /// \return the records from offset \p revision on, or nothing when some of them are not in the
    /// buffer
    std::optional<std::vector<ControlRecord>> since(framework::LogOffset revision) const;

private:
    framework::Bytes m_limit;
    framework::Bytes m_size;
    framework::LogOffset m_next;
    std::deque<ControlRecord> m_records;
};

} // namespace lavendertally::configuration
