#include "routing/internal/backendserverselector.h"

#include "membership/ibackendservers.h"
#include "ratelimit/iserverratelimits.h"
#include "routing/iserverfilter.h"
#include "routing/types/routingerror.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavendertally::routing {

namespace {

/// Utilisation from which a server is relieved by others that limit their requests.
constexpr double BusyUtilisation = 0.2;
/// Number of states above which those of backend servers that admit no work are erased. Up to it
/// they are kept, since the backend servers may come back.
constexpr std::size_t MaxTrackedServers = 4096;

} // namespace

BackendServerSelector::BackendServerSelector(const membership::IBackendServers &servers,
                                             ratelimit::IServerRateLimits &rateLimits,
                                             framework::IRandom &random,
                                             std::vector<IServerFilter *> filters,
                                             framework::IMetrics *metrics)
    : m_servers(servers), m_rateLimits(rateLimits), m_filters(std::move(filters)),
      m_work(servers, metrics), m_byUtilisation(m_work, random), m_byWork(m_work, random)
{ }

framework::Result<membership::BackendServerEntry>
BackendServerSelector::select(const ServerQuery &query, framework::TimePoint now)
{
    Candidates candidates = usable(query, now);
    while (!candidates.empty()) {
        const Candidates preferred = preferredOf(candidates, query, now);
        const Candidate chosen =
            relieved(choiceFor(query).choose(preferred, query, now), preferred, query, now);
        // Asked only of the preferred one, so that permits go to where they are used.
        if (m_rateLimits.mayCall(chosen.entry->id, now)) {
            if (query.coldStartRate > 0.0 && now < chosen.entry->coldUntil) {
                chosen.state->takeColdStartToken(query.coldStartRate, now);
            }
            return *chosen.entry;
        }
        std::erase_if(candidates, [&chosen](const Candidate &candidate) {
            return candidate.entry == chosen.entry;
        });
    }
    return framework::leaf::new_error(RoutingError::NoAdmittingBackend);
}

/// \return the candidates that the filters prefer to the others
Candidates BackendServerSelector::preferredOf(const Candidates &candidates,
                                              const ServerQuery &query,
                                              framework::TimePoint now) const
{
    if (m_filters.empty()) {
        return candidates;
    }
    std::vector<const membership::BackendServerEntry *> servers;
    for (const Candidate &candidate : candidates) {
        servers.push_back(candidate.entry);
    }
    for (IServerFilter *filter : m_filters) {
        filter->prefer(query, servers, now);
    }
    Candidates preferred;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(preferred),
                 [&servers](const Candidate &candidate) {
                     return std::find(servers.begin(), servers.end(), candidate.entry)
                         != servers.end();
                 });
    return preferred;
}

/// Work is comparable only where requests state it. Servers that report no work time are those of
/// sites where calls are counted.
IServerChoice &BackendServerSelector::choiceFor(const ServerQuery &query)
{
    if (query.work.isInTokens() && m_work.reportsWorkTime(query.service)) {
        return m_byWork;
    }
    return m_byUtilisation;
}

/// Permits that are not used are lost for all daemons, and servers that limit their requests have
/// little to do; so these are preferred while \p chosen is busy.
const Candidate &BackendServerSelector::relieved(const Candidate &chosen,
                                                 const Candidates &candidates,
                                                 const ServerQuery &query, framework::TimePoint now)
{
    if (chosen.utilisation < BusyUtilisation || m_rateLimits.rateOf(chosen.entry->id)) {
        return chosen;
    }
    Candidates idle;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(idle),
                 [&](const Candidate &candidate) {
                     return m_rateLimits.rateOf(candidate.entry->id)
                         && candidate.utilisation < chosen.utilisation / 2.0;
                 });
    if (idle.empty()) {
        return chosen;
    }
    const membership::BackendServerEntry *best = m_byUtilisation.lowestCost(idle, query, now).entry;
    return *std::find_if(candidates.begin(), candidates.end(),
                         [best](const Candidate &candidate) { return candidate.entry == best; });
}

std::optional<framework::Milliseconds>
BackendServerSelector::rateLimitedInterval(const framework::ServiceId &service) const
{
    constexpr std::int64_t UnitMilliseconds = 1000000;
    framework::RequestRate total;
    for (const membership::BackendServerEntry *entry : m_servers.admitting(service)) {
        total += m_rateLimits.rateOf(entry->id).value_or(framework::RequestRate());
    }
    if (total.value() <= 0) {
        return std::nullopt;
    }
    return framework::Milliseconds(UnitMilliseconds / total.value());
}

