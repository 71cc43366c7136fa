#pragma once

#include "configurationcheck/types/checkcontext.h"
#include "configurationcheck/types/configurationdraft.h"

namespace lavendertally::configurationcheck {

/// \return a context like that of a gateway of its own
inline CheckContext plainContext()
{
    return {1, framework::Bytes(32 * 1024 * 1024), 4, framework::Milliseconds(2)};
}

/// \return a route with one stage, two plain services and a pool, two teams; without any fault
inline ConfigurationDraft soundDraft()
{
    ConfigurationDraft draft;
    draft.version = framework::ConfigurationVersion(1);
    serving::Route route;
    route.id = framework::RouteId("r1");
    route.hostName = "h";
    route.prefix = "/a/";
    route.timeout = framework::Milliseconds(1000);
    route.latencyObjective = framework::Milliseconds(500);
    route.split = {{framework::ServiceId("s1"), 1}};
    route.maxAttempts = 2;
    route.stages = {{framework::ServiceId("p"), {}, framework::Bytes(100)},
                    {framework::ServiceId("p"), {0}, framework::Bytes(100)}};
    draft.routes.push_back(route);
    for (const char *name : {"s1", "s2", "p"}) {
        serving::ServiceSpec service;
        service.id = framework::ServiceId(name);
        service.maxConnections = 78;
        service.coldRequestsPerSecond = 23;
        draft.services.push_back(service);
    }
    serving::StagePool pool;
    pool.batchSize = 8;
    pool.callOverhead = framework::Milliseconds(20);
    pool.pieceTime = framework::Microseconds(1000);
    pool.resultCapacity = framework::Bytes(1000000);
    draft.services[2].stagePool = pool;
    draft.teams = std::vector<serving::TeamEntry>{
        {framework::TeamId("t1"), {}, {framework::ApiKey("key one")}},
        {framework::TeamId("t2"), {}, {framework::ApiKey("key two")}}};
    return draft;
}

} // namespace lavendertally::configurationcheck
