#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/statetopic.h"

#include <optional>

namespace lavendertally::protocol {

/// Summary of a daemon's replica of a topic, from which peers see whether theirs is out of date.
struct TopicDigest
{
    StateTopic topic = StateTopic::Operators;
    /// First offset after the last record that changed the state; later records are heartbeats.
    framework::LogOffset lastChangeEnd;
    /// First offset that has not been applied.
    framework::LogOffset next;
    /// Time since the replica was last confirmed to be complete.
    framework::Milliseconds age;
    /// Time since the end of the last outage of the store; nothing if that was long ago.
    std::optional<framework::Milliseconds> sinceRecovery;
    /// Duration of that outage, from the last confirmation before it.
    framework::Milliseconds outage;
    /// Era of the store to which the offsets belong.
    framework::StoreEra era = framework::StoreEra(0);

    bool operator==(const TopicDigest &) const = default;
};

} // namespace lavendertally::protocol
