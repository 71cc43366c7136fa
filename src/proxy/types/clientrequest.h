#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "http/types/httpheaders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::proxy {

/// A client's request that is forwarded to a backend server.
struct ClientRequest
{
    framework::RequestId id;
    std::string method;
    /// Path and query as they came.
    std::string target;
    std::string path;
    std::string hostName;
    /// Header fields that are passed on unchanged.
    http::HttpHeaders headers;
    std::string body;
    framework::ApiKey key;
    /// How long the client waits.
    std::optional<framework::Milliseconds> timeLeft;
    /// Last event that the client has of a stream that it resumes.
    std::optional<framework::StreamEventId> lastEventId;
    framework::TokenCount promptTokens;
    framework::TokenCount maxOutputTokens;
    /// Hash of the longest part of the prompt that other requests share; zero if there is none.
    std::uint64_t promptPrefixHash = 0;
    /// Pieces of each stage, by the stage's number.
    std::vector<std::uint32_t> pieces;
    framework::StageInputId stageInput;
};

} // namespace lavendertally::proxy
