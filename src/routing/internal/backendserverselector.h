#pragma once

#include "routing/ibackendserverselector.h"
#include "routing/internal/serverstate.h"

#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::routing {

class IServerFilter;

/// Selects by estimated load, recent failures and availability zone. Prompts with a shared prefix
/// go to the same backend server while its load stays within a bound above the average.
class BackendServerSelector final : public IBackendServerSelector
{
public:
    BackendServerSelector(const membership::IBackendServers &servers,
                          ratelimit::IServerRateLimits &rateLimits, framework::IRandom &random,
                          std::vector<IServerFilter *> filters);

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

private:
    struct Candidate
    {
        const membership::BackendServerEntry *entry = nullptr;
        ServerState *state = nullptr;
        double utilisation = 0.0;
    };
    using Candidates = std::vector<Candidate>;

    const Candidate &choose(const Candidates &candidates, const ServerQuery &query);
    const Candidate &relieved(const Candidate &chosen, const Candidates &candidates,
                              const ServerQuery &query);
    Candidates usable(const ServerQuery &query, framework::TimePoint now);
    Candidates preferredOf(const Candidates &candidates, const ServerQuery &query,
                           framework::TimePoint now) const;
    std::vector<const membership::BackendServerEntry *> permitted(const ServerQuery &query,
                                                                  framework::TimePoint now) const;
    const Candidate &lowestCost(const Candidates &candidates, const ServerQuery &query);
    static const Candidate *byAffinity(const Candidates &candidates, const ServerQuery &query);
    void eraseStatesOfNonAdmitting();

    const membership::IBackendServers &m_servers;
    ratelimit::IServerRateLimits &m_rateLimits;
    framework::IRandom &m_random;
    std::vector<IServerFilter *> m_filters;
    std::unordered_map<framework::BackendServerId, ServerState> m_states;
};

} // namespace lavendertally::routing
