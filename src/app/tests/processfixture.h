#pragma once

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/types/httpresponse.h"
#include "localfleet/childprocess.h"
#include "localfleet/localfleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>

namespace lavendertally::app {

/// A fleet of real processes: two zones, an entry and three backend servers in each.
class ProcessFixture : public testing::Test
{
protected:
    static constexpr framework::Milliseconds WaitLimit{20000};
    static constexpr framework::Milliseconds PollInterval{20};
    /// Text engines crash on prompts that contain it.
    static constexpr const char *DeadlyWord = "deadly";

    ProcessFixture()
        : m_clock(framework::FrameworkModule::makeSystemClock()),
          m_loop(framework::FrameworkModule::makeEventLoop()), m_fleet(*m_loop, options())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
        ASSERT_EQ(m_fleet.runTool({"apply", LAVENDERTALLY_SOURCE_DIR "/src/app/tests/fleet.yaml"}),
                  0);
        waitUntil("the configuration to be in force", [this] { return inForceEverywhere(1); });
    }

    static localfleet::FleetOptions options()
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        localfleet::FleetOptions result;
        result.binaries = LAVENDERTALLY_BINARY_DIR;
        result.workFolder =
            testing::TempDir() + "lavendertally-" + test->name() + "-" + std::to_string(::getpid());
        result.zones = {framework::AvailabilityZoneId("za"), framework::AvailabilityZoneId("zb")};
        result.services = {
            {framework::ServiceId("encoder"), "standinpool", {"--kind", "encode"}, 1},
            {framework::ServiceId("writer"),
             "standinengine",
             {"--model", "m", "--token-interval-ms", "5", "--deadly-word", DeadlyWord},
             1},
            {framework::ServiceId("booking"), "standinaction", {}, 1}};
        return result;
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(options().workFolder);
        }
    }

    void pause(framework::Milliseconds time)
    {
        const auto timer = m_loop->callAfter(time, [this] { m_loop->stop(); });
        m_loop->run();
    }

    void waitUntil(const std::string &what, const std::function<bool()> &condition)
    {
        const framework::TimePoint end = m_clock->now() + WaitLimit;
        while (!condition()) {
            ASSERT_LT(m_clock->now(), end) << "waited in vain for " << what;
            pause(PollInterval);
        }
    }

    nlohmann::json dump(const localfleet::FleetHost &host)
    {
        const auto reply = m_fleet.get(host.entry.http, "/dump");
        return nlohmann::json::parse(reply.body, nullptr, false);
    }

    std::uint64_t revision(const localfleet::FleetHost &host)
    {
        const auto state = dump(host);
        return state.is_object() ? state.value("revision", std::uint64_t{0}) : 0;
    }

    bool inForceEverywhere(std::uint64_t least)
    {
        bool all = true;
        for (auto *group : {&m_fleet.entries(), &m_fleet.hosts()}) {
            for (const localfleet::FleetHost &host : *group) {
                all = all && revision(host) >= least;
            }
        }
        return all;
    }

    std::string body(const std::string &id, const std::string &pipeline) const
    {
        return nlohmann::json{{"request_id", id},
                              {"team", "members"},
                              {"pipeline", pipeline},
                              {"issued_at_ms", m_issuedAt.sinceEpoch()},
                              {"input", {{"text", id}}}}
            .dump();
    }

    /// \return answer of entry \p index to a request
    nlohmann::json ask(std::size_t index, const std::string &id, const std::string &pipeline)
    {
        const auto reply =
            m_fleet.post(m_fleet.entries()[index].entry.http, "/v1/requests", body(id, pipeline));
        const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
        return answer.is_object() ? answer : nlohmann::json{{"outcome", "no answer"}};
    }

    /// Switches a fault of a stand-in on.
    void fault(const framework::Endpoint &standIn, const std::string &mode,
               const std::string &path = {})
    {
        nlohmann::json what = {{"mode", mode}};
        if (!path.empty()) {
            what["path"] = path;
        }
        ASSERT_EQ(m_fleet.post(standIn, "/faults", what.dump()).status, 200);
    }

    localfleet::FleetHost &host(const std::string &service, const std::string &zone)
    {
        for (localfleet::FleetHost &candidate : m_fleet.hosts()) {
            if (candidate.entry.service.value() == service
                && candidate.entry.zone.value() == zone) {
                return candidate;
            }
        }
        ADD_FAILURE() << "no host of " << service << " in " << zone;
        return m_fleet.hosts().front();
    }

    /// \return how often request \p id has taken effect
    std::size_t effects(const std::string &id)
    {
        std::size_t count = 0;
        for (const char *zone : {"za", "zb"}) {
            const auto reply = m_fleet.get(host("booking", zone).backendEndpoint, "/v1/ledger");
            const auto ledger = nlohmann::json::parse(reply.body, nullptr, false);
            for (const auto &operation : ledger["operations"]) {
                count += operation.dump().find('"' + id + '"') != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IEventLoop> m_loop;
    localfleet::LocalFleet m_fleet;
    framework::TimePoint m_issuedAt = m_clock->wallNow();
};

} // namespace lavendertally::app
