#include "soak/internal/gatewayhost.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "localfleet/childprocess.h"
#include "soak/internal/loopbackproxy.h"
#include "soak/internal/promises.h"
#include "soak/internal/reservedport.h"
#include "soak/internal/soakoptions.h"

#include <csignal>
#include <fstream>

namespace lavendertally::soak {

namespace {

constexpr framework::Milliseconds WatchInterval{20};
/// Time from the end of a process to its next start.
constexpr framework::Milliseconds RestartDelay{300};
/// What the settings allow for a shutdown, and the time after which that is too long.
constexpr framework::Milliseconds ShutdownGrace{4000};
constexpr framework::Milliseconds ShutdownTolerance{1000};

} // namespace

GatewayHost::GatewayHost(std::size_t index, const SoakOptions &options,
                         const framework::Endpoint &store, framework::IEventLoop &loop,
                         const framework::IClock &clock, Promises &promises)
    : m_name("g" + std::to_string(index)), m_program(options.daemon),
      m_settings(options.folder + "/" + m_name + ".yaml"),
      m_moreSettings(options.rollouts ? "exposure_share: 0.1\nexposure_slack: 50\n" : ""),
      m_log(options.folder + "/" + m_name + ".log"), m_loop(loop), m_clock(clock),
      m_promises(promises), m_storeLink(std::make_unique<LoopbackProxy>(loop, store)),
      m_peerLink(std::make_unique<LoopbackProxy>(loop, m_control.endpoint()))
{ }

GatewayHost::~GatewayHost() = default;

void GatewayHost::start(const framework::Endpoint &seed)
{
    std::ofstream(m_settings) << "role: gateway\nid: " << m_name << "\nhost: " << m_name
                              << "\navailability_zone: za\nlisten: "
                              << m_clients.endpoint().toString()
                              << "\nready_listen: " << m_ready.endpoint().toString()
                              << "\ncontrol_listen: " << m_control.endpoint().toString()
                              << "\nmetrics_listen: 127.0.0.1:0\nstore: "
                              << m_storeLink->endpoint().toString() << "\nseed_peers: ["
                              << seed.toString()
                              << "]\nrevocation_limit: " << Promises::RevocationLimit.value()
                              << "ms\nshutdown_grace: " << ShutdownGrace.value()
                              << "ms\nlog_format: json\n"
                              << m_moreSettings;
    launch();
    watch();
}

void GatewayHost::launch()
{
    m_process = std::make_unique<localfleet::ChildProcess>(
        m_program, std::vector<std::string>{"--settings", m_settings}, m_log,
        localfleet::ChildProcess::Output::LogFile);
    m_lastDisturbed = m_clock.now();
    m_stopping = false;
    m_killed = false;
}

void GatewayHost::watch()
{
    framework::Milliseconds next = WatchInterval;
    if (m_process) {
        if (const auto status = m_process->wait(framework::Milliseconds(0))) {
            ended(*status);
            next = RestartDelay;
        } else if (m_stopping && !m_killed && !m_paused
                   && m_clock.now() - m_lastDisturbed > ShutdownGrace + ShutdownTolerance) {
            m_promises.violated(m_name + " did not end within the time for a shutdown");
            kill();
        }
    } else {
        launch();
    }
    m_watchTimer = m_loop.callAfter(next, [this] { watch(); });
}

void GatewayHost::ended(int status)
{
    const bool expected = m_killed || (m_stopping && status == 0);
    if (!expected) {
        m_promises.violated(m_name + " ended by itself with status " + std::to_string(status));
    }
    m_process.reset();
    m_lastDisturbed = m_clock.now();
}

void GatewayHost::kill()
{
    if (!m_process) {
        return;
    }
    m_killed = true;
    m_brokenAt = m_clock.now();
    m_process->signal(SIGKILL);
}

void GatewayHost::stop()
{
    if (!m_process) {
        return;
    }
    if (!m_stopping) {
        m_stopping = true;
        m_lastDisturbed = m_clock.now();
    }
    m_process->signal(SIGTERM);
}

void GatewayHost::reload()
{
    if (m_process) {
        m_process->signal(SIGHUP);
    }
}

void GatewayHost::pause(framework::Milliseconds time)
{
    if (!m_process || m_paused) {
        return;
    }
    m_paused = true;
    m_brokenAt = m_clock.now();
    m_process->signal(SIGSTOP);
    m_pauseTimer = m_loop.callAfter(time, [this] {
        m_paused = false;
        m_brokenAt = m_clock.now();
        m_lastDisturbed = m_clock.now();
        if (m_process) {
            m_process->signal(SIGCONT);
        }
    });
}

framework::TimePoint GatewayHost::disturbedUntil() const
{
    const bool now = !m_process || m_paused || m_stopping;
    return now ? framework::TimePoint::never() : m_lastDisturbed;
}

} // namespace lavendertally::soak
