#pragma once

#include "framework/types/timepoint.h"
#include "routing/types/promptpart.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::bench {

/// Kind of requests to model servers, by urgency.
enum class ModelKind
{
    Urgent,
    Short,
    Medium,
};

/// One request of the work bench; drawn once and played to every selector.
struct ModelRequest
{
    double atMs = 0.0;
    std::size_t gateway = 0;
    ModelKind kind = ModelKind::Urgent;
    /// All parts of the prompt; the last is its own.
    std::vector<routing::PromptPart> parts;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::int64_t lengthHint = 0;
    std::int64_t tokensPerEvent = 8;
    /// Time left of the objective when the request is sent to its server.
    double objectiveLeftMs = 0.0;
    /// Time after which its client gives up if nothing has been read of its prompt.
    double timeoutMs = 0.0;
    /// Longest pause between two events that counts as in time.
    double maxPauseMs = 0.0;
    /// Whether it belongs to the largest tenth of the prompts of its kind.
    bool isLarge = false;
};

} // namespace lavendertally::bench
