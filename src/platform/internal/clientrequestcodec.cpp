#include "platform/internal/clientrequestcodec.h"

#include "framework/hash.h"
#include "framework/types/errorcontext.h"
#include "http/headerlookup.h"
#include "http/types/httprequesthead.h"
#include "platform/internal/headerrules.h"
#include "platform/internal/wirenames.h"
#include "platform/types/decodeerror.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace lavendertally::platform {

namespace {

/// Fields that this system sets for backend servers; whatever a client sends under these names must
/// not reach them.
constexpr std::array OwnFields = {
    wire::DeadlineMs, wire::ExpectInstance, wire::ExpectVersion, wire::Tenant, wire::ApiKey,
    wire::Inputs,     wire::Urgency,        wire::PinMs,         wire::KvHold, wire::KvBackup,
    wire::KvFrom,     wire::KvFetch,        wire::LastEventId};

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string_view> splitAtCommas(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view part = text.substr(0, comma);
        part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
        parts.push_back(part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

framework::leaf::error_id malformed(std::string_view name)
{
    return framework::leaf::new_error(
        DecodeError::Malformed, framework::ErrorContext{std::string(name) + " cannot be read"});
}

/// \return id of the part in \p entry, which also holds its size; spelled alike for equal ids
std::string partId(std::string_view entry)
{
    std::string id(entry.substr(0, entry.find(':')));
    id.erase(id.find_last_not_of(" \t") + 1);
    std::transform(id.begin(), id.end(), id.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return id;
}

/// \return tokens of the part in \p entry, or nothing
std::optional<std::int64_t> partTokens(std::string_view entry)
{
    const std::size_t colon = entry.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view size = entry.substr(colon + 1);
    size.remove_prefix(std::min(size.find_first_not_of(" \t"), size.size()));
    size = size.substr(0, size.find_last_not_of(" \t") + 1);
    return parseNumber(size);
}

/// Sizes only steer the choice of a server, so a prompt with an unreadable one is served as one
/// whose parts are not known.
void readPartSizes(std::string_view prefix, const std::vector<std::uint64_t> &parts,
                   proxy::ClientRequest &request)
{
    std::size_t index = 0;
    for (const std::string_view part : splitAtCommas(prefix)) {
        const auto tokens = partTokens(part);
        if (!tokens) {
            request.promptParts.clear();
            return;
        }
        request.promptParts.push_back(
            {framework::PromptPartId(parts[index++]), framework::TokenCount(*tokens)});
    }
}

/// The last part of a prompt is the request's or its session's own; the parts before are shared.
void readPromptParts(std::string_view prefix, proxy::ClientRequest &request)
{
    std::vector<std::uint64_t> parts;
    for (const std::string_view part : splitAtCommas(prefix)) {
        parts.push_back(framework::stableHash(partId(part)));
    }
    if (parts.empty()) {
        return;
    }
    readPartSizes(prefix, parts, request);
    request.promptPrefixHash = parts.size() > 1 ? parts[parts.size() - 2] : parts.back();
    parts.pop_back();
    for (const std::uint64_t part : parts) {
        request.sharedPromptParts.emplace_back(part);
    }
}

framework::Result<void> readNumbers(const http::HttpHeaders &headers, proxy::ClientRequest &request)
{
    if (const auto text = http::findHeader(headers, wire::DeadlineMs)) {
        const auto number = parseNumber(*text);
        if (!number) {
            return malformed(wire::DeadlineMs);
        }
        request.timeLeft = framework::Milliseconds(*number);
    }
    if (const auto text = http::findHeader(headers, wire::LastEventId)) {
        const auto number = parseNumber(*text);
        if (!number) {
            return malformed(wire::LastEventId);
        }
        request.lastEventId = framework::StreamEventId(static_cast<std::uint64_t>(*number));
    }
    if (const auto text = http::findHeader(headers, wire::TokenCount)) {
        const auto parts = splitAtCommas(*text);
        const auto prompt = parts.size() == 2 ? parseNumber(parts[0]) : std::nullopt;
        const auto output = parts.size() == 2 ? parseNumber(parts[1]) : std::nullopt;
        if (!prompt || !output) {
            return malformed(wire::TokenCount);
        }
        request.promptTokens = framework::TokenCount(*prompt);
        request.maxOutputTokens = framework::TokenCount(*output);
    }
    if (const auto text = http::findHeader(headers, wire::LengthHint)) {
        // A hint that cannot be read is none; the request does not depend on it.
        if (const auto number = parseNumber(*text)) {
            request.lengthHint = framework::TokenCount(*number);
        }
    }
    return {};
}

framework::Result<void> readPieces(const http::HttpHeaders &headers, proxy::ClientRequest &request)
{
    constexpr std::int64_t MaxPieces = 100000;
    const auto text = http::findHeader(headers, wire::Pieces);
    if (!text) {
        return {};
    }
    for (const std::string_view part : splitAtCommas(*text)) {
        const auto number = parseNumber(part);
        if (!number || *number > MaxPieces) {
            return malformed(wire::Pieces);
        }
        request.pieces.push_back(static_cast<std::uint32_t>(*number));
    }
    return {};
}

} // namespace

framework::Result<proxy::ClientRequest> decodeClientRequest(const http::HttpRequestHead &head,
                                                            std::string body)
{
    proxy::ClientRequest request;
    const auto id = http::findHeader(head.headers, wire::RequestId);
    if (!id || id->empty()) {
        return malformed(wire::RequestId);
    }
    request.id = framework::RequestId(std::string(*id));
    request.method = head.method;
    request.target = head.target;
    request.path = head.target.substr(0, head.target.find('?'));
    const std::string_view host = http::findHeader(head.headers, "Host").value_or("");
    request.hostName = std::string(host.substr(0, host.find(':')));
    request.headers = passedOnHeaders(head.headers, OwnFields);
    request.body = std::move(body);
    if (const auto key = http::findHeader(head.headers, wire::ApiKey)) {
        request.key = framework::ApiKey(std::string(*key));
    }
    if (const auto key = http::findHeader(head.headers, wire::PieceKey)) {
        request.stageInput = framework::StageInputId(std::string(*key));
    }
    if (const auto prefix = http::findHeader(head.headers, wire::PromptPrefix)) {
        readPromptParts(*prefix, request);
    }
    BOOST_LEAF_CHECK(readNumbers(head.headers, request));
    BOOST_LEAF_CHECK(readPieces(head.headers, request));
    return request;
}

} // namespace lavendertally::platform
