#include "platform/internal/backendservercodec.h"

#include "framework/types/errorcontext.h"
#include "platform/internal/jsonfields.h"
#include "platform/types/decodeerror.h"

#include <algorithm>
#include <charconv>

namespace lavendertally::platform {

namespace {

/// Bounds beyond which a number of a registration makes no sense.
constexpr std::int64_t MaxSlots = 1000000;
constexpr std::int64_t MaxColdMs = 86400000;

/// \return whether the text can stand in a header field
bool isHeaderValue(std::string_view text)
{
    constexpr std::size_t MaxLength = 200;
    return !text.empty() && text.size() <= MaxLength
        && std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

} // namespace

std::optional<framework::Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return framework::Endpoint{std::string(text.substr(0, colon)), port};
}

framework::Result<membership::BackendServerEntry>
decodeBackendServer(const std::string &id, std::string_view text, framework::TimePoint now)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    JsonFields fields(json, "entry");
    membership::BackendServerEntry entry;
    entry.id = framework::BackendServerId(id);
    entry.service = framework::ServiceId(fields.text("service"));
    entry.zone = framework::AvailabilityZoneId(fields.text("zone"));
    // A version of another type is no reason to do without the server.
    const nlohmann::json *version = fields.find("version");
    if (version != nullptr && version->is_string()) {
        entry.version = framework::SoftwareVersion(version->get<std::string>());
    }
    const std::int64_t slots = std::max<std::int64_t>(fields.integer("slots"), 1);
    const std::string state = fields.text("state");
    const std::int64_t cold = fields.integerOr("coldRemainingMs", 0);
    entry.incarnation =
        framework::Incarnation(static_cast<std::uint64_t>(fields.integerOr("born", 0)));
    entry.reports = framework::ReportNumber(
        static_cast<std::uint64_t>(std::max<std::int64_t>(fields.integerOr("sequence", 0), 0)));
    const std::string address = fields.text("address");
    const auto endpoint = parseEndpoint(address);
    if (!fields.isGood()) {
        return framework::leaf::new_error(DecodeError::Malformed,
                                          framework::ErrorContext{fields.problem()});
    }
    if (!isHeaderValue(id) || !isHeaderValue(address) || slots > MaxSlots || cold > MaxColdMs) {
        return framework::leaf::new_error(
            DecodeError::Malformed,
            framework::ErrorContext{"id, address or a number out of range"});
    }
    entry.slots = static_cast<std::uint32_t>(slots);
    if (cold > 0) {
        entry.coldUntil = now + framework::Milliseconds(cold);
    }
    if (!endpoint || (state != "ready" && state != "draining")) {
        return framework::leaf::new_error(DecodeError::Malformed,
                                          framework::ErrorContext{"address or state is not known"});
    }
    entry.endpoint = *endpoint;
    entry.state = state == "ready" ? membership::BackendServerState::Ready
                                   : membership::BackendServerState::Draining;
    return entry;
}

} // namespace lavendertally::platform
