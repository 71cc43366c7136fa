#pragma once

#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "framework/types/timepoint.h"
#include "membership/types/backendserverentry.h"
#include "rollout/internal/rolloutcase.h"
#include "rollout/internal/servicetraffic.h"
#include "rollout/testing/generatedcase.h"
#include "rollout/testing/generatedoutcome.h"

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numbers>
#include <string>
#include <vector>

namespace lavendertally::rollout {

/// Plays a rollout with all its decisions, but without messages: reports and steps take 100 ms.
class RolloutSimulation
{
public:
    explicit RolloutSimulation(const GeneratedCase &settings)
        : m_case(settings), m_random(framework::FrameworkModule::makeRandom(settings.seed))
    {
        addServers("v1");
        addServers("v2");
        RolloutBounds bounds;
        bounds.exposureShare = m_case.exposureShare;
        bounds.exposureSlack = m_case.exposureSlack;
        const RolloutOrder order{Service, Target, m_case.duration, {}};
        for (std::size_t gateway = 0; gateway < m_case.gateways; ++gateway) {
            m_gateways.push_back(
                std::make_unique<ServiceTraffic>(Service, bounds, m_case.seed * 1000 + gateway));
            m_gateways.back()->setServers(m_entries);
            m_gateways.back()->setOrder(order, Start);
        }
        m_decisions = std::make_unique<RolloutCase>(RolloutPlan(bounds, m_case.duration));
    }

    GeneratedOutcome run()
    {
        m_outcome.decidedAt = m_case.duration;
        m_outcome.fiftiethBad = framework::Milliseconds(-1);
        constexpr framework::Milliseconds Tick{100};
        for (m_now = Start; m_now - Start < m_case.duration; m_now = m_now + Step) {
            endCalls();
            if ((m_now - Start).value() % Tick.value() == 0) {
                decide();
            }
            m_credit += m_case.requestsPerSecond * static_cast<double>(Step.value()) / 1000.0;
            for (; m_credit >= 1.0; m_credit -= 1.0) {
                send();
            }
        }
        m_outcome.step = m_step;
        return m_outcome;
    }

private:
    static constexpr framework::Milliseconds Step{10};
    static constexpr framework::TimePoint Start{1000000};
    inline static const framework::ServiceId Service{"s"};
    inline static const framework::SoftwareVersion Target{"v2"};

    struct Call
    {
        std::size_t gateway = 0;
        const membership::BackendServerEntry *server = nullptr;
        framework::RouteId route;
        AnswerQuality quality = AnswerQuality::Sound;
        framework::Milliseconds time;
        bool isBad = false;
    };

    void addServers(const char *version)
    {
        for (std::size_t each = 0; each < m_case.servers; ++each) {
            membership::BackendServerEntry entry;
            entry.id =
                framework::BackendServerId(std::string(version) + "-" + std::to_string(m_case.seed)
                                           + "-" + std::to_string(each));
            entry.service = Service;
            entry.version = framework::SoftwareVersion(version);
            entry.incarnation = framework::Incarnation(std::string(version) == "v1" ? 1 : 2);
            m_servers.push_back(std::make_unique<membership::BackendServerEntry>(entry));
            m_entries.push_back(m_servers.back().get());
        }
    }

    double uniform()
    {
        constexpr std::uint64_t Steps = 1U << 30;
        return (static_cast<double>(m_random->below(Steps)) + 0.5) / static_cast<double>(Steps);
    }
    double normal()
    {
        return std::sqrt(-2.0 * std::log(uniform())) * std::cos(2.0 * std::numbers::pi * uniform());
    }

    void send()
    {
        const std::size_t gateway = m_random->below(m_case.gateways);
        ServiceTraffic &traffic = *m_gateways[gateway];
        std::vector<const membership::BackendServerEntry *> allowed;
        std::vector<const membership::BackendServerEntry *> preferred;
        for (const membership::BackendServerEntry *server : m_entries) {
            if (traffic.admits(*server)) {
                (traffic.isPreferred(*server) ? preferred : allowed).push_back(server);
            }
        }
        const auto &choice = preferred.empty() ? allowed : preferred;
        const membership::BackendServerEntry *server = choice.at(m_random->below(choice.size()));
        traffic.callStarted(*server);
        ++m_outcome.sent;
        const bool toTarget = server->version == Target;
        if (toTarget) {
            ++m_outcome.sentToTarget;
            m_outcome.lastToTarget = m_now - Start;
            noteLoad(server->id);
        }
        const Call call = answer(gateway, server);
        m_calls.emplace(m_now + call.time, call);
    }

