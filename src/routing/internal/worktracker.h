#pragma once

#include "framework/types/ids.h"
#include "routing/icallwork.h"
#include "routing/internal/choicereason.h"
#include "routing/internal/serverwork.h"
#include "routing/internal/servicework.h"
#include "routing/types/requestwork.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::routing {

/// Work of all backend servers and services, kept up to date from the calls of this daemon and the
/// reports of the servers.
class WorkTracker final : public ICallWork
{
public:
    /// \param metrics null if nothing is counted
    WorkTracker(const membership::IBackendServers &servers, framework::IMetrics *metrics);

    CallNumber started(const framework::BackendServerId &server, const ServerQuery &query,
                       framework::TimePoint now) override;
    void eventReceived(CallNumber call, framework::TimePoint now) override;
    void ended(CallNumber call, CallOutcome outcome, framework::TimePoint now) override;
    std::vector<ServerWorkView> outstanding(std::size_t limit,
                                            framework::TimePoint now) const override;

    void observeLoad(const framework::BackendServerId &server, const ServerLoad &load,
                     framework::TimePoint now);
    /// Reports the choice that the next call follows, if it is sent to \p server.
    /// \param keptTokens tokens of its prompt that the server probably keeps
    void chosen(const framework::BackendServerId &server, ChoiceReason reason, double keptTokens);

    ServerWork &server(const framework::BackendServerId &server) { return m_servers[server]; }
    ServiceWork &service(const framework::ServiceId &service) { return m_services[service]; }
    /// \return whether a server of \p service has reported how long work takes there
    bool reportsWorkTime(const framework::ServiceId &service) const;

private:
    /// A call that has not ended.
    struct Call
    {
        framework::BackendServerId server;
        framework::ServiceId service;
        RequestWork work;
        double readTokens = 0.0;
        double tokensLeft = 0.0;
        /// Expected time for the work ahead of this call.
        double waitMs = 0.0;
        double firstEventMs = 0.0;
        double totalMs = 0.0;
        framework::TimePoint started;
        framework::TimePoint firstEvent;
        framework::TimePoint lastEvent;
        std::uint32_t events = 0;
    };

    void firstEvent(Call &call, framework::TimePoint now);
    void learnLength(const Call &call, framework::TimePoint now);
    void observeError(std::string_view name, const Call &call, double expectedMs,
                      framework::Milliseconds actual);
    void eraseServersOfNonAdmitting();

    const membership::IBackendServers &m_admitting;
    framework::IMetrics *m_metrics;
    std::unordered_map<framework::BackendServerId, ServerWork> m_servers;
    std::unordered_map<framework::ServiceId, ServiceWork> m_services;
    std::unordered_map<framework::ServiceId, bool> m_reportsWorkTime;
    std::unordered_map<CallNumber, Call> m_calls;
    CallNumber m_lastCall;
    framework::BackendServerId m_chosen;
    ChoiceReason m_reason = ChoiceReason::LeastWork;
    double m_keptTokens = 0.0;
};

} // namespace lavendertally::routing
