#include "configuration/internal/recordbuffer.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::configuration {

namespace {

framework::Bytes sizeOf(const ControlRecord &record)
{
    return framework::Bytes(static_cast<std::int64_t>(record.data.size()));
}

} // namespace

void RecordBuffer::push(const ControlRecord &record)
{
    m_records.push_back(record);
    m_size += sizeOf(record);
    m_next = record.offset.next();
    while (m_size > m_limit) {
        m_size -= sizeOf(m_records.front());
        m_records.pop_front();
    }
}

void RecordBuffer::restartAt(framework::LogOffset next)
{
    m_records.clear();
    m_size = framework::Bytes(0);
    m_next = next;
}

std::optional<std::vector<ControlRecord>> RecordBuffer::since(framework::LogOffset revision) const
{
    if (revision >= m_next) {
        return std::vector<ControlRecord>();
    }
    if (m_records.empty() || revision < m_records.front().offset) {
        return std::nullopt;
    }
    const auto skipped =
        static_cast<std::ptrdiff_t>(revision.value() - m_records.front().offset.value());
    return std::vector<ControlRecord>(m_records.begin() + skipped, m_records.end());
}

} // namespace lavendertally::configuration
