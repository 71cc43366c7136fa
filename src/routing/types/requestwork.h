#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "routing/types/promptpart.h"

#include <optional>
#include <vector>

namespace lavendertally::routing {

/// What is known of the work of a request before it is sent.
struct RequestWork
{
    framework::RouteId route;
    framework::TeamId team;
    /// Size of the whole prompt; zero if the request does not state it.
    framework::TokenCount promptTokens;
    /// Parts of the prompt in their order; empty if they are not known. Tokens beyond them belong
    /// to no part that can be kept.
    std::vector<PromptPart> parts;
    /// Most tokens that the client takes; zero if it sets no limit.
    framework::TokenCount maxOutputTokens;
    /// The client's own estimate of the length of the answer.
    std::optional<framework::TokenCount> lengthHint;
    /// Time that is left of the latency objective.
    framework::Milliseconds objectiveLeft;
    /// Longest pause between two events that the request's stream tolerates; zero if any.
    framework::Milliseconds maxEventGap;

    /// Whether the call goes on with an answer that another one began, so that its length is not
    /// that of a whole answer.
    bool isContinued = false;

    /// \return whether the work can be stated in tokens
    bool isInTokens() const { return promptTokens > framework::TokenCount(0); }
};

} // namespace lavendertally::routing
