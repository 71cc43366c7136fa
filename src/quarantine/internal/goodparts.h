#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <optional>

namespace lavendertally::quarantine {

/// When answers last began with each prompt part. Bounded; the parts that were used longest ago are
/// dropped first.
class GoodParts
{
public:
    explicit GoodParts(std::size_t capacity) : m_capacity(capacity) { }

    void record(framework::PromptPartId part, framework::TimePoint now);

    /// \return when the last answer with \p part began; nothing if none is known
    std::optional<framework::TimePoint> lastAnswer(framework::PromptPartId part) const;

private:
    struct Entry
    {
        framework::PromptPartId part;
        framework::TimePoint at;
    };
    using Entries = boost::multi_index_container<
        Entry,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::member<Entry, framework::PromptPartId, &Entry::part>,
                std::hash<framework::PromptPartId>>,
            boost::multi_index::sequenced<>>>;

    std::size_t m_capacity;
    Entries m_entries;
};

} // namespace lavendertally::quarantine
