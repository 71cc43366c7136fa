#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"
#include "soak/internal/reservedport.h"

#include <memory>
#include <string>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::localfleet {
class ChildProcess;
}

namespace lavendertally::soak {

class LoopbackProxy;
class Promises;
struct SoakOptions;

/// One gateway process on ports of its own. It is started again whenever it has ended.
class GatewayHost
{
public:
    /// \param store where the store answers; the gateway reaches it through a proxy
    GatewayHost(std::size_t index, const SoakOptions &options, const framework::Endpoint &store,
                framework::IEventLoop &loop, const framework::IClock &clock, Promises &promises);
    ~GatewayHost();

    /// \param seed another gateway's endpoint for daemons
    void start(const framework::Endpoint &seed);

    void kill();
    void stop();
    void reload();
    void pause(framework::Milliseconds time);

    const framework::Endpoint &clients() const { return m_clients.endpoint(); }
    const framework::Endpoint &ready() const { return m_ready.endpoint(); }
    LoopbackProxy &storeLink() { return *m_storeLink; }
    /// What other gateways are told to connect to.
    LoopbackProxy &peerLink() { return *m_peerLink; }

    /// \return when something was done to the process last; never() while it lasts
    framework::TimePoint disturbedUntil() const;
    /// \return when the process was killed or paused last
    framework::TimePoint brokenAt() const { return m_brokenAt; }
    bool isStopping() const { return m_stopping; }

private:
    void launch();
    void watch();
    void ended(int status);

    std::string m_name;
    std::string m_program;
    std::string m_settings;
    /// Lines that are added to the settings.
    std::string m_moreSettings;
    std::string m_log;
    std::string m_folder;
    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    Promises &m_promises;
    ReservedPort m_clients;
    ReservedPort m_ready;
    ReservedPort m_control;
    std::unique_ptr<LoopbackProxy> m_storeLink;
    std::unique_ptr<LoopbackProxy> m_peerLink;
    std::unique_ptr<localfleet::ChildProcess> m_process;
    std::unique_ptr<framework::ITimer> m_watchTimer;
    std::unique_ptr<framework::ITimer> m_pauseTimer;
    framework::TimePoint m_lastDisturbed;
    framework::TimePoint m_brokenAt;
    framework::TimePoint m_stoppedAt;
    bool m_paused = false;
    bool m_stopping = false;
    bool m_killed = false;
};

} // namespace lavendertally::soak
