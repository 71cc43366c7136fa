#include "proxy/internal/gatewayplaces.h"

#include "admission/admissionmodule.h"
#include "admission/iplaceadmission.h"
#include "admission/types/placelimits.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "proxy/internal/iplacewaiter.h"
#include "proxy/internal/placerefusaltext.h"
#include "proxy/internal/teamlabels.h"
#include "proxy/types/proxycontext.h"

namespace lavendertally::proxy {

namespace {

/// A line for each refused request would be thousands a second in an overload, and the line that
/// ends a request names the cause as well.
constexpr framework::Milliseconds RefusalLogInterval{1000};

const char *nameOf(admission::ReturnTiming timing)
{
    switch (timing) {
    case admission::ReturnTiming::OnTime:
        return "on time";
    case admission::ReturnTiming::Early:
        return "early";
    case admission::ReturnTiming::Late:
        return "late";
    case admission::ReturnTiming::None:
        break;
    }
    return "none";
}

} // namespace

GatewayPlaces::GatewayPlaces(const ProxyContext &context, TeamLabels &teams)
    : m_context(context), m_teams(teams), m_capacity(context),
      m_admission(admission::AdmissionModule::makePlaceAdmission(m_capacity, context.random,
                                                                 admission::PlaceLimits()))
{ }

GatewayPlaces::~GatewayPlaces() = default;

admission::PlaceDecision GatewayPlaces::offer(const admission::PlaceRequest &request,
                                              IPlaceWaiter &waiter)
{
    const framework::TimePoint now = m_context.clock.now();
    admission::PlaceDecision decision = m_admission->offer(request, now);
    reportReturn(request, decision.timing);
    if (decision.verdict != admission::AdmissionVerdict::Wait) {
        report(request, decision, framework::Milliseconds(0));
    } else {
        m_waiting[request.key] = {request, &waiter, now};
    }
    if (const framework::TimePoint wake = m_admission->nextWake(now);
        !m_waiting.empty() && wake != framework::TimePoint::never()) {
        scheduleDecisions(wake - now);
    }
    return decision;
}

void GatewayPlaces::cancelWaiting(const admission::PlaceRequest &request)
{
    if (m_waiting.erase(request.key) > 0) {
        m_admission->cancelWaiting(request);
    }
}

void GatewayPlaces::callStarted(const framework::ServiceId &service,
                                const framework::BackendServerId &server)
{
    m_admission->callStarted(service, server, m_context.clock.now());
}

void GatewayPlaces::callEnded(const framework::ServiceId &service,
                              const framework::BackendServerId &server, bool isRefused)
{
    m_admission->callEnded(service, server, isRefused, m_context.clock.now());
    scheduleDecisions(framework::Milliseconds(0));
}

void GatewayPlaces::answered(const admission::PlaceRequest &request,
                             framework::Milliseconds serviceTime)
{
    m_admission->answered(request, serviceTime, m_context.clock.now());
}

void GatewayPlaces::observeLoad(const framework::ServiceId &service,
                                const framework::BackendServerId &server,
                                const admission::ReportedLoad &load)
{
    m_admission->observeLoad(service, server, load, m_context.clock.now());
    scheduleDecisions(framework::Milliseconds(0));
}

void GatewayPlaces::observeNoLoad(const framework::ServiceId &service)
{
    m_admission->observeNoLoad(service, m_context.clock.now());
    scheduleDecisions(framework::Milliseconds(0));
}

framework::Milliseconds GatewayPlaces::retryAfter(const admission::PlaceRequest &request)
{
    return m_admission->returnTime(request, m_context.limits.retryAfter, m_context.clock.now());
}

/// Decisions are told from the event loop, never from within a call of a request.
void GatewayPlaces::scheduleDecisions(framework::Milliseconds delay)
{
    const framework::TimePoint due = m_context.clock.now() + delay;
    if (m_waiting.empty() || (m_timer && m_timerDue <= due)) {
        return;
    }
    m_timerDue = due;
    m_timer = m_context.scheduler.callAfter(delay, [this] { decide(); });
}

void GatewayPlaces::decide()
{
    m_timer.reset();
    const framework::TimePoint now = m_context.clock.now();
    for (const admission::PlaceDecision &decision : m_admission->takeDecisions(now)) {
        // A request that was told before may have ended this one.
        const auto node = m_waiting.extract(decision.key);
        if (node.empty()) {
            continue;
        }
        const Waiting &waiting = node.mapped();
        report(waiting.request, decision, now - waiting.since);
        waiting.waiter->onPlaceDecided(decision);
    }
    const framework::TimePoint wake = m_admission->nextWake(now);
    if (wake != framework::TimePoint::never()) {
        scheduleDecisions(wake - now);
    }
}

void GatewayPlaces::report(const admission::PlaceRequest &request,
                           const admission::PlaceDecision &decision, framework::Milliseconds waited)
{
    const std::string rank = std::to_string(request.rank.value());
    const std::string team = m_teams.of(request.team);
    if (waited.value() > 0) {
        m_context.metrics.observe(
            "lavendertally_place_wait_ms",
            {{"service", request.service.value()}, {"rank", rank}, {"team", team}}, waited);
    }
    if (decision.verdict == admission::AdmissionVerdict::Run) {
        m_context.metrics.increment(
            "lavendertally_places_admitted_total",
            {{"service", request.service.value()}, {"rank", rank}, {"team", team}});
        return;
    }
    m_context.metrics.increment("lavendertally_place_refusals_total",
                                {{"service", request.service.value()},
                                 {"rank", rank},
                                 {"team", team},
                                 {"cause", textOf(decision.refusal)}});
    logRefusal(request, decision);
}

void GatewayPlaces::reportReturn(const admission::PlaceRequest &request,
                                 admission::ReturnTiming timing)
{
    if (timing == admission::ReturnTiming::None) {
        return;
    }
    m_context.metrics.increment("lavendertally_returns_total",
                                {{"service", request.service.value()},
                                 {"rank", std::to_string(request.rank.value())},
                                 {"team", m_teams.of(request.team)},
                                 {"timing", nameOf(timing)}});
}

void GatewayPlaces::logRefusal(const admission::PlaceRequest &request,
                               const admission::PlaceDecision &decision)
{
    const framework::TimePoint now = m_context.clock.now();
    RefusalLog &log = m_refusalLogs[{request.service, decision.refusal}];
    ++log.unwritten;
    if (now - log.writtenAt < RefusalLogInterval) {
        return;
    }
    m_context.logger.info("requests refused for lack of places",
                          {{"service", request.service.value()},
                           {"cause", textOf(decision.refusal)},
                           {"requests", std::to_string(log.unwritten)},
                           {"rank", std::to_string(request.rank.value())},
                           {"team", request.team.value()},
                           {"retry_after_ms", std::to_string(decision.retryAfter.value())},
                           {"time_left_ms", std::to_string((request.deadline - now).value())}});
    log = {now, 0};
}

} // namespace lavendertally::proxy
