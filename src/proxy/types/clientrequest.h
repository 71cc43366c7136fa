#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "http/types/httpheaders.h"
#include "routing/types/promptpart.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::proxy {

/// A client request that is forwarded to a backend server.
struct ClientRequest
{
    framework::RequestId id;
    std::string method;
    /// Path and query as received.
    std::string target;
    /// Path without the query.
    std::string path;
    std::string hostName;
    /// Headers that are forwarded to the backend server unchanged.
    http::HttpHeaders headers;
    std::string body;
    framework::ApiKey key;
    /// Time that the client allows for the response; the route's timeout applies if it is shorter
    /// or if the client gives none.
    std::optional<framework::Milliseconds> timeLeft;
    /// Last event that the client received of a stream that it resumes.
    std::optional<framework::StreamEventId> lastEventId;
    framework::TokenCount promptTokens;
    framework::TokenCount maxOutputTokens;
    /// The client's estimate of the tokens of the answer.
    std::optional<framework::TokenCount> lengthHint;
    /// Hash of the prompt prefix that the request shares with others; zero if there is none. Used
    /// to route requests to a backend server that may have the prefix cached.
    std::uint64_t promptPrefixHash = 0;
    /// Parts of the prompt that other requests may share, in their order.
    std::vector<framework::PromptPartId> sharedPromptParts;
    /// All parts of the prompt in their order, with their sizes; empty if a size is missing.
    std::vector<routing::PromptPart> promptParts;
    /// Number of pieces of each stage, by the stage's index in the route.
    std::vector<std::uint32_t> pieces;
    /// Input of the stages that have no predecessors.
    framework::StageInputId stageInput;

    /// \return expected work, in tokens of the prompt
    framework::TokenCount weightedSize() const
    {
        /// Generating an output token takes about ten times as long as processing a prompt token.
        constexpr std::int64_t OutputTokenCost = 10;
        return promptTokens + maxOutputTokens * OutputTokenCost;
    }
};

} // namespace lavendertally::proxy
