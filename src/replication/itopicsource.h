#pragma once

namespace lavendertally::replication {

/// Reads a topic from the store into a TopicReplica.
class ITopicSource
{
public:
    virtual ~ITopicSource() = default;

    /// \param active whether the store is read; a call under way is finished in any case
    virtual void setActive(bool active) = 0;
};

} // namespace lavendertally::replication
