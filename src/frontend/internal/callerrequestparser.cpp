#include "frontend/internal/callerrequestparser.h"

#include "framework/hash.h"
#include "framework/types/errorcontext.h"
#include "frontend/types/frontenderror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lavendertally::frontend {

namespace {

constexpr std::size_t MaxIdLength = 128;
constexpr std::size_t MaxPromptParts = 64;
constexpr std::size_t MaxPromptPartLength = 128;
constexpr std::int64_t MaxDeadlineMs = 24LL * 60 * 60 * 1000;
constexpr std::array<std::string_view, 8> KnownKeys = {"request_id",  "team",         "pipeline",
                                                       "deadline_ms", "issued_at_ms", "input",
                                                       "stream",      "prompt_parts"};

framework::leaf::error_id invalid(const std::string &message)
{
    return framework::leaf::new_error(FrontendError::InvalidBody, framework::ErrorContext{message});
}

framework::Result<std::string> readId(const nlohmann::json &document, const char *key)
{
    const auto member = document.find(key);
    if (member == document.end() || !member->is_string()) {
        return invalid(std::string(key) + ": expected a string");
    }
    auto value = member->get<std::string>();
    if (value.empty() || value.size() > MaxIdLength) {
        return invalid(std::string(key) + ": expected 1 to " + std::to_string(MaxIdLength)
                       + " bytes");
    }
    return value;
}

/// \return milliseconds from 1 to \p maximum, or zero if the key is absent
framework::Result<std::int64_t> readMilliseconds(const nlohmann::json &document, const char *key,
                                                 std::int64_t maximum)
{
    const auto member = document.find(key);
    if (member == document.end()) {
        return 0;
    }
    if (!member->is_number_unsigned() || member->get<std::uint64_t>() == 0
        || member->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum)) {
        return invalid(std::string(key) + ": expected whole milliseconds from 1 to "
                       + std::to_string(maximum));
    }
    return member->get<std::int64_t>();
}

bool isPromptPart(const nlohmann::json &value)
{
    if (!value.is_string()) {
        return false;
    }
    const std::size_t length = value.get_ref<const std::string &>().size();
    return length > 0 && length <= MaxPromptPartLength;
}

/// \param input whole input of the request; counts as the only part if the caller names none
framework::Result<std::vector<framework::PromptPartId>>
readPromptParts(const nlohmann::json &document, const std::string &input)
{
    std::vector<framework::PromptPartId> parts;
    const auto member = document.find("prompt_parts");
    if (member == document.end()) {
        parts.emplace_back(framework::stableHash(input));
        return parts;
    }
    if (!member->is_array() || member->size() > MaxPromptParts
        || !std::all_of(member->begin(), member->end(), isPromptPart)) {
        return invalid("prompt_parts: expected at most " + std::to_string(MaxPromptParts)
                       + " strings of 1 to " + std::to_string(MaxPromptPartLength) + " bytes");
    }
    for (const nlohmann::json &part : *member) {
        parts.emplace_back(framework::stableHash(part.get_ref<const std::string &>()));
    }
    return parts;
}

framework::Result<void> checkKeys(const nlohmann::json &document)
{
    for (const auto &[key, value] : document.items()) {
        if (std::find(KnownKeys.begin(), KnownKeys.end(), key) == KnownKeys.end()) {
            return invalid(key.substr(0, MaxIdLength) + ": unknown key");
        }
    }
    return {};
}

} // namespace

framework::Result<pipeline::CallerRequest> CallerRequestParser::parse(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return invalid("body: expected a JSON object");
    }
    BOOST_LEAF_CHECK(checkKeys(document));
    BOOST_LEAF_AUTO(requestId, readId(document, "request_id"));
    BOOST_LEAF_AUTO(team, readId(document, "team"));
    BOOST_LEAF_AUTO(pipelineId, readId(document, "pipeline"));
    BOOST_LEAF_AUTO(deadline, readMilliseconds(document, "deadline_ms", MaxDeadlineMs));
    BOOST_LEAF_AUTO(issuedAt, readMilliseconds(document, "issued_at_ms", INT64_MAX));
    const auto input = document.find("input");
    if (input == document.end()) {
        return invalid("input: expected a JSON value");
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean()) {
        return invalid("stream: expected true or false");
    }
    std::string inputText = input->dump();
    BOOST_LEAF_AUTO(promptParts, readPromptParts(document, inputText));
    pipeline::CallerRequest request;
    request.id = framework::RequestId(std::move(requestId));
    request.team = framework::TeamId(std::move(team));
    request.pipeline = framework::PipelineId(std::move(pipelineId));
    request.deadline = framework::Milliseconds(deadline);
    request.issuedAt = framework::TimePoint(issuedAt);
    request.input = std::move(inputText);
    request.promptParts = std::move(promptParts);
    request.stream = stream != document.end() && stream->get<bool>();
    return request;
}

} // namespace lavendertally::frontend
