#pragma once

#include "admission/admissionmodule.h"
#include "admission/iplaceadmission.h"
#include "admission/iservicecapacity.h"
#include "admission/types/placelimits.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::admission {

/// A kind of caller in a PlaceFleet.
struct CallerKind
{
    std::string team = "t";
    std::string route = "r";
    std::uint64_t rank = 0;
    /// Mean time between two fresh requests of all callers of the kind, in microseconds.
    std::int64_t intervalUs = 10'000;
    std::int64_t serviceMs = 100;
    std::int64_t timeGivenMs = 1000;
    bool heedsRetryAfter = true;
};

/// What the callers of one kind got.
struct CallerResult
{
    std::uint32_t fresh = 0;
    /// Answered within their time.
    std::uint32_t served = 0;
    std::uint32_t refusals = 0;
    std::uint32_t returnsOnTime = 0;
    /// Connections that closed although the request had been passed on.
    std::uint32_t closedPassedOn = 0;
    std::uint32_t closedWaiting = 0;
    std::int64_t longestHeldWithoutServiceMs = 0;

    double servedShare() const { return fresh == 0 ? 1.0 : double(served) / double(fresh); }
};

/// Gateways that share the servers of one service, and callers that repeat refused requests at
/// gateways chosen at random. Advances in steps of a millisecond.
class PlaceFleet
{
public:
    struct Options
    {
        std::uint32_t gateways = 4;
        std::uint32_t servers = 4;
        std::uint32_t slots = 4;
        std::uint32_t serverQueue = 4;
        std::uint64_t seed = 1;
        /// Off for the comparison with gateways that pass everything on.
        bool isOn = true;
    };

    explicit PlaceFleet(const Options &options)
        : m_options(options), m_random(framework::FrameworkModule::makeRandom(options.seed))
    {
        m_servers.resize(options.servers);
        for (std::uint32_t index = 0; index < options.gateways; ++index) {
            auto gateway = std::make_unique<Gateway>(*this, options.seed + 1 + index);
            m_gateways.push_back(std::move(gateway));
        }
    }

    void setKinds(std::vector<CallerKind> kinds)
    {
        m_kinds = std::move(kinds);
        m_nextArrivalUs.assign(m_kinds.size(), m_now * 1000);
        m_results.resize(m_kinds.size());
    }
    void setServers(std::uint32_t servers) { m_usableServers = servers; }
    void stopReports() { m_areReportsOn = false; }
    void killGateway(std::uint32_t index)
    {
        m_gateways[index]->isAlive = false;
        for (auto &[id, request] : m_requests) {
            if (request.gateway == index && request.phase != Phase::Away) {
                CallerResult &result = m_results[request.kind];
                ++(request.phase == Phase::Waiting ? result.closedWaiting : result.closedPassedOn);
                request.phase = Phase::Done;
            }
        }
    }
    void resetResults() { m_results.assign(m_kinds.size(), {}); }
    const CallerResult &result(std::size_t kind) const { return m_results[kind]; }
    std::uint32_t serverRefusals() const { return m_serverRefusals; }
    std::uint32_t mostAtServers() const { return m_mostAtServers; }
    std::uint32_t decisionsOtherThanRun() const { return m_notRunAtOnce; }

    /// Ends all arrivals, and runs until every request has ended.
    void finish()
    {
        m_hasArrivals = false;
        run(4000);
        m_hasArrivals = true;
        m_nextArrivalUs.assign(m_kinds.size(), m_now * 1000);
    }

    void run(std::int64_t milliseconds)
    {
        for (const std::int64_t end = m_now + milliseconds; m_now < end; ++m_now) {
            if (m_hasArrivals) {
                startArrivals();
            }
            stepServers();
            stepRequests();
            for (std::uint32_t index = 0; index < m_gateways.size(); ++index) {
                pump(index);
            }
            std::erase_if(m_requests,
                          [](const auto &entry) { return entry.second.phase == Phase::Done; });
        }
    }

private:
    enum class Phase
    {
        Away,
        Waiting,
        AtServer,
        Done,
    };
    struct Request
    {
        std::size_t kind = 0;
        Phase phase = Phase::Away;
        std::int64_t firstAt = 0;
        std::int64_t returnAt = 0;
        std::int64_t waitingSince = 0;
        std::uint32_t gateway = 0;
        PlaceRequest place;
    };
    struct Call
    {
        std::uint64_t request = 0;
        std::uint32_t gateway = 0;
        std::int64_t leftMs = 0;
        std::int64_t started = 0;
    };
    struct Server
    {
        std::vector<Call> calls;
    };
    class Gateway final : public IServiceCapacity
    {
    public:
        Gateway(PlaceFleet &fleet, std::uint64_t seed)
            : m_fleet(fleet), random(framework::FrameworkModule::makeRandom(seed)),
              places(AdmissionModule::makePlaceAdmission(*this, *random, PlaceLimits()))
        { }
        std::vector<ServerSlots> servers(const framework::ServiceId & /*service*/) const override
        {
            std::vector<ServerSlots> result;
            for (std::size_t index = 0; index < m_fleet.usableServers(); ++index) {
                result.push_back({serverId(index), m_fleet.m_options.slots});
            }
            return result;
        }
        bool isModelEngine(const framework::ServiceId & /*service*/) const override { return true; }
        std::size_t gatewayCount() const override { return m_fleet.m_gateways.size(); }
        std::optional<std::uint32_t>
        maxCalls(const framework::ServiceId & /*service*/) const override
        {
            return std::nullopt;
        }

