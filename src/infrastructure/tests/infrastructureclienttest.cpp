#include "framework/asyncerror.h"
#include "infrastructure/ihostlist.h"
#include "infrastructure/infrastructuremodule.h"
#include "infrastructure/tests/standinfixture.h"
#include "infrastructure/types/infrastructureerror.h"
#include "standins/hostliststandin.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::infrastructure;
using standins::FaultMode;

namespace {

constexpr framework::Milliseconds Timeout{150};

using Hosts = std::vector<membership::HostEntry>;

nlohmann::json row(const std::string &host, const std::string &state)
{
    return {{"host", host},
            {"availability_zone", "z1"},
            {"role", "backend"},
            {"state", state},
            {"service", "encoder"},
            {"http", "127.0.0.1:80"},
            {"control", "127.0.0.1:81"}};
}

nlohmann::json list(const std::vector<nlohmann::json> &rows)
{
    return {{"hosts", rows}};
}

struct FaultCase
{
    const char *name;
    FaultMode mode;
    std::optional<InfrastructureError> error;
};

void PrintTo(const FaultCase &fault, std::ostream *stream)
{
    *stream << fault.name;
}

const FaultCase HostListCases[] = {
    {"None", FaultMode::None, std::nullopt},
    {"Down", FaultMode::Down, InfrastructureError::Unavailable},
    {"Refuse", FaultMode::Refuse, InfrastructureError::Unavailable},
    {"Slow", FaultMode::Slow, std::nullopt},
    {"Frozen", FaultMode::Frozen, InfrastructureError::TimedOut},
    {"LostAnswer", FaultMode::LostAnswer, InfrastructureError::Unavailable},
    {"Doubled", FaultMode::Doubled, std::nullopt},
    {"Reordered", FaultMode::Reordered, std::nullopt},
    {"Lagging", FaultMode::Lagging, std::nullopt},
    {"Truncated", FaultMode::Truncated, InfrastructureError::MalformedAnswer},
};

std::string nameOf(const testing::TestParamInfo<FaultCase> &info)
{
    return info.param.name;
}

standins::Fault faultOf(FaultMode mode)
{
    return {mode, framework::Milliseconds(20), std::nullopt, ""};
}

} // namespace

class HostListTest : public testing::Test
{
protected:
    HostListTest()
        : m_standIn(*m_fixture.m_loop, standins::HostListOptions{}),
          m_hostList(InfrastructureModule::makeHostList(*m_fixture.m_client,
                                                        m_standIn.listen({"127.0.0.1", 0}).value()))
    { }

    Hosts fetch()
    {
        Hosts hosts;
        m_error.reset();
        m_hostList->fetch(Timeout, [&](framework::Result<Hosts> result) {
            if (result) {
                hosts = std::move(*result);
            } else {
                m_error = framework::errorOf(std::move(result), InfrastructureError::Expired);
            }
            m_fixture.m_loop->stop();
        });
        m_fixture.run();
        return hosts;
    }

    StandInFixture m_fixture;
    standins::HostListStandIn m_standIn;
    std::unique_ptr<IHostList> m_hostList;
    std::optional<InfrastructureError> m_error;
};

class HostListContract : public HostListTest, public testing::WithParamInterface<FaultCase>
{ };

TEST_P(HostListContract, ListIsWholeOrThereIsAnError)
{
    const FaultCase &fault = GetParam();
    m_standIn.setHosts(list({row("h1", "live"), row("h2", "leaving")}));
    m_standIn.setFault(faultOf(fault.mode));
    if (fault.mode == FaultMode::Lagging) {
        m_standIn.setHosts(list({}));
    }
    const Hosts hosts = fetch();
    EXPECT_EQ(m_error, fault.error);
    EXPECT_EQ(hosts.size(), fault.error ? 0U : 2U);
    m_standIn.setFault({});
    m_standIn.setHosts(list({row("h3", "live")}));
    EXPECT_EQ(fetch().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(StandIn, HostListContract, testing::ValuesIn(HostListCases), nameOf);

TEST_F(HostListTest, RowsAreReadWithAllTheirMembers)
{
    m_standIn.setHosts(list({row("h2", "leaving")}));
    const Hosts hosts = fetch();
    ASSERT_EQ(hosts.size(), 1U);
    const membership::HostEntry expected{framework::HostId("h2"),
                                         framework::AvailabilityZoneId("z1"),
                                         membership::HostRole::Backend,
                                         membership::HostState::Leaving,
                                         framework::ServiceId("encoder"),
                                         {"127.0.0.1", 80},
                                         {"127.0.0.1", 81}};
    EXPECT_EQ(hosts.front(), expected);
}

TEST_F(HostListTest, RowOfAnotherFormFailsTheWholeList)
{
    const std::pair<const char *, nlohmann::json> changes[] = {
        {"host", 1},
        {"host", ""},
        {"availability_zone", nullptr},
        {"role", "backed"},
        {"state", "gone"},
        {"http", "127.0.0.1"},
        {"http", "127.0.0.1:99999"},
        {"control", ":81"},
        {"service", nlohmann::json::array()},
    };
    for (const auto &[key, value] : changes) {
        SCOPED_TRACE(key);
        nlohmann::json bad = row("h1", "live");
        bad[key] = value;
        m_standIn.setHosts(list({row("h0", "live"), bad}));
        EXPECT_TRUE(fetch().empty());
        EXPECT_EQ(m_error, InfrastructureError::MalformedAnswer);
    }
}

TEST_F(HostListTest, TwoStatesOfOneHostFailTheWholeList)
{
    m_standIn.setHosts(list({row("h1", "live"), row("h1", "leaving")}));
    fetch();
    EXPECT_EQ(m_error, InfrastructureError::MalformedAnswer);
}
