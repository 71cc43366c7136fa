#pragma once

namespace lavendertally::replication {

class ITopicSource;
class TopicReplica;

/// Replica of a topic and the source that fills it from the store. Both outlive this.
struct ReplicatedTopic
{
    TopicReplica &replica;
    ITopicSource &source;
};

} // namespace lavendertally::replication
