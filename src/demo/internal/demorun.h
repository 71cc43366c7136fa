#pragma once

#include "demo/types/demouser.h"
#include "framework/types/endpoint.h"
#include "localfleet/loadrunner.h"
#include "localfleet/localfleet.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::demo {

/// Starts one organisation's fleet, serves its workloads, takes a zone out and back in, and checks
/// each answer.
class DemoRun
{
public:
    /// \param binaries folder of the built programs
    /// \param repository folder that holds samples/
    DemoRun(framework::IEventLoop &loop, const framework::IClock &clock, DemoUser user,
            const std::string &binaries, std::string repository, const std::string &workFolder);

    /// \return what was not as it should be; empty when all was
    std::vector<std::string> run();

private:
    void applySamples();
    void serveWorkloads();
    void repeatOne();
    void moveZone();
    void stopAll();
    void printTable(const std::vector<localfleet::LoadAnswer> &answers) const;
    void checkAnswers(const std::vector<localfleet::LoadAnswer> &answers);
    void checkLedger();
    std::vector<localfleet::LoadAnswer> runLoad(const std::string &name, std::size_t count,
                                                framework::Milliseconds interval);
    void waitFor(const std::string &what, const std::function<bool()> &condition);
    void pause(framework::Milliseconds time);
    bool inForceEverywhere(std::uint64_t revision);
    std::uint64_t callsInZone(const framework::AvailabilityZoneId &zone);
    std::uint64_t entryRevision();
    void fail(const std::string &message) { m_failures.push_back(message); }

    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    DemoUser m_user;
    std::string m_repository;
    localfleet::LocalFleet m_fleet;
    std::vector<std::string> m_failures;
    /// Request ids of what may not be repeated, each of which must have run once.
    std::size_t m_effects = 0;
};

} // namespace lavendertally::demo
