#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class IRandom;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::standins {
class PlatformStoreStandIn;
}

namespace lavendertally::soak {

class BackendFleet;
class Promises;
struct BackendHost;

/// Orders rollouts of good and bad versions, one after the other, and checks what a bad one gets
/// and that no completion cuts off requests.
class SoakRollouts
{
public:
    SoakRollouts(std::uint64_t seed, framework::IEventLoop &loop, const framework::IClock &clock,
                 standins::PlatformStoreStandIn &store, BackendFleet &servers, Promises &promises);
    ~SoakRollouts();
    SoakRollouts(const SoakRollouts &) = delete;
    SoakRollouts &operator=(const SoakRollouts &) = delete;

    void start();
    /// Orders no more rollouts; one that runs goes on.
    void stop() { m_isStopping = true; }
    /// \return counts for the report
    std::string summary() const;

private:
    enum class Kind
    {
        Good,
        BadAtOnce,
        BadLate,
        SlowAtOnce,
    };

    void begin();
    void tick();
    void spoil();
    void end(const std::string &state);
    void checkExposure();
    void checkRollbackTime();
    void laterTick(framework::Milliseconds delay);
    std::string state() const;
    static std::size_t runs(const std::vector<BackendHost *> &hosts);

    std::unique_ptr<framework::IRandom> m_random;
    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    standins::PlatformStoreStandIn &m_store;
    BackendFleet &m_servers;
    Promises &m_promises;
    std::unique_ptr<framework::ITimer> m_timer;
    bool m_isStopping = false;
    bool m_isRunning = false;
    Kind m_kind = Kind::Good;
    std::string m_service;
    std::string m_version;
    std::uint64_t m_lastVersion = 1;
    framework::TimePoint m_ordered;
    framework::TimePoint m_fiftiethBad = framework::TimePoint::never();
    std::size_t m_runsAtLimit = 0;
    std::vector<BackendHost *> m_old;
    std::vector<BackendHost *> m_new;
    std::size_t m_oldRunsBefore = 0;
    std::size_t m_completed = 0;
    std::size_t m_rolledBack = 0;
    std::size_t m_open = 0;
    std::size_t m_goodRolledBack = 0;
    std::size_t m_badCompleted = 0;
};

} // namespace lavendertally::soak
