#pragma once

namespace lavendertally::replication {

enum class SourceMode;

/// Reads a topic from the store into a TopicReplica.
class ITopicSource
{
public:
    virtual ~ITopicSource() = default;

    /// Sets how the store is read; a call under way is finished in any case.
    virtual void setMode(SourceMode mode) = 0;
};

} // namespace lavendertally::replication
