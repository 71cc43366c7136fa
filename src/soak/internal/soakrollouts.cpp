#include "soak/internal/soakrollouts.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "soak/internal/backendfleet.h"
#include "soak/internal/promises.h"
#include "standins/platformstorestandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lavendertally::soak {

namespace {

constexpr framework::Milliseconds Duration{6000};
/// A rollout that is not over by then is taken back; faults may hold it up for long.
constexpr framework::Milliseconds MaxDuration{14000};
constexpr framework::Milliseconds TickInterval{20};
/// When versions of the late kind turn bad.
constexpr framework::Milliseconds BadFrom{3000};
constexpr framework::Milliseconds Pause{700};
/// Bounds of the users' platform: share, requests on top, time for a rollback and what a
/// disturbance of the store may add.
constexpr double ExposureShare = 0.1;
constexpr std::size_t ExposureSlack = 50;
constexpr std::size_t BadAnswersToNotice = 50;
constexpr framework::Milliseconds RollbackLimit{5000 + 6000};
constexpr std::uint64_t FailEvery = 2;
constexpr framework::Milliseconds SlowTime{80};
constexpr std::uint64_t Kinds = 4;
/// Separates the drawn numbers from those of the faults.
constexpr std::uint64_t SeedOffset = 7919;

} // namespace

SoakRollouts::SoakRollouts(std::uint64_t seed, framework::IEventLoop &loop,
                           const framework::IClock &clock, standins::PlatformStoreStandIn &store,
                           BackendFleet &servers, Promises &promises)
    : m_random(framework::FrameworkModule::makeRandom(seed + SeedOffset)), m_loop(loop),
      m_clock(clock), m_store(store), m_servers(servers), m_promises(promises)
{ }

SoakRollouts::~SoakRollouts() = default;

void SoakRollouts::start()
{
    laterTick(Pause);
}

void SoakRollouts::laterTick(framework::Milliseconds delay)
{
    m_timer = m_loop.callAfter(delay, [this] {
        if (m_isRunning) {
            tick();
        } else if (!m_isStopping) {
            begin();
        }
    });
}

std::size_t SoakRollouts::runs(const std::vector<BackendHost *> &hosts)
{
    std::size_t sum = 0;
    for (const BackendHost *host : hosts) {
        sum += host->server->allRuns();
    }
    return sum;
}

void SoakRollouts::begin()
{
    m_isRunning = true;
    m_kind = static_cast<Kind>(m_random->below(Kinds));
    m_service = m_random->below(2) == 0 ? "desk" : "archive";
    m_version = "v" + std::to_string(++m_lastVersion);
    m_old = m_servers.ofService(m_service);
    m_new = m_servers.addVersion(m_service, m_version);
    m_oldRunsBefore = runs(m_old);
    m_ordered = m_clock.now();
    m_fiftiethBad = framework::TimePoint::never();
    if (m_kind != Kind::BadLate) {
        spoil();
    }
    m_store.put("keyed.op", "op/rollout/" + m_service,
                nlohmann::json({{"service", m_service},
                                {"target", m_version},
                                {"durationS", static_cast<double>(Duration.value()) / 1000.0}})
                    .dump());
    laterTick(TickInterval);
}

void SoakRollouts::spoil()
{
    for (BackendHost *host : m_new) {
        if (m_kind == Kind::SlowAtOnce) {
            host->server->setWorkTime(SlowTime);
        } else if (m_kind != Kind::Good) {
            host->server->setFailing(FailEvery);
        }
    }
}

std::string SoakRollouts::state() const
{
    const auto text = m_store.newest("keyed.status", "rollout/" + m_service);
    const auto json = nlohmann::json::parse(text.value_or("{}"), nullptr, false);
    return json.value("target", "") == m_version ? json.value("state", "") : "";
}

void SoakRollouts::tick()
{
    const framework::TimePoint now = m_clock.now();
    if (m_kind == Kind::BadLate && now - m_ordered > BadFrom) {
        spoil();
    }
    if (m_kind != Kind::Good) {
        if (now - m_ordered <= Duration) {
            checkExposure();
        }
        checkRollbackTime();
    }
    const std::string found = state();
    const bool isOver = now - m_ordered > MaxDuration;
    if (found == "completed" || found == "rolled_back" || isOver) {
        end(found);
        laterTick(Pause);
        return;
    }
    laterTick(TickInterval);
}

void SoakRollouts::checkExposure()
{
    const std::size_t toTarget = runs(m_new);
    const std::size_t all = runs(m_old) - m_oldRunsBefore + toTarget;
    const double allowed = ExposureShare * static_cast<double>(all) + ExposureSlack;
    if (static_cast<double>(toTarget) > allowed) {
        m_promises.violated(m_service + " " + m_version + ": a bad version got "
                            + std::to_string(toTarget) + " of " + std::to_string(all)
                            + " requests");
    }
}

void SoakRollouts::checkRollbackTime()
{
    const framework::TimePoint now = m_clock.now();
    std::size_t bad = 0;
    for (const BackendHost *host : m_new) {
        bad += m_kind == Kind::SlowAtOnce ? host->server->allRuns() : host->server->failures();
    }
    if (bad < BadAnswersToNotice) {
        return;
    }
    m_fiftiethBad = std::min(m_fiftiethBad, now);
    if (now - m_fiftiethBad <= RollbackLimit) {
        m_runsAtLimit = runs(m_new);
    } else if (runs(m_new) > m_runsAtLimit) {
        m_promises.violated(m_service + " " + m_version
                            + ": a bad version got requests too long after its 50th bad answer");
        m_runsAtLimit = runs(m_new);
    }
}

void SoakRollouts::end(const std::string &state)
{
    m_isRunning = false;
    if (state == "completed") {
        ++m_completed;
        m_badCompleted += m_kind == Kind::Good ? 0 : 1;
        std::size_t inFlight = 0;
        for (const BackendHost *host : m_old) {
            inFlight += host->server->inFlight();
        }
        if (inFlight > 0) {
            m_promises.violated(m_service + " " + m_version + ": completed with "
                                + std::to_string(inFlight) + " requests at old servers");
        }
        m_servers.retire(m_old, false);
        return;
    }
    m_rolledBack += state == "rolled_back" ? 1 : 0;
    m_goodRolledBack += state == "rolled_back" && m_kind == Kind::Good ? 1 : 0;
    if (state != "rolled_back") {
        ++m_open;
        m_store.remove("keyed.op", "op/rollout/" + m_service);
    }
    m_servers.retire(m_new, true);
}

std::string SoakRollouts::summary() const
{
    return " rollouts completed " + std::to_string(m_completed) + " (bad "
        + std::to_string(m_badCompleted) + "), rolled back " + std::to_string(m_rolledBack)
        + " (good " + std::to_string(m_goodRolledBack) + "), taken back " + std::to_string(m_open)
        + ".";
}

} // namespace lavendertally::soak
