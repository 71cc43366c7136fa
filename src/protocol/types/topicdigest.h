#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/statetopic.h"

#include <optional>

namespace lavendertally::protocol {

/// How fresh a daemon's copy of a topic is.
struct TopicDigest
{
    StateTopic topic = StateTopic::Operators;
    /// First offset after the last record that changed something.
    framework::LogOffset changed;
    /// First offset that the daemon does not know.
    framework::LogOffset next;
    /// Time since this was known to be the newest state.
    framework::Milliseconds age;
    /// Time since the topic could be read again after a time in which it could not; nothing if that
    /// was long ago.
    std::optional<framework::Milliseconds> returned;
    /// Time from the newest confirmation before that return until the return.
    framework::Milliseconds away;

    bool operator==(const TopicDigest &) const = default;
};

} // namespace lavendertally::protocol
