#include "proxy/internal/proxyservice.h"

#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "proxy/internal/activerequest.h"
#include "proxy/iresponsewriter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::proxy {

namespace {

/// Weight of the newest value in the exponential moving average.
constexpr double SmoothingFactor = 0.05;

/// Part of the worth of a request that does not depend on its size, as in the users' price list;
/// the rest is proportional to its size.
constexpr double FixedWorth = 0.3;
constexpr double MaxWorth = 4.0;
/// Worth is given in hundredths of that of an average request.
constexpr double WorthScale = 100.0;

} // namespace

ProxyService::ProxyService(const ProxyContext &context)
    : m_context(context), m_heldSources(m_context.metrics),
      m_teamLabels(m_context.limits.maxTeamLabels), m_places(m_context, m_teamLabels)
{ }

ProxyService::~ProxyService() = default;

ProxyService::Ticket ProxyService::start(ClientRequest request,
                                         std::unique_ptr<IResponseWriter> response)
{
    const Ticket ticket = m_nextTicket++;
    auto active = std::make_unique<ActiveRequest>(m_context, *this, ticket, std::move(request),
                                                  std::move(response));
    // The request may end within start() and is then no longer in m_requests.
    ActiveRequest &started = *active;
    m_requests.emplace(ticket, std::move(active));
    started.start();
    return ticket;
}

void ProxyService::abandon(Ticket ticket)
{
    const auto found = m_requests.find(ticket);
    if (found != m_requests.end()) {
        found->second->abandon();
    }
}

void ProxyService::endAll()
{
    // Ending a request removes it from m_requests.
    std::vector<Ticket> tickets;
    for (const auto &[ticket, request] : m_requests) {
        tickets.push_back(ticket);
    }
    for (const Ticket ticket : tickets) {
        const auto found = m_requests.find(ticket);
        if (found != m_requests.end()) {
            found->second->end("shutting down");
        }
    }
}

void ProxyService::onRequestEnded(ActiveRequest &request)
{
    auto node = m_requests.extract(request.ticket());
    if (node.empty()) {
        return;
    }
    // The request is still on the call stack, so it is destroyed from the event loop.
    m_ended.push_back(std::move(node.mapped()));
    if (m_ended.size() > 1) {
        // A timer that is set anew with each request would not fire while many end, and the ended
        // ones would fill the memory.
        return;
    }
    m_cleanupTimer = m_context.scheduler.callAfter(
        framework::Milliseconds(0), [this] { const auto gone = std::exchange(m_ended, {}); });
}

std::uint32_t ProxyService::relativeWorth(const framework::RouteId &route,
                                          framework::TokenCount size)
{
    const auto value = static_cast<double>(std::max<std::int64_t>(size.value(), 1));
    double &average = m_averageSizes.try_emplace(route, value).first->second;
    average = (1.0 - SmoothingFactor) * average + SmoothingFactor * value;
    const double worth = std::min(MaxWorth, FixedWorth + (1.0 - FixedWorth) * value / average);
    return static_cast<std::uint32_t>(std::lround(worth * WorthScale));
}

} // namespace lavendertally::proxy
