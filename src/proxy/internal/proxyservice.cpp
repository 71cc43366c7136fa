#include "proxy/internal/proxyservice.h"

#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "proxy/internal/requestrun.h"
#include "proxy/iresponsewriter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::proxy {

namespace {

/// Weight of the newest request in the usual size.
constexpr double NewestWeight = 0.05;

/// Until a route has been seen: an empty engine's time for a prompt of some thousand tokens.
constexpr framework::Milliseconds AssumedFirstEventTime{150};

/// A request is worth this much whatever its size, and the rest by its size (users' price sheet).
constexpr double FixedWorth = 0.3;
constexpr double MaxWorth = 4.0;
constexpr double Hundredths = 100.0;

} // namespace

ProxyService::ProxyService(const ProxyContext &context) : m_context(context) { }

ProxyService::~ProxyService() = default;

ProxyService::Ticket ProxyService::start(ClientRequest request,
                                         std::unique_ptr<IResponseWriter> reply)
{
    const Ticket ticket = m_nextTicket++;
    auto run = std::make_unique<RequestRun>(m_context, *this, ticket, std::move(request),
                                            std::move(reply));
    RequestRun &started = *run;
    m_runs.emplace(ticket, std::move(run));
    started.start();
    return ticket;
}

void ProxyService::abandon(Ticket ticket)
{
    const auto found = m_runs.find(ticket);
    if (found != m_runs.end()) {
        found->second->abandon();
    }
}

void ProxyService::endAll()
{
    std::vector<Ticket> tickets;
    for (const auto &[ticket, run] : m_runs) {
        tickets.push_back(ticket);
    }
    for (const Ticket ticket : tickets) {
        const auto found = m_runs.find(ticket);
        if (found != m_runs.end()) {
            found->second->end("shutting down");
        }
    }
}

void ProxyService::onRunEnded(RequestRun &run)
{
    auto node = m_runs.extract(run.ticket());
    if (node.empty()) {
        return;
    }
    m_ended.push_back(std::move(node.mapped()));
    m_endedTimer =
        m_context.scheduler.callAfter(framework::Milliseconds(0), [this] { m_ended.clear(); });
}

std::uint32_t ProxyService::worthOf(const framework::RouteId &route, framework::TokenCount size)
{
    const auto value = static_cast<double>(std::max<std::int64_t>(size.value(), 1));
    double &usual = m_usualSizes.try_emplace(route, value).first->second;
    usual = (1.0 - NewestWeight) * usual + NewestWeight * value;
    const double worth = std::min(MaxWorth, FixedWorth + (1.0 - FixedWorth) * value / usual);
    return static_cast<std::uint32_t>(std::lround(worth * Hundredths));
}

framework::Milliseconds ProxyService::firstEventTime(const framework::RouteId &route) const
{
    const auto found = m_firstEventTimes.find(route);
    if (found == m_firstEventTimes.end()) {
        return AssumedFirstEventTime;
    }
    return framework::Milliseconds(std::llround(found->second));
}

void ProxyService::observeFirstEvent(const framework::RouteId &route, framework::Milliseconds taken)
{
    const auto value = static_cast<double>(taken.value());
    double &usual = m_firstEventTimes.try_emplace(route, value).first->second;
    usual = (1.0 - NewestWeight) * usual + NewestWeight * value;
}

} // namespace lavendertally::proxy
