#include "proxy/internal/requestreport.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "proxy/internal/backendattempt.h"
#include "proxy/internal/requestplan.h"
#include "proxy/internal/teamlabels.h"
#include "proxy/types/clientrequest.h"
#include "serving/types/servingconfiguration.h"

#include <string>

namespace lavendertally::proxy {

void RequestReport::write(const ProxyContext &context, TeamLabels &teams) const
{
    const std::string route = plan.route != nullptr ? plan.route->id.value() : std::string();
    const std::string version =
        plan.configuration ? std::to_string(plan.configuration->version().value()) : "none";
    const SourcePacer &pacer = attempt.pacer();
    context.logger.info("request ended",
                        {{"request", request.id.value()},
                         {"route", route},
                         {"route_kind", plan.kindName()},
                         {"team", plan.teamId().value()},
                         {"configuration", version},
                         {"configuration_age_ms", std::to_string(configurationAge.value())},
                         {"outcome", outcome},
                         {"backend_server", attempt.server().value()},
                         {"attempts", std::to_string(attempts)},
                         {"stages_ms", std::to_string(stagesTime.value())},
                         {"passed_on_bytes", std::to_string(pacer.written().value())},
                         {"held_back_ms", std::to_string(pacer.heldTime().value())},
                         {"elapsed_ms", std::to_string(elapsed.value())}});
    context.metrics.increment("lavendertally_requests_total",
                              {{"route", route},
                               {"route_kind", plan.kindName()},
                               {"team", teams.of(plan.teamId())},
                               {"outcome", outcome}});
}

} // namespace lavendertally::proxy
