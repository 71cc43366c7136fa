#pragma once

#include "connections/tests/connectionsfixture.h"
#include "connections/tests/simulatedgateway.h"
#include "framework/irandom.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace lavendertally::connections {

/// Gateways with random load in front of the servers of one service. Each learns late of gateways
/// that come or go.
class ConnectionFleet : public ConnectionsFixture
{
protected:
    void make(std::size_t gateways, std::size_t servers, std::uint32_t cap, std::uint64_t seed)
    {
        m_random = framework::FrameworkModule::makeRandom(seed);
        m_cap = cap;
        m_gateways.clear();
        m_leftAt.clear();
        setCap(cap);
        addServers(servers);
        for (std::size_t count = 0; count < gateways; ++count) {
            addStopped();
            startProcess(count);
        }
        relink();
        for (const auto &gateway : m_gateways) {
            gateway->informedAt = m_clock.now();
        }
        // A fleet that has been running for so long that leading gateways lend.
        constexpr framework::Milliseconds SettlingTime{60000};
        play(SettlingTime, 0);
    }
    void add()
    {
        addStopped();
        restart(m_gateways.size() - 1);
    }
    void addStopped()
    {
        const std::string name = "g" + std::to_string(1000 + m_gateways.size());
        m_gateways.push_back(
            std::make_unique<SimulatedGateway>(framework::DaemonId(name), m_clock));
        m_leftAt.push_back(framework::TimePoint::never());
    }
    /// The gateway stops without a word; its registration ends later.
    void stop(std::size_t index)
    {
        constexpr framework::Milliseconds RegistrationLifetime{25000};
        m_gateways[index]->isRunning = false;
        m_gateways[index]->start(nullptr, nullptr);
        m_leftAt[index] = m_clock.now() + RegistrationLifetime;
        relink();
    }
    void restart(std::size_t index)
    {
        startProcess(index);
        relink();
        registrationsChanged();
        m_gateways[index]->informedAt = m_clock.now();
    }
    void startProcess(std::size_t index)
    {
        SimulatedGateway &gateway = *m_gateways[index];
        gateway.isRunning = true;
        gateway.start(nullptr, nullptr);
        auto shares = makeShares();
        auto exchange = ConnectionsModule::makeLeaseExchange(
            gateway.id, shares->leases(), gateway.network, gateway.directory, m_scheduler, m_clock,
            m_logger, *m_metrics);
        gateway.start(std::move(shares), std::move(exchange));
        m_leftAt[index] = framework::TimePoint::never();
    }
    void setFrozen(std::size_t index, bool isFrozen)
    {
        m_gateways[index]->isFrozen = isFrozen;
        relink();
    }
    void setCutOff(std::size_t index, bool isCutOff)
    {
        m_gateways[index]->isCutOff = isCutOff;
        relink();
    }
    std::size_t pick() { return m_random->below(m_gateways.size()); }

    /// \param perThousand calls of each gateway in a thousand steps of 10 ms
    void play(framework::Milliseconds time, std::uint64_t perThousand)
    {
        constexpr framework::Milliseconds Step{10};
        const framework::TimePoint end = m_clock.now() + time;
        while (m_clock.now() < end && !HasFatalFailure()) {
            endRegistrations();
            for (std::size_t index = 0; index < m_gateways.size(); ++index) {
                if (m_gateways[index]->isRunning && !m_gateways[index]->isFrozen) {
                    step(index, m_hot == index ? m_hotLoad : perThousand);
                }
            }
            m_scheduler.advance(Step);
            checkCaps();
        }
    }

    std::unique_ptr<framework::IRandom> m_random;
    std::uint32_t m_cap = 0;
    std::vector<std::unique_ptr<SimulatedGateway>> m_gateways;
    std::optional<std::size_t> m_hot;
    std::uint64_t m_hotLoad = 0;
    /// Shortest time of a call; the longest takes twice as long.
    framework::Milliseconds m_minCall{15};
    /// Most connections that a server had.
    std::uint32_t m_most = 0;

private:
    /// Links all gateways that hear each other.
    void relink()
    {
        const auto isReachable = [](const SimulatedGateway &gateway) {
            return gateway.isRunning && !gateway.isFrozen && !gateway.isCutOff;
        };
        for (const auto &gateway : m_gateways) {
            gateway->network.links.clear();
            for (const auto &other : m_gateways) {
                if (other != gateway && isReachable(*gateway) && isReachable(*other)) {
                    gateway->network.links[other->id] = &other->network;
                }
            }
        }
    }
    /// Each gateway learns of it after its own delay: up to 6 s for those in touch.
    void registrationsChanged()
    {
        constexpr std::uint64_t MaxDelayMs = 6000;
        for (const auto &gateway : m_gateways) {
            const framework::Milliseconds delay(
                static_cast<std::int64_t>(m_random->below(MaxDelayMs)));
            gateway->informedAt = m_clock.now() + delay;
            gateway->isInformed = false;
        }
    }
    void endRegistrations()
    {
        for (framework::TimePoint &left : m_leftAt) {
            if (left != framework::TimePoint::never() && left > m_lastEnded
                && left <= m_clock.now()) {
                registrationsChanged();
                break;
            }
        }
        m_lastEnded = m_clock.now();
    }
    void inform(std::size_t index)
    {
        SimulatedGateway &gateway = *m_gateways[index];
        if (gateway.isCutOff || gateway.isInformed || m_clock.now() < gateway.informedAt) {
            return;
        }
        gateway.isInformed = true;
        gateway.directory.addresses.clear();
        FleetView view;
        for (std::size_t other = 0; other < m_gateways.size(); ++other) {
            if (m_clock.now() < m_leftAt[other]) {
                view.position += other < index ? 1 : 0;
                gateway.directory.addresses.push_back({m_gateways[other]->id, {}});
            }
        }
        view.gateways = gateway.directory.addresses.size();
        gateway.shares().setFleet(view);
    }
    void step(std::size_t index, std::uint64_t load)
    {
        constexpr std::uint64_t Whole = 1000;
        constexpr std::int64_t TickMs = 250;
        SimulatedGateway &gateway = *m_gateways[index];
        inform(index);
        if (m_clock.now().sinceEpoch() % TickMs == 0) {
            gateway.shares().tick();
        }
        gateway.work(m_clock.now());
        for (std::uint64_t rest = load; rest > 0; rest -= std::min(rest, Whole)) {
            if (m_random->below(Whole) < rest) {
                const auto more = m_random->below(static_cast<std::uint64_t>(m_minCall.value()));
                gateway.call(servers(), m_clock.now(),
                             m_minCall + framework::Milliseconds(static_cast<std::int64_t>(more)));
            }
        }
    }
    void checkCaps()
    {
        std::map<framework::Endpoint, std::uint32_t> counts;
        for (const auto &gateway : m_gateways) {
            gateway->countInto(counts);
        }
        for (const auto &[server, count] : counts) {
            m_most = std::max(m_most, count);
            ASSERT_LE(count, m_cap) << server.toString() << " at " << m_clock.now().sinceEpoch();
        }
    }

    std::vector<framework::TimePoint> m_leftAt;
    framework::TimePoint m_lastEnded;
};

} // namespace lavendertally::connections
