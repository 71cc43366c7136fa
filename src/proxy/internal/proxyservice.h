#pragma once

#include "proxy/internal/answertimeestimator.h"
#include "proxy/internal/firsteventestimator.h"
#include "proxy/internal/gatewayplaces.h"
#include "proxy/internal/heldsources.h"
#include "proxy/internal/iactiverequestowner.h"
#include "proxy/internal/teamlabels.h"
#include "proxy/iproxyservice.h"
#include "proxy/types/proxycontext.h"

#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

/// Owns all requests in flight, and keeps the averages of each route that they share.
class ProxyService final : public IProxyService, public IActiveRequestOwner
{
public:
    explicit ProxyService(const ProxyContext &context);
    ~ProxyService() override;

    Ticket start(ClientRequest request, std::unique_ptr<IResponseWriter> response) override;
    void abandon(Ticket ticket) override;
    void endBy(framework::TimePoint end) override { m_end = end; }
    void beginDrain() override { m_draining = true; }
    void endAll() override;
    std::size_t activeRequests() const override { return m_requests.size(); }

    bool isDraining() const override { return m_draining; }
    void onRequestEnded(ActiveRequest &request) override;
    std::uint32_t relativeWorth(const framework::RouteId &route,
                                framework::TokenCount size) override;
    FirstEventEstimator &firstEvents() override { return m_firstEvents; }
    AnswerTimeEstimator &answerTimes() override { return m_answerTimes; }
    framework::TimePoint end() const override { return m_end; }
    HeldSources &heldSources() override { return m_heldSources; }
    TeamLabels &teamLabels() override { return m_teamLabels; }
    GatewayPlaces &places() override { return m_places; }

private:
    ProxyContext m_context;
    HeldSources m_heldSources;
    TeamLabels m_teamLabels;
    GatewayPlaces m_places;
    Ticket m_nextTicket = 1;
    bool m_draining = false;
    std::unordered_map<Ticket, std::unique_ptr<ActiveRequest>> m_requests;
    /// Ended requests that wait for their destruction by m_cleanupTimer.
    std::vector<std::unique_ptr<ActiveRequest>> m_ended;
    std::unique_ptr<framework::ITimer> m_cleanupTimer;
    /// Moving average of the request size of each route, in weighted tokens.
    std::unordered_map<framework::RouteId, double> m_averageSizes;
    FirstEventEstimator m_firstEvents;
    AnswerTimeEstimator m_answerTimes;
    framework::TimePoint m_end = framework::TimePoint::never();
};

} // namespace lavendertally::proxy