    /// Keeps when the server got its requests of the last second.
    void noteLoad(const framework::BackendServerId &server)
    {
        auto &times = m_load[server];
        times.push_back(m_now);
        while (m_now - times.front() > framework::Milliseconds(500)) {
            times.pop_front();
        }
    }

    Call answer(std::size_t gateway, const membership::BackendServerEntry *server)
    {
        const std::size_t route = m_random->below(m_case.routes);
        double time = m_case.medianMs * std::pow(1.5, static_cast<double>(route))
            * std::exp(m_case.spread * normal());
        const bool isBad = server->version == Target && isBadNow(server->id, route);
        bool hasFailed = uniform() < m_case.ordinaryFailures;
        if (isBad) {
            hasFailed = hasFailed || uniform() < m_case.version.failureShare;
            time *= m_case.version.slowdown;
        }
        Call call{gateway,
                  server,
                  framework::RouteId("r" + std::to_string(route)),
                  hasFailed ? AnswerQuality::Failed : AnswerQuality::Sound,
                  framework::Milliseconds(static_cast<std::int64_t>(std::ceil(time))),
                  false};
        call.isBad = isBad && (hasFailed || m_case.version.slowdown > 1.0);
        return call;
    }

    bool isBadNow(const framework::BackendServerId &server, std::size_t route) const
    {
        const GeneratedVersion &version = m_case.version;
        if (version.isOneRouteBad && route != 0) {
            return false;
        }
        switch (version.onset) {
        case GeneratedVersion::Onset::Never:
            return false;
        case GeneratedVersion::Onset::AtOnce:
            return true;
        case GeneratedVersion::Onset::Late:
            return m_now - Start >= version.badFrom;
        case GeneratedVersion::Onset::UnderLoad:
            break;
        }
        const double fullLoad =
            m_case.requestsPerSecond / 2.0 / static_cast<double>(m_case.servers);
        return static_cast<double>(m_load.at(server).size()) > 0.5 * fullLoad;
    }

    void endCalls()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= m_now) {
            const Call call = m_calls.begin()->second;
            m_calls.erase(m_calls.begin());
            ServiceTraffic &traffic = *m_gateways[call.gateway];
            traffic.answered(call.server->id, call.route, call.quality, call.time);
            traffic.callEnded(call.server->id);
            if (call.isBad && ++m_outcome.badAnswers == 50) {
                m_outcome.fiftiethBad = m_now - Start;
            }
        }
    }

    void decide()
    {
        // What was decided at the last tick has arrived by now.
        for (const auto &gateway : m_gateways) {
            gateway->raise(m_step);
            gateway->tick(m_gateways.size(), m_now);
            gateway->judgeOwnEvidence(m_now);
        }
        RolloutSituation situation;
        situation.step = m_step;
        situation.elapsed = m_now - Start;
        situation.targetServers = m_case.servers;
        situation.otherServers = m_case.servers;
        for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
            const framework::DaemonId id("g" + std::to_string(gateway));
            situation.registered.insert(id);
            // Reports of the last tick are weighed before those of this one arrive.
            m_reported[id] = m_gateways[gateway]->report({}, m_now);
        }
        m_decisions->weigh(m_now);
        const protocol::RolloutStep step = m_decisions->decide(situation, m_now).step;
        for (const auto &[id, report] : m_reported) {
            m_decisions->reports().merge(id, 1, report, m_now);
        }
        if (step >= protocol::RolloutStep::RolledBack && m_step < step) {
            m_outcome.decidedAt = m_now - Start;
        }
        m_step = std::max(m_step, step);
    }

    GeneratedCase m_case;
    std::unique_ptr<framework::IRandom> m_random;
    std::vector<std::unique_ptr<membership::BackendServerEntry>> m_servers;
    std::vector<const membership::BackendServerEntry *> m_entries;
    std::vector<std::unique_ptr<ServiceTraffic>> m_gateways;
    std::unique_ptr<RolloutCase> m_decisions;
    std::map<framework::DaemonId, protocol::RolloutServiceReport> m_reported;
    std::multimap<framework::TimePoint, Call> m_calls;
    std::map<framework::BackendServerId, std::deque<framework::TimePoint>> m_load;
    protocol::RolloutStep m_step = protocol::RolloutStep::Waiting;
    framework::TimePoint m_now;
    double m_credit = 0.0;
    GeneratedOutcome m_outcome;
};

} // namespace lavendertally::rollout
