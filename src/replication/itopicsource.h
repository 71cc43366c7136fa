#pragma once

namespace lavendertally::replication {

enum class SourceMode;

/// Reads a topic from the store into a TopicReplica.
class ITopicSource
{
public:
    virtual ~ITopicSource() = default;

    /// Sets whether and for whom the store is read. A call in flight is completed in every mode.
    virtual void setMode(SourceMode mode) = 0;
};

} // namespace lavendertally::replication
