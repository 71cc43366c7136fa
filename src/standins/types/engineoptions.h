#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "standins/types/coldstartoptions.h"

#include <cstdint>
#include <string>

namespace lavendertally::standins {

/// Speed, size and manners of a model engine.
struct EngineOptions
{
    std::string model = "m";
    /// Time of one step of a batch of one; each step makes one token for each sequence.
    framework::Milliseconds tokenInterval{5};
    /// Percent that each further sequence of the batch adds to a step.
    std::uint32_t batchSlowdownPercent = 2;
    framework::Milliseconds prefillTime{10};
    /// Percent of the prefill time that remains when the prefix is cached.
    std::uint32_t cachedPrefillPercent = 25;
    std::uint32_t maxBatch = 64;
    /// Tokens after which an answer ends by itself; zero means at the caller's limit.
    std::uint32_t answerTokens = 0;
    /// Sequences that wait; more are refused.
    std::uint32_t queueLimit = 256;
    /// Bytes of the prompt that make up its prefix.
    std::uint32_t prefixBytes = 256;
    /// Prefixes that the cache holds.
    std::uint32_t cacheEntries = 64;
    /// Time before a cache event can be read.
    framework::Milliseconds cacheEventDelay{200};
    /// Each cache event whose sequence is a multiple of this is lost; zero means none.
    std::uint32_t cacheEventGap = 10;
    /// Whether orders with an old fencing number are refused.
    bool checksFencing = true;
    /// Age of the load figures in its state.
    framework::Milliseconds reportLag;
    /// The engine crashes on prompts that contain this; empty: on none.
    std::string deadlyWord;
    /// Time after a crash until it listens again.
    framework::Milliseconds downTime{300};
    ColdStartOptions coldStart;
};

} // namespace lavendertally::standins
