#pragma once

#include "standins/internal/completionusage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lavendertally::standins {

/// \return server-sent event with a part of the text
std::string chunkEvent(const std::string &text);

/// \return server-sent event that ends the text
std::string finalEvent(const CompletionUsage &usage);

/// \return server-sent event that ends the stream
std::string doneEvent();

/// \return body of a completion that is not streamed
nlohmann::json wholeCompletion(const std::string &text, const CompletionUsage &usage);

/// \return name of a prompt prefix in cache events
std::string prefixHash(const std::string &prefix);

} // namespace lavendertally::standins
