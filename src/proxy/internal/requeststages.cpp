#include "proxy/internal/requeststages.h"

#include "framework/iclock.h"
#include "proxy/internal/requestplan.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "serving/types/route.h"
#include "stages/istageservice.h"

#include <map>
#include <utility>

namespace lavendertally::proxy {

RequestStages::RequestStages(const ProxyContext &context, const ClientRequest &request,
                             const RequestPlan &plan)
    : m_context(context), m_request(request), m_plan(plan)
{ }

std::uint32_t RequestStages::pieceCount(std::size_t stage) const
{
    return stage < m_request.pieces.size() ? m_request.pieces[stage] : 0;
}

bool RequestStages::hasPieces() const
{
    for (std::size_t stage = 0; stage < m_plan.route->stages.size(); ++stage) {
        if (pieceCount(stage) > 0) {
            return true;
        }
    }
    return false;
}

void RequestStages::start(protocol::StageJob job,
                          std::function<void(protocol::StageJobOutcome)> done)
{
    job.request = m_request.id;
    job.route = m_plan.route->id;
    job.input = m_request.stageInput;
    job.priority = m_plan.priority();
    for (std::size_t index = 0; index < m_plan.route->stages.size(); ++index) {
        const serving::StagePlan &stage = m_plan.route->stages[index];
        if (pieceCount(index) > 0) {
            job.stages.push_back({static_cast<std::uint32_t>(index),
                                  stage.service,
                                  {stage.after.begin(), stage.after.end()},
                                  pieceCount(index),
                                  stage.resultSize});
        }
    }
    m_running = true;
    m_started = m_context.clock.now();
    m_context.stages.start(
        job, [this, done = std::move(done)](const protocol::StageJobOutcome &outcome) {
            m_running = false;
            m_timeTaken += m_context.clock.now() - m_started;
            m_results = outcome.results;
            done(outcome);
        });
}

void RequestStages::cancel()
{
    if (std::exchange(m_running, false)) {
        m_context.stages.cancel(m_request.id);
    }
}

std::optional<framework::AvailabilityZoneId> RequestStages::zone() const
{
    std::map<framework::AvailabilityZoneId, std::size_t> counts;
    std::optional<framework::AvailabilityZoneId> zone;
    std::size_t most = 0;
    for (const protocol::StageResultPlace &place : m_results) {
        if (const std::size_t count = ++counts[place.zone]; count > most) {
            zone = place.zone;
            most = count;
        }
    }
    return zone;
}

void RequestStages::release()
{
    std::vector<framework::StageResultId> results;
    for (const protocol::StageResultPlace &place : std::exchange(m_results, {})) {
        results.push_back(place.id);
    }
    m_context.stages.release(results);
}

} // namespace lavendertally::proxy
