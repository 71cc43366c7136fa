#include "platform/internal/backendservercodec.h"

#include "framework/types/errorcontext.h"
#include "platform/internal/jsonfields.h"
#include "platform/types/decodeerror.h"

#include <algorithm>
#include <charconv>

namespace lavendertally::platform {

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
    entry.slots = static_cast<std::uint32_t>(std::max<std::int64_t>(fields.integer("slots"), 1));
    const std::string state = fields.text("state");
    const std::int64_t cold = fields.integerOr("coldRemainingMs", 0);
    if (cold > 0) {
        entry.coldUntil = now + framework::Milliseconds(cold);
    }
    entry.incarnation =
        framework::Incarnation(static_cast<std::uint64_t>(fields.integerOr("born", 0)));
    entry.reports = framework::ReportNumber(
        static_cast<std::uint64_t>(std::max<std::int64_t>(fields.integerOr("sequence", 0), 0)));
    const auto endpoint = parseEndpoint(fields.text("address"));
    if (!fields.isGood()) {
        return framework::leaf::new_error(DecodeError::Malformed,
                                          framework::ErrorContext{fields.problem()});
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
