#pragma once

#include "routing/ibackendserverselector.h"
#include "routing/internal/candidate.h"
#include "routing/internal/serverstate.h"
#include "routing/internal/utilisationchoice.h"
#include "routing/internal/workchoice.h"
#include "routing/internal/worktracker.h"

#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class IMetrics;
class IRandom;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::routing {

class IServerFilter;

/// Finds the backend servers that may be called now, and leaves the choice among them to
/// WorkChoice, where requests state their tokens and servers report how long work takes, and to
/// UtilisationChoice otherwise.
class BackendServerSelector final : public IBackendServerSelector
{
public:
    BackendServerSelector(const membership::IBackendServers &servers,
                          ratelimit::IServerRateLimits &rateLimits, framework::IRandom &random,
                          std::vector<IServerFilter *> filters, framework::IMetrics *metrics);

    framework::Result<membership::BackendServerEntry> select(const ServerQuery &query,
                                                             framework::TimePoint now) override;
    std::optional<framework::Milliseconds>
    rateLimitedInterval(const framework::ServiceId &service) const override;
    framework::Milliseconds pauseOf(const framework::ServiceId &service,
                                    framework::TimePoint now) const override;
    void observePause(const framework::BackendServerId &server,
                      framework::TimePoint until) override;
    bool isReady(const framework::BackendServerId &server) const override;
    void callStarted(const framework::BackendServerId &server, framework::TimePoint now) override;
    void responseStarted(const framework::BackendServerId &server, framework::TimePoint started,
                         framework::TimePoint now) override;
    void callEnded(const framework::BackendServerId &server, CallOutcome outcome,
                   framework::TimePoint now) override;
    void observeLoad(const framework::BackendServerId &server, const ServerLoad &load,
                     framework::TimePoint now) override;
    void observeRateLimit(const framework::BackendServerId &server,
                          std::optional<framework::RequestRate> rateLimit,
                          framework::TimePoint started, framework::TimePoint now) override;
    ICallWork &callWork() override { return m_work; }

private:
    IServerChoice &choiceFor(const ServerQuery &query);
    const Candidate &relieved(const Candidate &chosen, const Candidates &candidates,
                              const ServerQuery &query, framework::TimePoint now);
    Candidates usable(const ServerQuery &query, framework::TimePoint now);
    Candidates preferredOf(const Candidates &candidates, const ServerQuery &query,
                           framework::TimePoint now) const;
    std::vector<const membership::BackendServerEntry *> permitted(const ServerQuery &query,
                                                                  framework::TimePoint now) const;
    void eraseStatesOfNonAdmitting();

    const membership::IBackendServers &m_servers;
    ratelimit::IServerRateLimits &m_rateLimits;
    std::vector<IServerFilter *> m_filters;
    std::unordered_map<framework::BackendServerId, ServerState> m_states;
    WorkTracker m_work;
    UtilisationChoice m_byUtilisation;
    WorkChoice m_byWork;
};

} // namespace lavendertally::routing
