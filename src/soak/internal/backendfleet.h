#pragma once

#include "soak/internal/backendhost.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::standins {
class PlatformStoreStandIn;
}

namespace lavendertally::soak {

class Promises;
struct SoakOptions;

/// The backend servers of a run, with their registrations in the store.
class BackendFleet
{
public:
    /// Registrations are repeated at this interval.
    static constexpr framework::Milliseconds RegisterInterval{1200};

    BackendFleet(const SoakOptions &options, framework::IEventLoop &loop,
                 const framework::IClock &clock, standins::PlatformStoreStandIn &store,
                 Promises &promises);
    ~BackendFleet();

    /// \return a server by any number
    BackendHost &pick(std::size_t number) { return *m_hosts[number % m_hosts.size()]; }

    /// A new server takes the place of one, which leaves.
    void replace(std::size_t number, bool announced);

    /// All entries lapse, and come back after a while.
    void lapse();

    /// Starts servers of another version of a service beside those that run.
    /// \return the new servers; they live as long as the fleet
    std::vector<BackendHost *> addVersion(const std::string &service, const std::string &version);
    /// \return the servers of a service that run
    std::vector<BackendHost *> ofService(const std::string &service) const;
    /// Takes these servers out of the registrations.
    /// \param announced whether they drain, or stop at once
    void retire(const std::vector<BackendHost *> &hosts, bool announced);

    /// \return the ids of the servers in a zone
    std::set<std::string> inZone(const std::string &zone) const;

    void heal();

private:
    void add(const std::string &service, const std::string &zone, const std::string &version);
    void leave(std::unique_ptr<BackendHost> host, bool announced);
    void registerAll();
    void put(const BackendHost &host, const char *state);

    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    standins::PlatformStoreStandIn &m_store;
    Promises &m_promises;
    std::vector<std::unique_ptr<BackendHost>> m_hosts;
    /// Servers that left; they answer until the end.
    std::vector<std::unique_ptr<BackendHost>> m_left;
    std::size_t m_serversOfAService;
    bool m_hasVersions;
    std::uint64_t m_nextId = 0;
    std::uint64_t m_heartbeats = 0;
    bool m_lapsed = false;
    std::unique_ptr<framework::ITimer> m_registerTimer;
    std::unique_ptr<framework::ITimer> m_returnTimer;
};

} // namespace lavendertally::soak
