#pragma once

namespace lavendertally::replication {

class ITopicSource;
class TopicReplica;

/// Copy of a topic and what fills it from the store; both outlive this.
struct ReplicatedTopic
{
    TopicReplica &replica;
    ITopicSource &source;
};

} // namespace lavendertally::replication
