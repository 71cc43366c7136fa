#pragma once

#include "control/icontrolclient.h"
#include "control/icontrolserver.h"
#include "control/types/controlerror.h"
#include "framework/asyncerror.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace lavendertally::control {

/// Delivers control messages between the processes of a test. Messages between partitioned
/// processes or to a destroyed one are lost.
class FakeControlNetwork
{
public:
    using CanReach = std::function<bool(const framework::Endpoint &, const framework::Endpoint &)>;
    /// Called with each query that is sent and each answer that arrives.
    using Tap = std::function<void(const framework::Endpoint &from, const framework::Endpoint &to,
                                   const protocol::Message &)>;

    /// Latency of one message; messages are reordered when it varies.
    using Latency = std::function<framework::Milliseconds()>;

    explicit FakeControlNetwork(Latency latency) : m_latency(std::move(latency)) { }

    void setCanReach(CanReach canReach) { m_canReach = std::move(canReach); }
    void setTap(Tap tap) { m_tap = std::move(tap); }

    /// \param scheduler of the process; its server or client stops while that is paused
    std::unique_ptr<IControlServer> makeServer(framework::IScheduler &scheduler,
                                               const framework::Endpoint &endpoint)
    {
        return std::make_unique<Server>(*this, scheduler, endpoint);
    }
    std::unique_ptr<IControlClient> makeClient(framework::IScheduler &scheduler,
                                               const framework::Endpoint &endpoint)
    {
        return std::make_unique<Client>(*this, scheduler, endpoint);
    }

private:
    class Server final : public IControlServer
    {
    public:
        Server(FakeControlNetwork &network, framework::IScheduler &scheduler,
               framework::Endpoint endpoint)
            : m_network(network), m_scheduler(scheduler), m_endpoint(std::move(endpoint))
        { }
        ~Server() override { m_network.m_servers.erase(m_endpoint); }
        Server(const Server &) = delete;
        Server &operator=(const Server &) = delete;

        void setHandler(Handler handler) override { m_handler = std::move(handler); }
        framework::Result<framework::Endpoint>
        listen(const framework::Endpoint & /*endpoint*/) override
        {
            m_network.m_servers[m_endpoint] = this;
            return m_endpoint;
        }

        /// Receives a query after the latency and passes the answer to \p reply.
        void receive(const protocol::Message &query,
                     const std::function<void(const protocol::Message &)> &reply)
        {
            const std::uint64_t id = ++m_lastId;
            m_timers[id] = m_scheduler.callAfter(m_network.m_latency(), [this, id, query, reply] {
                const auto timer = m_timers.extract(id);
                if (const auto answer = m_handler(query)) {
                    reply(*answer);
                }
            });
        }

    private:
        FakeControlNetwork &m_network;
        framework::IScheduler &m_scheduler;
        framework::Endpoint m_endpoint;
        Handler m_handler;
        std::uint64_t m_lastId = 0;
        std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_timers;
    };

    class Client final : public IControlClient
    {
    public:
        Client(FakeControlNetwork &network, framework::IScheduler &scheduler,
               framework::Endpoint endpoint)
            : m_network(network), m_scheduler(scheduler), m_endpoint(std::move(endpoint))
        { }

        void sendQuery(const framework::Endpoint &peer, const protocol::Message &query,
                       framework::Milliseconds timeout, Callback callback) override
        {
            const std::uint64_t id = ++m_lastId;
            m_pending->emplace(id, std::move(callback));
            m_timers[id] = m_scheduler.callAfter(timeout, [this, id] {
                finish(id, framework::asyncError<protocol::Message>(ControlError::TimedOut));
            });
            m_network.tap(m_endpoint, peer, query);
            const auto server = m_network.m_servers.find(peer);
            if (server == m_network.m_servers.end() || !m_network.reaches(m_endpoint, peer)) {
                return;
            }
            const std::weak_ptr<Pending> alive = m_pending;
            server->second->receive(query, [this, alive, id, peer](const auto &answer) {
                if (!alive.expired() && m_network.reaches(peer, m_endpoint)) {
                    m_network.tap(peer, m_endpoint, answer);
                    arrive(id, answer);
                }
            });
        }

    private:
        using Pending = std::map<std::uint64_t, Callback>;

        void arrive(std::uint64_t id, const protocol::Message &answer)
        {
            const auto timer = m_timers.extract(id);
            m_timers[id] = m_scheduler.callAfter(m_network.m_latency(),
                                                 [this, id, answer] { finish(id, answer); });
        }

        void finish(std::uint64_t id, framework::Result<protocol::Message> result)
        {
            const auto timer = m_timers.extract(id);
            if (const auto node = m_pending->extract(id)) {
                node.mapped()(std::move(result));
            }
        }

        FakeControlNetwork &m_network;
        framework::IScheduler &m_scheduler;
        framework::Endpoint m_endpoint;
        std::uint64_t m_lastId = 0;
        std::shared_ptr<Pending> m_pending = std::make_shared<Pending>();
        std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_timers;
    };

    bool reaches(const framework::Endpoint &from, const framework::Endpoint &to) const
    {
        return !m_canReach || m_canReach(from, to);
    }
    void tap(const framework::Endpoint &from, const framework::Endpoint &to,
             const protocol::Message &message) const
    {
        if (m_tap) {
            m_tap(from, to, message);
        }
    }

    Latency m_latency;
    CanReach m_canReach;
    Tap m_tap;
    std::map<framework::Endpoint, Server *> m_servers;
};

} // namespace lavendertally::control
