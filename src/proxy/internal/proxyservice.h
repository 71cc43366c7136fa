#pragma once

#include "proxy/internal/irequestrunowner.h"
#include "proxy/iproxyservice.h"
#include "proxy/types/proxycontext.h"

#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

/// Keeps the runs of all requests under way.
class ProxyService final : public IProxyService, public IRequestRunOwner
{
public:
    explicit ProxyService(const ProxyContext &context);
    ~ProxyService() override;

    Ticket start(ClientRequest request, std::unique_ptr<IResponseWriter> reply) override;
    void abandon(Ticket ticket) override;
    void beginDrain() override { m_draining = true; }
    void endAll() override;
    std::size_t activeRequests() const override { return m_runs.size(); }

    bool isDraining() const override { return m_draining; }
    void onRunEnded(RequestRun &run) override;
    std::uint32_t worthOf(const framework::RouteId &route, framework::TokenCount size) override;
    framework::Milliseconds firstEventTime(const framework::RouteId &route) const override;
    void observeFirstEvent(const framework::RouteId &route, framework::Milliseconds taken) override;

private:
    ProxyContext m_context;
    Ticket m_nextTicket = 1;
    bool m_draining = false;
    std::unordered_map<Ticket, std::unique_ptr<RequestRun>> m_runs;
    std::vector<std::unique_ptr<RequestRun>> m_ended;
    std::unique_ptr<framework::ITimer> m_endedTimer;
    /// Smoothed size of the requests of each route.
    std::unordered_map<framework::RouteId, double> m_usualSizes;
    /// Smoothed time to the first event, in milliseconds.
    std::unordered_map<framework::RouteId, double> m_firstEventTimes;
};

} // namespace lavendertally::proxy
