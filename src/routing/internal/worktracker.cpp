#include "routing/internal/worktracker.h"

#include "framework/imetrics.h"
#include "membership/ibackendservers.h"
#include "routing/internal/completionestimate.h"
#include "routing/internal/keptprompt.h"
#include "routing/internal/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace lavendertally::routing {

namespace {

/// Tokens of one event, as the platform states them; gateways see events only.
constexpr double TokensPerEvent = 8.0;
/// Prompts with fewer tokens to read say little about the speed of reading.
constexpr double MinReadSample = 1000.0;
/// The same for answers and the speed of writing.
constexpr std::uint32_t MinEventSample = 4;
/// Servers above which those that admit no work are forgotten.
constexpr std::size_t MaxTrackedServers = 4096;

const char *nameOf(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::LeastWork:
        return "least_work";
    case ChoiceReason::CachedPrompt:
        return "cached_prompt";
    case ChoiceReason::Zone:
        return "zone";
    }
    return "";
}

} // namespace

WorkTracker::WorkTracker(const membership::IBackendServers &servers, framework::IMetrics *metrics)
    : m_admitting(servers), m_metrics(metrics)
{ }

CallNumber WorkTracker::started(const framework::BackendServerId &server, const ServerQuery &query,
                                framework::TimePoint now)
{
    eraseServersOfNonAdmitting();
    ServerWork &target = m_servers[server];
    ServiceWork &service = m_services[query.service];
    Call call;
    call.server = server;
    call.service = query.service;
    call.work = query.work;
    call.started = now;
    if (query.work.isInTokens()) {
        const std::uint64_t hash = hashName(server.value());
        const double kept =
            m_chosen == server ? m_keptTokens : keptByOwnCalls(service, query.work, hash, now);
        call.tokensLeft = service.outputs().estimate(query.work);
        const CompletionEstimate estimate =
            CompletionEstimate::make(target, service, query.work, kept, call.tokensLeft, now);
        call.readTokens = estimate.readTokens;
        call.waitMs = estimate.waitMs;
        call.firstEventMs = estimate.firstEventMs;
        call.totalMs = estimate.totalMs();
        service.callStarted(query.work, call.readTokens);
        service.prompts().observeRequest(now);
        for (const PromptPart &part : query.work.parts) {
            service.prompts().observe(part.id, hash, now);
        }
        if (m_metrics != nullptr && m_chosen == server) {
            m_metrics->increment("lavendertally_server_choices_total",
                                 {{"reason", nameOf(m_reason)}});
        }
    }
    m_lastCall = m_lastCall.next();
    target.started(m_lastCall, call.readTokens, call.tokensLeft, call.firstEventMs, now);
    m_calls.emplace(m_lastCall, std::move(call));
    return m_lastCall;
}

void WorkTracker::eventReceived(CallNumber number, framework::TimePoint now)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    if (++call.events == 1) {
        firstEvent(call, now);
        m_servers[call.server].read(number);
    }
    call.lastEvent = now;
    // What was expected too little stays at zero.
    const double written = std::min(call.tokensLeft, TokensPerEvent);
    call.tokensLeft -= written;
    m_servers[call.server].written(written);
}

void WorkTracker::firstEvent(Call &call, framework::TimePoint now)
{
    call.firstEvent = now;
    if (!call.work.isInTokens()) {
        return;
    }
    const framework::Milliseconds taken = now - call.started;
    observeError("lavendertally_first_event_prediction_error_ms", call, call.firstEventMs, taken);
    const double reading = static_cast<double>(taken.value()) - call.waitMs;
    ServerSpeed &speed = m_servers[call.server].speed();
    const double present = speed.present(now);
    const double ratio =
        m_services[call.service].observeRead(call.readTokens, std::max(reading / present, 1.0));
    if (call.readTokens >= MinReadSample) {
        speed.observeRead(ratio, now);
    }
}

