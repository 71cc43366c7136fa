#pragma once

#include "framework/irandom.h"
#include "membership/testing/fakebackendservers.h"
#include "serving/testing/fakeservingstate.h"
#include "stages/testing/stagearrival.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::stages {

/// A deployment of three stage pools with over a hundred backend servers in six zones, and the
/// load of three routes on them: `short` runs one stage and has little time, `urgent` and
/// `background` run three stages one after the other.
class LargePools
{
public:
    static constexpr framework::TimePoint Start{1000000};
    /// Arrivals per second at which the pools are about half used.
    static constexpr double UsualPerSecond = 669.0;

    LargePools()
    {
        m_serving.set(
            {},
            {pool("ledger", 16, framework::Microseconds(13000), framework::Bytes(19000000)),
             pool("scale", 54, framework::Microseconds(3800), framework::Bytes(5900000)),
             pool("log", 68, framework::Microseconds(3000), framework::Bytes(750000))});
        add("ledger", 46);
        add("scale", 36);
        add("log", 42);
    }

    const serving::FakeServingState &serving() const { return m_serving; }
    membership::FakeBackendServers &servers() { return m_servers; }

    /// \param load multiple of UsualPerSecond
    static std::vector<StageArrival> arrivals(framework::IRandom &random, double load,
                                              framework::Milliseconds duration)
    {
        constexpr double MicrosecondsPerSecond = 1e6;
        constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
        const auto meanGap =
            static_cast<std::uint64_t>(MicrosecondsPerSecond / (UsualPerSecond * load));
        std::vector<StageArrival> result;
        std::int64_t microseconds = 0;
        while (true) {
            microseconds += static_cast<std::int64_t>(random.below(2 * meanGap));
            const framework::Milliseconds offset(microseconds / MicrosecondsPerMillisecond);
            if (offset >= duration) {
                return result;
            }
            result.push_back({Start + offset, job(random, result.size())});
        }
    }

private:
    static serving::ServiceSpec pool(const char *id, std::uint32_t batchSize,
                                     framework::Microseconds pieceTime, framework::Bytes capacity)
    {
        serving::ServiceSpec service;
        service.id = framework::ServiceId(id);
        service.stagePool = serving::StagePool{1,
                                               2,
                                               batchSize,
                                               framework::Milliseconds(240),
                                               pieceTime,
                                               capacity,
                                               framework::Milliseconds(4000)};
        return service;
    }
    void add(const char *service, int count)
    {
        constexpr int Zones = 6;
        for (int number = 0; number < count; ++number) {
            membership::BackendServerEntry entry;
            entry.id = framework::BackendServerId(std::string(service) + std::to_string(number));
            entry.service = framework::ServiceId(service);
            entry.zone = framework::AvailabilityZoneId("z" + std::to_string(number % Zones));
            m_servers.add(entry);
        }
    }
    static protocol::StageJob job(framework::IRandom &random, std::size_t number)
    {
        constexpr std::uint64_t ShortShare = 83;
        constexpr std::uint64_t UrgentShare = 213;
        constexpr std::uint64_t BackgroundShare = 338;
        const std::uint64_t drawn = random.below(ShortShare + UrgentShare + BackgroundShare);
        protocol::StageJob result;
        result.request = framework::RequestId("r" + std::to_string(number));
        result.input = framework::StageInputId("i" + std::to_string(number));
        result.zone = framework::AvailabilityZoneId("z" + std::to_string(random.below(6)));
        result.timeLeft = framework::Milliseconds(10000);
        if (drawn < ShortShare) {
            result.route = framework::RouteId("short");
            result.priority = framework::PriorityRank(1);
            result.objectiveLeft = framework::Milliseconds(1000);
            addStage(result, 0, "ledger", {}, 1 + random.below(4), framework::Bytes(800000));
            return result;
        }
        const bool urgent = drawn < ShortShare + UrgentShare;
        result.route = framework::RouteId(urgent ? "urgent" : "background");
        result.priority = framework::PriorityRank(urgent ? 0 : 2);
        result.objectiveLeft = framework::Milliseconds(1850);
        addStage(result, 0, "ledger", {}, 1, framework::Bytes(8000));
        addStage(result, 1, "scale", {0}, 4, framework::Bytes(60000));
        addStage(result, 2, "log", {1}, 4 + random.below(5), framework::Bytes(6000));
        return result;
    }
    static void addStage(protocol::StageJob &job, std::uint32_t index, const char *service,
                         std::vector<std::uint32_t> after, std::uint64_t pieces,
                         framework::Bytes resultSize)
    {
        job.stages.push_back({index, framework::ServiceId(service), std::move(after),
                              static_cast<std::uint32_t>(pieces), resultSize});
    }

    serving::FakeServingState m_serving;
    membership::FakeBackendServers m_servers;
};

} // namespace lavendertally::stages
