#pragma once

#include "framework/types/ids.h"
#include "infrastructure/types/logpage.h"
#include "infrastructure/types/streamname.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lavendertally::infrastructure {

/// Streams of a log service in memory, which several FakeLogService share as several processes
/// share the platform's log.
class FakeLog
{
public:
    /// Appends records as one unit.
    /// \return offset of the first one
    framework::LogOffset append(const StreamName &name, const std::vector<std::string> &records)
    {
        Stream &stream = m_streams[name];
        const framework::LogOffset first(stream.end());
        stream.records.insert(stream.records.end(), records.begin(), records.end());
        for (const auto &[id, listener] : std::map(m_listeners)) {
            listener();
        }
        return first;
    }

    /// Drops the records before \p first, which must not be greater than the end.
    void expireUpTo(const StreamName &name, framework::LogOffset first)
    {
        Stream &stream = m_streams[name];
        const std::uint64_t kept = std::max(stream.first, std::min(first.value(), stream.end()));
        stream.records.erase(stream.records.begin(),
                             stream.records.begin()
                                 + static_cast<std::ptrdiff_t>(kept - stream.first));
        stream.first = kept;
    }

    /// \return offset of the oldest record kept
    framework::LogOffset first(const StreamName &name) const
    {
        const auto found = m_streams.find(name);
        return framework::LogOffset(found == m_streams.end() ? 0 : found->second.first);
    }

    /// \return offset of the next append
    framework::LogOffset end(const StreamName &name) const
    {
        const auto found = m_streams.find(name);
        return framework::LogOffset(found == m_streams.end() ? 0 : found->second.end());
    }

    /// \return offset of the next append of each stream
    std::map<StreamName, framework::LogOffset> ends() const
    {
        std::map<StreamName, framework::LogOffset> result;
        for (const auto &[name, stream] : m_streams) {
            result[name] = framework::LogOffset(stream.end());
        }
        return result;
    }

    /// \return records kept, in order
    std::vector<std::string> records(const StreamName &name) const
    {
        const auto found = m_streams.find(name);
        return found == m_streams.end() ? std::vector<std::string>() : found->second.records;
    }

    /// \return the page from \p from on, as a replica that has got to \p end gives it
    LogPage page(const StreamName &name, framework::LogOffset from, std::uint32_t limit,
                 framework::LogOffset end) const
    {
        LogPage page;
        page.first = first(name);
        page.next = from;
        page.end = std::max(end, from);
        const auto stream = m_streams.find(name);
        while (stream != m_streams.end() && page.next < end && page.records.size() < limit) {
            const std::uint64_t index = page.next.value() - page.first.value();
            page.records.push_back({page.next, stream->second.records[index]});
            page.next = page.next.next();
        }
        return page;
    }

    /// Calls \p listener after each append until removeListener().
    std::uint64_t addListener(std::function<void()> listener)
    {
        m_listeners[++m_lastListener] = std::move(listener);
        return m_lastListener;
    }
    void removeListener(std::uint64_t id) { m_listeners.erase(id); }

private:
    struct Stream
    {
        std::uint64_t first = 0;
        std::vector<std::string> records;

        std::uint64_t end() const { return first + records.size(); }
    };

    std::map<StreamName, Stream> m_streams;
    std::uint64_t m_lastListener = 0;
    std::map<std::uint64_t, std::function<void()>> m_listeners;
};

} // namespace lavendertally::infrastructure
