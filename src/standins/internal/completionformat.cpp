#include "standins/internal/completionformat.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace lavendertally::standins {

namespace {

nlohmann::json choice(const std::string &text, const nlohmann::json &finishReason)
{
    return {{"index", 0}, {"text", text}, {"finish_reason", finishReason}};
}

nlohmann::json usageObject(const CompletionUsage &usage)
{
    return {{"prompt_tokens", usage.promptTokens.value()},
            {"completion_tokens", usage.completionTokens.value()}};
}

std::string event(const nlohmann::json &data)
{
    return "data: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

} // namespace

std::string chunkEvent(const std::string &text)
{
    return event({{"choices", nlohmann::json::array({choice(text, nullptr)})}});
}

std::string finalEvent(const CompletionUsage &usage)
{
    return event({{"choices", nlohmann::json::array({choice("", "length")})},
                  {"usage", usageObject(usage)}});
}

std::string doneEvent()
{
    return "data: [DONE]\n\n";
}

nlohmann::json wholeCompletion(const std::string &text, const CompletionUsage &usage)
{
    return {{"choices", nlohmann::json::array({choice(text, "length")})},
            {"usage", usageObject(usage)}};
}

std::string prefixHash(const std::string &prefix)
{
    return std::to_string(XXH64(prefix.data(), prefix.size(), 0));
}

} // namespace lavendertally::standins
