#pragma once

#include "claims/claimsmodule.h"
#include "claims/iclaimservice.h"
#include "claims/types/claimsettings.h"
#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "infrastructure/testing/fakelogservice.h"

#include <memory>
#include <string>
#include <utility>

namespace lavendertally::claims {

/// Entry process with a claim service and a clock of its own, which can be killed and paused.
class ClaimsEntry
{
public:
    ClaimsEntry(std::string name, infrastructure::FakeLog &log, const ClaimSettings &settings,
                std::uint64_t seed)
        : m_name(std::move(name)), m_log(log), m_settings(settings),
          m_random(framework::FrameworkModule::makeRandom(seed)),
          m_metrics(framework::FrameworkModule::makeMetrics())
    {
        start();
    }

    void start()
    {
        m_scheduler = std::make_unique<framework::FakeScheduler>(m_clock);
        m_connection = std::make_unique<infrastructure::FakeLogService>(*m_scheduler, m_log);
        m_service = ClaimsModule::makeService(*m_connection, *m_scheduler, m_clock, *m_random,
                                              *m_metrics, framework::DaemonId(m_name), m_settings);
    }
    void kill()
    {
        m_service.reset();
        m_connection.reset();
        m_scheduler.reset();
    }
    bool isAlive() const { return m_service != nullptr; }

    void pause() { m_paused = true; }
    /// Advances the clock by the time spent paused; timers that came due meanwhile fire late.
    void resume()
    {
        m_paused = false;
        m_clock.advance(std::exchange(m_timePaused, framework::Milliseconds(0)));
        advance(framework::Milliseconds(0));
    }
    bool isPaused() const { return m_paused; }

    void advance(framework::Milliseconds step)
    {
        if (m_paused) {
            m_timePaused += step;
        } else if (isAlive()) {
            m_scheduler->advance(step);
        } else {
            m_clock.advance(step);
        }
    }

    /// Sets the clock ahead of those of the other entries.
    void advanceClock(framework::Milliseconds ahead) { m_clock.advance(ahead); }

    IClaimService &service() { return *m_service; }
    infrastructure::FakeLogService &connection() { return *m_connection; }
    const framework::FakeClock &clock() const { return m_clock; }

private:
    std::string m_name;
    infrastructure::FakeLog &m_log;
    ClaimSettings m_settings;
    framework::FakeClock m_clock;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<framework::FakeScheduler> m_scheduler;
    std::unique_ptr<infrastructure::FakeLogService> m_connection;
    std::unique_ptr<IClaimService> m_service;
    bool m_paused = false;
    framework::Milliseconds m_timePaused;
};

} // namespace lavendertally::claims
