#include "platform/internal/rolloutcodec.h"

#include "framework/types/errorcontext.h"
#include "platform/internal/jsonfields.h"
#include "platform/types/decodeerror.h"

#include <cmath>
#include <optional>

namespace lavendertally::platform {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;
/// A rollout that takes longer than a day is a mistake in the unit.
constexpr double MaxDurationS = 86400.0;
constexpr std::size_t MaxVersionLength = 200;

constexpr const char *Running = "running";
constexpr const char *Completed = "completed";
constexpr const char *RolledBack = "rolled_back";

const char *stateName(rollout::RolloutState state)
{
    switch (state) {
    case rollout::RolloutState::Running:
        return Running;
    case rollout::RolloutState::Completed:
        return Completed;
    case rollout::RolloutState::RolledBack:
        return RolledBack;
    }
    return Running;
}

std::optional<rollout::RolloutState> stateNamed(const std::string &name)
{
    for (const auto state : {rollout::RolloutState::Running, rollout::RolloutState::Completed,
                             rollout::RolloutState::RolledBack}) {
        if (name == stateName(state)) {
            return state;
        }
    }
    return std::nullopt;
}

auto malformed(const std::string &problem)
{
    return framework::leaf::new_error(DecodeError::Malformed, framework::ErrorContext{problem});
}

} // namespace

framework::Result<rollout::RolloutOrder> decodeRolloutOrder(const framework::ServiceId &service,
                                                            std::string_view text,
                                                            const protocol::RolloutOrderId &id)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    JsonFields fields(json, "order");
    const std::string named =
        fields.find("service") == nullptr ? service.value() : fields.text("service");
    const std::string target = fields.text("target");
    const double duration = fields.number("durationS");
    if (!fields.isGood()) {
        return malformed(fields.problem());
    }
    if (service.isEmpty() || named != service.value()) {
        return malformed("the key names another service than the order");
    }
    if (target.empty() || target.size() > MaxVersionLength) {
        return malformed("target is empty or too long");
    }
    if (!(duration > 0.0) || duration > MaxDurationS) {
        return malformed("durationS is not between 0 and a day");
    }
    return rollout::RolloutOrder{
        service, framework::SoftwareVersion(target),
        framework::Milliseconds(std::llround(duration * MillisecondsPerSecond)), id};
}

std::string encodeRolloutStatus(const rollout::RolloutStatus &status)
{
    // Whoever reads the status needs state and target; the rest tells a later decider which order
    // it belongs to.
    return nlohmann::json({{"state", stateName(status.state)},
                           {"target", status.target.value()},
                           {"orderEra", status.order.era.value()},
                           {"orderOffset", status.order.offset.value()}})
        .dump();
}

framework::Result<rollout::RolloutStatus> decodeRolloutStatus(const framework::ServiceId &service,
                                                              std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    JsonFields fields(json, "status");
    rollout::RolloutStatus status;
    status.service = service;
    const auto state = stateNamed(fields.text("state"));
    status.target = framework::SoftwareVersion(fields.text("target"));
    status.order.era =
        framework::StoreEra(static_cast<std::uint64_t>(fields.integerOr("orderEra", 0)));
    status.order.offset =
        framework::LogOffset(static_cast<std::uint64_t>(fields.integerOr("orderOffset", 0)));
    if (!fields.isGood() || !state || service.isEmpty()) {
        return malformed(fields.isGood() ? "state or service is not known" : fields.problem());
    }
    status.state = *state;
    return status;
}

} // namespace lavendertally::platform