/// \return backend servers that may be called now; if all of them are ejected, the one whose
/// ejection ends first
Candidates BackendServerSelector::usable(const ServerQuery &query, framework::TimePoint now)
{
    eraseStatesOfNonAdmitting();
    Candidates available;
    Candidates ejected;
    const std::vector<const membership::BackendServerEntry *> servers = permitted(query, now);
    available.reserve(servers.size());
    for (const membership::BackendServerEntry *entry : servers) {
        ServerState &state = m_states[entry->id];
        if (now < state.pausedUntil()) {
            continue;
        }
        const bool cold = query.coldStartRate > 0.0 && now < entry->coldUntil;
        if (cold && !state.hasColdStartToken(query.coldStartRate, now)) {
            continue;
        }
        const Candidate candidate{entry, &state, state.utilisation(entry->slots, now)};
        (state.isEjected(now) ? ejected : available).push_back(candidate);
    }
    if (!available.empty()) {
        return available;
    }
    std::sort(ejected.begin(), ejected.end(), [](const Candidate &a, const Candidate &b) {
        return a.state->ejectedUntil() < b.state->ejectedUntil();
    });
    if (ejected.size() > 1) {
        ejected.resize(1);
    }
    return ejected;
}

/// \return backend servers that admit work, are not excluded and pass the filters
std::vector<const membership::BackendServerEntry *>
BackendServerSelector::permitted(const ServerQuery &query, framework::TimePoint now) const
{
    std::vector<const membership::BackendServerEntry *> servers =
        m_servers.admitting(query.service);
    std::erase_if(servers, [&query](const membership::BackendServerEntry *entry) {
        return query.excluded.contains(entry->id);
    });
    for (IServerFilter *filter : m_filters) {
        filter->restrict(query, servers, now);
    }
    return servers;
}

framework::Milliseconds BackendServerSelector::pauseOf(const framework::ServiceId &service,
                                                       framework::TimePoint now) const
{
    framework::TimePoint first = framework::TimePoint::never();
    for (const membership::BackendServerEntry *entry : m_servers.admitting(service)) {
        const auto state = m_states.find(entry->id);
        first = std::min(first, state != m_states.end() ? state->second.pausedUntil() : now);
    }
    const bool areAllPaused = first > now && first != framework::TimePoint::never();
    return areAllPaused ? first - now : framework::Milliseconds(0);
}

void BackendServerSelector::observePause(const framework::BackendServerId &server,
                                         framework::TimePoint until)
{
    m_states[server].pause(until);
}

void BackendServerSelector::eraseStatesOfNonAdmitting()
{
    if (m_states.size() <= MaxTrackedServers) {
        return;
    }
    std::erase_if(m_states, [this](const auto &entry) {
        return m_servers.findAdmitting(entry.first) == nullptr;
    });
}

bool BackendServerSelector::isReady(const framework::BackendServerId &server) const
{
    return m_servers.isReady(server);
}

void BackendServerSelector::callStarted(const framework::BackendServerId &server,
                                        framework::TimePoint now)
{
    m_states[server].callStarted(now);
    m_rateLimits.callSent(server, now);
    const membership::BackendServerEntry *entry = m_servers.findAdmitting(server);
    for (IServerFilter *filter : m_filters) {
        if (entry != nullptr) {
            filter->callStarted(*entry, now);
        }
    }
}

void BackendServerSelector::responseStarted(const framework::BackendServerId &server,
                                            framework::TimePoint started, framework::TimePoint now)
{
    m_states[server].responseStarted(started, now);
}

void BackendServerSelector::callEnded(const framework::BackendServerId &server, CallOutcome outcome,
                                      framework::TimePoint now)
{
    m_states[server].callEnded(outcome, now);
    for (IServerFilter *filter : m_filters) {
        filter->callEnded(server, now);
    }
}

void BackendServerSelector::observeLoad(const framework::BackendServerId &server,
                                        const ServerLoad &load, framework::TimePoint now)
{
    m_states[server].observeLoad(load, now);
    m_work.observeLoad(server, load, now);
}

void BackendServerSelector::observeRateLimit(const framework::BackendServerId &server,
                                             std::optional<framework::RequestRate> rateLimit,
                                             framework::TimePoint started, framework::TimePoint now)
{
    m_rateLimits.observeAnswer(server, rateLimit, started, now);
}

} // namespace lavendertally::routing
