#pragma once

#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/recordinglogger.h"
#include "peers/idaemondirectory.h"
#include "peers/testing/fakepeernetwork.h"
#include "ratelimit/iratelimitstore.h"
#include "ratelimit/iserverratelimits.h"
#include "ratelimit/ratelimitmodule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::ratelimit {

/// Directory that the test sets.
class FakeDaemonDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return addresses; }
    std::size_t limitSharerCount() const override { return std::max<std::size_t>(sharers, 1); }
    void onChange(std::function<void()> /*callback*/) override { }

    std::vector<peers::DaemonAddress> addresses;
    std::size_t sharers = 1;
};

/// A fleet of daemons that want as many requests at one backend server as they can get.
class RateLimitFleet : public testing::Test
{
protected:
    struct Daemon
    {
        Daemon(const std::string &name, framework::FakeClock &clock,
               framework::FakeScheduler &scheduler, framework::RecordingLogger &logger,
               framework::IMetrics &metrics)
            : id(name), network(id, clock),
              limits(RateLimitModule::makeServerRateLimits(logger, metrics)),
              exchange(RateLimitModule::makePermitExchange(id, limits->store(), network, directory,
                                                           scheduler, clock, logger, metrics))
        { }

        framework::DaemonId id;
        peers::FakePeerNetwork network;
        FakeDaemonDirectory directory;
        std::unique_ptr<IServerRateLimits> limits;
        std::unique_ptr<peers::IPeerObserver> exchange;
        bool isFrozen = false;
    };

    RateLimitFleet() : m_scheduler(m_clock), m_metrics(framework::FrameworkModule::makeMetrics())
    {
        m_clock.set(framework::TimePoint(1000000));
    }

    /// Adds daemons that are all linked with the first three.
    void addDaemons(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string name = "d" + std::to_string(100 + m_daemons.size());
            m_daemons.push_back(
                std::make_unique<Daemon>(name, m_clock, m_scheduler, m_logger, *m_metrics));
        }
        for (const auto &daemon : m_daemons) {
            for (const auto &other : m_daemons) {
                if (daemon != other) {
                    daemon->network.links[other->id] = &other->network;
                }
            }
            setRanking(*daemon, 0);
        }
    }
    /// \param first index of the daemon that \p daemon believes to be the first one
    void setRanking(Daemon &daemon, std::size_t first)
    {
        daemon.directory.addresses.clear();
        for (std::size_t index = first; index < m_daemons.size(); ++index) {
            daemon.directory.addresses.push_back({m_daemons[index]->id, {}});
        }
        daemon.directory.sharers = m_daemons.size();
    }
    /// Each daemon tries to send \p perDaemon requests in each 50 ms.
    void play(std::int64_t milliseconds, int perDaemon)
    {
        constexpr std::int64_t Step = 50;
        for (std::int64_t time = 0; time < milliseconds; time += Step) {
            for (const auto &daemon : m_daemons) {
                for (int request = 0; request < perDaemon && !daemon->isFrozen; ++request) {
                    tryToSend(*daemon);
                }
            }
            m_scheduler.advance(framework::Milliseconds(Step));
        }
    }
    bool tryToSend(Daemon &daemon)
    {
        const framework::TimePoint now = m_clock.now();
        if (!daemon.limits->mayCall(Server, now)) {
            return false;
        }
        daemon.limits->callSent(Server, now);
        m_arrivals.push_back(now);
        ++m_sentBy[daemon.id];
        daemon.limits->observeAnswer(Server, m_named, now, now);
        return true;
    }
    /// \return most requests that arrived within four seconds, from \p start on
    std::size_t mostInFourSeconds(framework::TimePoint start) const
    {
        constexpr framework::Milliseconds Window{4000};
        std::size_t most = 0;
        std::deque<framework::TimePoint> window;
        for (const framework::TimePoint arrival : m_arrivals) {
            if (arrival < start) {
                continue;
            }
            window.push_back(arrival);
            while (window.front() + Window <= arrival) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }
    /// \return requests that a backend server tolerates in four seconds
    static std::size_t tolerated(double perSecond)
    {
        return static_cast<std::size_t>(1.5 * 4.0 * perSecond) + 5;
    }
    std::size_t arrivalsSince(framework::TimePoint start) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(),
                          [start](framework::TimePoint arrival) { return arrival >= start; }));
    }
    void name(double perSecond)
    {
        m_named = framework::RequestRate(static_cast<std::int64_t>(perSecond * 1000.0));
    }

    const framework::BackendServerId Server{"s"};
    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::optional<framework::RequestRate> m_named;
    std::vector<framework::TimePoint> m_arrivals;
    std::map<framework::DaemonId, std::size_t> m_sentBy;
};

} // namespace lavendertally::ratelimit
