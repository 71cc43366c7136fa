#include "protocol/refusalreasonname.h"

namespace lavendertally::protocol {

const char *refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::Cold:
        return "cold";
    case RefusalReason::Full:
        return "full";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::ZoneOut:
        return "zone_out";
    case RefusalReason::HostOut:
        return "host_out";
    case RefusalReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::UnknownPipeline:
        return "unknown_pipeline";
    case RefusalReason::UnknownTeam:
        return "unknown_team";
    case RefusalReason::UnknownService:
        return "unknown_service";
    case RefusalReason::InvalidRequest:
        return "invalid_request";
    case RefusalReason::TooLarge:
        return "too_large";
    case RefusalReason::NoCapacity:
        return "no_capacity";
    case RefusalReason::LogUnavailable:
        return "log_unavailable";
    case RefusalReason::ClaimedElsewhere:
        return "claimed_elsewhere";
    case RefusalReason::NotReady:
        return "not_ready";
    case RefusalReason::Unreachable:
        return "unreachable";
    case RefusalReason::PromptQuarantined:
        return "prompt_quarantined";
    }
    return "none";
}

} // namespace lavendertally::protocol
