#pragma once

#include "bench/internal/processusage.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "localfleet/localfleet.h"

#include <cstdint>
#include <string>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::bench {

/// A small fleet for measuring one daemon, with its configuration applied and its backend servers
/// warm.
class SpeedFleet
{
public:
    /// \param configuration text of the only configuration file
    SpeedFleet(framework::IEventLoop &loop, const framework::IClock &clock,
               const localfleet::FleetOptions &options, const std::string &configuration);

    /// Starts everything and waits until the configuration is in force.
    /// \return whether it came up
    bool start();

    /// Sends short requests until every host process admits \p limit calls at once.
    /// \return whether that was reached
    bool warmUp(const std::string &pipeline, std::uint32_t limit);

    /// Runs the loop for \p time.
    void pause(framework::Milliseconds time);

    ProcessUsage entryUsage();
    ProcessUsage hostUsage();
    localfleet::LocalFleet &fleet() { return m_fleet; }
    const framework::Endpoint &entry() { return m_fleet.entries().front().entry.http; }

private:
    bool allHosts(const std::string &member, std::uint64_t least);

    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    localfleet::LocalFleet m_fleet;
    std::string m_file;
};

} // namespace lavendertally::bench