void WorkTracker::ended(CallNumber number, CallOutcome outcome, framework::TimePoint now)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    const Call &call = found->second;
    m_servers[call.server].ended(number, call.tokensLeft);
    if (outcome == CallOutcome::Succeeded) {
        learnLength(call, now);
    }
    m_calls.erase(found);
}

/// Only whole answers say how long answers are and how long a call takes.
void WorkTracker::learnLength(const Call &call, framework::TimePoint now)
{
    ServerSpeed &speed = m_servers[call.server].speed();
    ServiceWork &service = m_services[call.service];
    const framework::Milliseconds taken = now - call.started;
    if (!call.work.isInTokens()) {
        speed.observeCall(service.observeCall(call.work.route, static_cast<double>(taken.value())),
                          now);
        return;
    }
    if (call.events == 0) {
        return;
    }
    observeError("lavendertally_call_time_prediction_error_ms", call, call.totalMs, taken);
    if (!call.work.isContinued) {
        service.outputs().observe(call.work, call.events * TokensPerEvent);
    }
    if (call.events >= MinEventSample) {
        const auto writing = static_cast<double>((call.lastEvent - call.firstEvent).value());
        const double perToken = writing / ((call.events - 1) * TokensPerEvent);
        speed.observeWrite(service.observeWrite(perToken), now);
    }
}

void WorkTracker::observeError(std::string_view name, const Call &call, double expectedMs,
                               framework::Milliseconds actual)
{
    if (m_metrics == nullptr) {
        return;
    }
    const framework::Milliseconds error =
        actual - framework::Milliseconds(std::llround(expectedMs));
    const bool isLate = error > framework::Milliseconds(0);
    m_metrics->observe(
        name, {{"service", call.service.value()}, {"actual", isLate ? "later" : "earlier"}},
        isLate ? error : error * -1);
}

void WorkTracker::observeLoad(const framework::BackendServerId &server, const ServerLoad &load,
                              framework::TimePoint now)
{
    ServerWork &work = m_servers[server];
    work.observeLoad(load, now);
    const membership::BackendServerEntry *entry = m_admitting.findAdmitting(server);
    if (entry == nullptr) {
        return;
    }
    m_services[entry->service].loadReported(work);
    if (load.workTimePercent) {
        m_reportsWorkTime[entry->service] = true;
    }
}

void WorkTracker::chosen(const framework::BackendServerId &server, ChoiceReason reason,
                         double keptTokens)
{
    m_chosen = server;
    m_reason = reason;
    m_keptTokens = keptTokens;
}

bool WorkTracker::reportsWorkTime(const framework::ServiceId &service) const
{
    const auto found = m_reportsWorkTime.find(service);
    return found != m_reportsWorkTime.end() && found->second;
}

void WorkTracker::eraseServersOfNonAdmitting()
{
    if (m_servers.size() <= MaxTrackedServers) {
        return;
    }
    std::erase_if(m_servers, [this](const auto &entry) {
        return entry.second.ownCalls() == 0 && m_admitting.findAdmitting(entry.first) == nullptr;
    });
}

std::vector<ServerWorkView> WorkTracker::outstanding(std::size_t limit,
                                                     framework::TimePoint now) const
{
    std::vector<ServerWorkView> views;
    views.reserve(m_servers.size());
    for (const auto &[id, work] : m_servers) {
        views.push_back(work.view(id, now));
    }
    const std::size_t count = std::min(limit, views.size());
    std::partial_sort(
        views.begin(), views.begin() + static_cast<std::ptrdiff_t>(count), views.end(),
        [](const ServerWorkView &a, const ServerWorkView &b) {
            return std::tuple(b.unreadTokens + b.unwrittenTokens, b.ownCalls, a.server)
                < std::tuple(a.unreadTokens + a.unwrittenTokens, a.ownCalls, b.server);
        });
    views.resize(count);
    return views;
}

} // namespace lavendertally::routing
