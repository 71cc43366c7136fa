#include "framework/types/ids.h"
#include "routing/iserverfilter.h"
#include "routing/types/serverquery.h"
#include "stages/stagesmodule.h"
#include "stages/tests/stagefixture.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::stages;

namespace {

/// Lets one call through to the servers whose id begins with "new", and prefers them for it.
class OneCallFilter final : public routing::IServerFilter
{
public:
    void restrict(const routing::ServerQuery & /*query*/,
                  std::vector<const membership::BackendServerEntry *> &candidates,
                  framework::TimePoint /*now*/) override
    {
        std::erase_if(candidates, [this](const membership::BackendServerEntry *server) {
            return isNew(server->id) && m_callsToNew > 0;
        });
    }
    void prefer(const routing::ServerQuery & /*query*/,
                std::vector<const membership::BackendServerEntry *> &candidates,
                framework::TimePoint /*now*/) override
    {
        const auto isOld = [](const auto *server) { return !isNew(server->id); };
        if (!std::all_of(candidates.begin(), candidates.end(), isOld)) {
            std::erase_if(candidates, isOld);
        }
    }
    void callStarted(const membership::BackendServerEntry &server,
                     framework::TimePoint /*now*/) override
    {
        m_callsToNew += isNew(server.id) ? 1 : 0;
        ++m_started;
    }
    void callEnded(const framework::BackendServerId & /*server*/,
                   framework::TimePoint /*now*/) override
    {
        ++m_ended;
    }
    static bool isNew(const framework::BackendServerId &server)
    {
        return server.value().starts_with("new");
    }

    int m_callsToNew = 0;
    int m_started = 0;
    int m_ended = 0;
};

class StageFilterTest : public StageFixture
{
protected:
    StageFilterTest()
    {
        m_coordinator = StagesModule::makeCoordinator(m_serving, m_servers, m_rateLimits.limits(),
                                                      {}, {&m_filter});
    }

    OneCallFilter m_filter;
};

} // namespace

// A version on the canary must not get a batch at each of its servers at once.
TEST_F(StageFilterTest, FilterAllowsOneCall_LaterCallsOfTheSameDispatchKeepToIt)
{
    for (const char *id : {"new1", "new2", "old1", "old2"}) {
        addServer(id, "first");
    }
    submit(job("r1", 16));
    EXPECT_EQ(m_filter.m_callsToNew, 1);
    EXPECT_EQ(m_filter.m_started, 3);
    EXPECT_EQ(m_filter.m_ended, 0);
}
