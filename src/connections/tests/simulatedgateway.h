#pragma once

#include "connections/iconnectionshares.h"
#include "framework/types/timepoint.h"
#include "http/iconnectiongate.h"
#include "membership/types/backendserverentry.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeerobserver.h"
#include "peers/testing/fakepeernetwork.h"
#include "routing/iserverfilter.h"
#include "routing/types/serverquery.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace lavendertally::connections {

/// Registrations that the test sets.
class SimulatedDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return addresses; }
    std::size_t limitSharerCount() const override
    {
        return std::max<std::size_t>(addresses.size(), 1);
    }
    void onChange(std::function<void()> /*callback*/) override { }

    std::vector<peers::DaemonAddress> addresses;
};

/// A gateway with its connections, and calls that wait for one.
class SimulatedGateway
{
public:
    using Servers = std::vector<const membership::BackendServerEntry *>;

    SimulatedGateway(framework::DaemonId gateway, const framework::IClock &clock)
        : id(std::move(gateway)), network(id, clock)
    { }

    /// Starts, or starts anew: the connections of the process before are closed.
    void start(std::unique_ptr<IConnectionShares> shares,
               std::unique_ptr<peers::IPeerObserver> exchange)
    {
        m_connections.clear();
        m_waiting.clear();
        m_exchange = std::move(exchange);
        m_shares = std::move(shares);
    }
    IConnectionShares &shares() { return *m_shares; }

    void call(const Servers &servers, framework::TimePoint now, framework::Milliseconds duration)
    {
        constexpr framework::Milliseconds MaxWait{250};
        Servers candidates = servers;
        m_shares->filter().restrict({}, candidates, now);
        if (candidates.empty()) {
            ++refused;
            return;
        }
        const framework::Endpoint &server = candidates[m_calls++ % candidates.size()]->endpoint;
        if (take(server, now + duration)) {
            ++served;
        } else {
            m_shares->gate().waitStarted(server);
            m_waiting.push_back({server, now + MaxWait, duration});
        }
    }

    /// Ends calls, closes connections that were idle for long, and serves calls that wait.
    void work(framework::TimePoint now)
    {
        std::vector<Connection> kept;
        for (Connection &connection : m_connections) {
            if (connection.until > now || endOf(connection, now)) {
                kept.push_back(connection);
            }
        }
        m_connections = std::move(kept);
        std::set<framework::Endpoint> full;
        std::erase_if(m_waiting, [&](const Waiting &waiting) {
            const bool isServed =
                !full.contains(waiting.server) && take(waiting.server, now + waiting.duration);
            if (!isServed) {
                full.insert(waiting.server);
            }
            if (!isServed && waiting.until > now) {
                return false;
            }
            m_shares->gate().waitEnded(waiting.server, isServed);
            ++(isServed ? served : refused);
            return true;
        });
    }

    void countInto(std::map<framework::Endpoint, std::uint32_t> &counts) const
    {
        for (const Connection &connection : m_connections) {
            ++counts[connection.server];
        }
    }

    framework::DaemonId id;
    peers::FakePeerNetwork network;
    SimulatedDirectory directory;
    /// What the gateway does not do while it is frozen; its connections stay.
    bool isFrozen = false;
    /// Whether it hears neither the store nor other gateways.
    bool isCutOff = false;
    bool isRunning = true;
    /// When it learns of the newest change of the registrations.
    framework::TimePoint informedAt;
    bool isInformed = false;
    std::size_t served = 0;
    std::size_t refused = 0;

private:
    struct Connection
    {
        framework::Endpoint server;
        bool isIdle = false;
        framework::TimePoint until;
    };
    struct Waiting
    {
        framework::Endpoint server;
        framework::TimePoint until;
        framework::Milliseconds duration;
    };

    /// A call has ended, or an idle connection has been kept for long.
    /// \return whether the connection stays
    bool endOf(Connection &connection, framework::TimePoint now)
    {
        constexpr framework::Milliseconds MaxIdle{4000};
        http::IConnectionGate &gate = m_shares->gate();
        if (connection.isIdle || !gate.mayKeep(connection.server)) {
            gate.connectionClosed(connection.server,
                                  connection.isIdle ? http::ConnectionClose::Idle
                                                    : http::ConnectionClose::InUse);
            return false;
        }
        connection = {connection.server, true, now + MaxIdle};
        gate.connectionIdle(connection.server);
        return true;
    }
    bool take(const framework::Endpoint &server, framework::TimePoint until)
    {
        http::IConnectionGate &gate = m_shares->gate();
        const auto isIdle = [&server](const Connection &each) {
            return each.isIdle && each.server == server;
        };
        auto idle = std::find_if(m_connections.begin(), m_connections.end(), isIdle);
        while (idle != m_connections.end() && !gate.mayKeep(server)) {
            gate.connectionClosed(server, http::ConnectionClose::Idle);
            m_connections.erase(idle);
            idle = std::find_if(m_connections.begin(), m_connections.end(), isIdle);
        }
        if (idle != m_connections.end()) {
            *idle = {server, false, until};
            gate.connectionReused(server);
            return true;
        }
        if (!gate.mayOpen(server)) {
            return false;
        }
        gate.connectionOpened(server);
        m_connections.push_back({server, false, until});
        return true;
    }

    std::unique_ptr<IConnectionShares> m_shares;
    std::unique_ptr<peers::IPeerObserver> m_exchange;
    std::vector<Connection> m_connections;
    std::vector<Waiting> m_waiting;
    std::size_t m_calls = 0;
};

} // namespace lavendertally::connections