    private:
        PlaceFleet &m_fleet;

    public:
        std::unique_ptr<framework::IRandom> random;
        std::unique_ptr<IPlaceAdmission> places;
        std::map<std::string, std::uint32_t> ownCalls;
        /// Calls of other gateways at each server by its last report.
        std::map<std::string, std::uint32_t> otherCalls;
        std::uint32_t knownCalls(std::size_t server)
        {
            const std::string id = serverId(server).value();
            return ownCalls[id] + otherCalls[id];
        }
        bool isAlive = true;
    };

    static framework::BackendServerId serverId(std::size_t index)
    {
        return framework::BackendServerId("b" + std::to_string(index));
    }
    static framework::ServiceId service() { return framework::ServiceId("s"); }
    framework::TimePoint now() const { return framework::TimePoint(1'000'000 + m_now); }
    std::size_t usableServers() const
    {
        return std::min<std::size_t>(m_usableServers, m_servers.size());
    }

    void startArrivals()
    {
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            while (m_nextArrivalUs[kind] <= m_now * 1000) {
                const std::int64_t interval = m_kinds[kind].intervalUs;
                m_nextArrivalUs[kind] += 1
                    + static_cast<std::int64_t>(m_random->below(
                        static_cast<std::uint64_t>(2 * interval)));
                ++m_results[kind].fresh;
                Request request;
                request.kind = kind;
                request.firstAt = m_now;
                request.returnAt = m_now;
                m_requests.emplace(m_nextRequest++, request);
            }
        }
    }
    void stepRequests()
    {
        for (auto &[id, request] : m_requests) {
            const CallerKind &kind = m_kinds[request.kind];
            const bool isOver = m_now >= request.firstAt + kind.timeGivenMs;
            if (request.phase == Phase::Done || request.phase == Phase::AtServer) {
                continue;
            }
            if (isOver) {
                if (request.phase == Phase::Waiting) {
                    m_gateways[request.gateway]->places->cancelWaiting(request.place);
                    m_byAttempt.erase(request.place.key);
                    noteHeld(request);
                }
                request.phase = Phase::Done;
            } else if (request.phase == Phase::Away && m_now >= request.returnAt) {
                offer(id, request);
            }
        }
    }
    void noteHeld(const Request &request)
    {
        CallerResult &result = m_results[request.kind];
        result.longestHeldWithoutServiceMs =
            std::max(result.longestHeldWithoutServiceMs, m_now - request.waitingSince);
    }
    void offer(std::uint64_t id, Request &request)
    {
        const CallerKind &kind = m_kinds[request.kind];
        do {
            request.gateway = static_cast<std::uint32_t>(m_random->below(m_gateways.size()));
        } while (!m_gateways[request.gateway]->isAlive);
        PlaceRequest &place = request.place;
        place.key = {{}, framework::AttemptId(m_nextAttempt++)};
        if (m_options.isOn) {
            m_byAttempt[place.key] = id;
        }
        place.service = service();
        place.route = framework::RouteId(kind.route);
        place.team = framework::TeamId(kind.team);
        place.rank = framework::PriorityRank(kind.rank);
        place.timeGiven = framework::Milliseconds(request.firstAt + kind.timeGivenMs - m_now);
        place.deadline = now() + place.timeGiven;
        place.size = framework::TokenCount(kind.serviceMs);
        request.waitingSince = m_now;
        request.phase = Phase::Waiting;
        if (!m_options.isOn) {
            send(id, request);
            return;
        }
        const PlaceDecision decision = m_gateways[request.gateway]->places->offer(place, now());
        m_results[request.kind].returnsOnTime += decision.timing == ReturnTiming::OnTime ? 1 : 0;
        m_notRunAtOnce += decision.verdict == AdmissionVerdict::Run ? 0 : 1;
        if (decision.verdict != AdmissionVerdict::Wait) {
            m_byAttempt.erase(place.key);
        }
        decide(id, request, decision);
    }
    void decide(std::uint64_t id, Request &request, const PlaceDecision &decision)
    {
        if (decision.verdict == AdmissionVerdict::Run) {
            send(id, request);
        } else if (decision.verdict == AdmissionVerdict::Refuse) {
            noteHeld(request);
            refused(request, decision.retryAfter.value());
        }
    }
    void refused(Request &request, std::int64_t retryAfter)
    {
        constexpr std::int64_t OwnBackoff = 20;
        const CallerKind &kind = m_kinds[request.kind];
        ++m_results[request.kind].refusals;
        const std::int64_t left = request.firstAt + kind.timeGivenMs - m_now;
        const bool heeds = kind.heedsRetryAfter && retryAfter <= left / 3;
        request.phase = Phase::Away;
        request.returnAt = m_now + (heeds ? retryAfter : OwnBackoff);
    }
    void send(std::uint64_t id, Request &request)
    {
        Gateway &gateway = *m_gateways[request.gateway];
        // The selector's choice in short: of two servers, that with fewer calls as far as known.
        std::size_t best = m_random->below(usableServers());
        const std::size_t other = m_random->below(usableServers());
        best = gateway.knownCalls(other) < gateway.knownCalls(best) ? other : best;
        Server &server = m_servers[best];
        ++gateway.ownCalls[serverId(best).value()];
        gateway.places->callStarted(service(), serverId(best), now());
        if (server.calls.size() >= m_options.slots + m_options.serverQueue) {
            ++m_serverRefusals;
            endCall(request.gateway, best, true);
            refused(request, 0);
            return;
        }
        request.phase = Phase::AtServer;
        server.calls.push_back({id, request.gateway, m_kinds[request.kind].serviceMs, m_now});
        m_mostAtServers =
            std::max(m_mostAtServers, static_cast<std::uint32_t>(server.calls.size()));
    }
    void endCall(std::uint32_t gateway, std::size_t server, bool isRefused)
    {
        Gateway &owner = *m_gateways[gateway];
        const std::uint32_t own = owner.ownCalls[serverId(server).value()];
        --owner.ownCalls[serverId(server).value()];
        if (!owner.isAlive) {
            return;
        }
        // The call that ends is among those that the server reports.
        const auto running =
            static_cast<std::uint32_t>(m_servers[server].calls.size()) + (isRefused ? 0 : 1);
        if (m_areReportsOn) {
            owner.otherCalls[serverId(server).value()] = running - std::min(running, own);
            const std::uint32_t waiting = running - std::min(running, m_options.slots);
            owner.places->observeLoad(service(), serverId(server),
                                      {running - waiting, waiting, m_options.slots}, now());
        }
        owner.places->callEnded(service(), serverId(server), isRefused, now());
    }
    void stepServers()
    {
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            std::vector<Call> &calls = m_servers[index].calls;
            for (std::size_t call = 0; call < std::min<std::size_t>(calls.size(), m_options.slots);
                 ++call) {
                --calls[call].leftMs;
            }
            for (std::size_t call = 0; call < calls.size();) {
                if (calls[call].leftMs > 0) {
                    ++call;
                    continue;
                }
                const Call ended = calls[call];
                calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(call));
                endCall(ended.gateway, index, false);
                answered(ended);
            }
        }
    }
    void answered(const Call &call)
    {
        const auto found = m_requests.find(call.request);
        if (found == m_requests.end() || found->second.phase != Phase::AtServer) {
            return;
        }
        Request &request = found->second;
        request.phase = Phase::Done;
        const CallerKind &kind = m_kinds[request.kind];
        m_results[request.kind].served += m_now <= request.firstAt + kind.timeGivenMs ? 1 : 0;
        m_gateways[call.gateway]->places->answered(
            request.place, framework::Milliseconds(m_now - call.started), now());
    }
    void pump(std::uint32_t index)
    {
        if (!m_gateways[index]->isAlive) {
            return;
        }
        for (const PlaceDecision &decision : m_gateways[index]->places->takeDecisions(now())) {
            const auto node = m_byAttempt.extract(decision.key);
            const std::uint64_t id = node.empty() ? 0 : node.mapped();
            const auto found = m_requests.find(id);
            if (found != m_requests.end() && found->second.phase == Phase::Waiting) {
                decide(id, found->second, decision);
            }
        }
    }

    Options m_options;
    std::unique_ptr<framework::IRandom> m_random;
    std::int64_t m_now = 0;
    std::vector<Server> m_servers;
    std::size_t m_usableServers = SIZE_MAX;
    bool m_areReportsOn = true;
    bool m_hasArrivals = true;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<CallerKind> m_kinds;
    std::vector<std::int64_t> m_nextArrivalUs;
    std::vector<CallerResult> m_results;
    std::map<std::uint64_t, Request> m_requests;
    std::map<WorkKey, std::uint64_t> m_byAttempt;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextAttempt = 1;
    std::uint32_t m_serverRefusals = 0;
    std::uint32_t m_mostAtServers = 0;
    std::uint32_t m_notRunAtOnce = 0;
};

} // namespace lavendertally::admission
