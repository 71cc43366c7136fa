#include "standins/actionstandin.h"
#include "standins/modelenginestandin.h"
#include "standins/poolstandin.h"
#include "standins/tests/standinfixture.h"

#include <tuple>

using namespace lavendertally;
using namespace lavendertally::standins;
using http::HttpEnd;

namespace {

struct InterfaceCase
{
    const char *name;
    const char *target;
    nlohmann::json body;
    std::unique_ptr<StandInServer> (*make)(framework::IEventLoop &loop);
    /// Whether a cut answer is seen as a broken connection; otherwise as broken JSON.
    bool streams;
};

template <PoolKind Kind>
std::unique_ptr<StandInServer> makePool(framework::IEventLoop &loop)
{
    return std::make_unique<PoolStandIn>(loop, Kind, ServiceOptions{});
}

std::unique_ptr<StandInServer> makeAction(framework::IEventLoop &loop)
{
    return std::make_unique<ActionStandIn>(loop, ServiceOptions{});
}

std::unique_ptr<StandInServer> makeEngine(framework::IEventLoop &loop)
{
    return std::make_unique<ModelEngineStandIn>(loop, EngineOptions{});
}

const std::vector<InterfaceCase> &interfaces()
{
    static const std::vector<InterfaceCase> Cases{
        {"Encode", "/v1/encode", {{"text", "sour tank"}}, &makePool<PoolKind::Encode>, false},
        {"Retrieve",
         "/v1/retrieve",
         {{"vector", {0.1}}, {"k", 3}},
         &makePool<PoolKind::Retrieve>,
         false},
        {"Rerank",
         "/v1/rerank",
         {{"query", "xy"}, {"documents", {{{"id", "d1"}, {"text", "x"}}}}},
         &makePool<PoolKind::Rerank>,
         false},
        {"Action", "/v1/action", {{"operation", {{"slot", 4}}}}, &makeAction, false},
        {"Completion",
         "/v1/completions",
         {{"prompt", "a b c d"}, {"max_tokens", 4}},
         &makeEngine,
         false},
        {"Stream",
         "/v1/completions",
         {{"prompt", "a b c d"}, {"max_tokens", 4}, {"stream", true}},
         &makeEngine,
         true},
        {"Order",
         "/v1/orders",
         {{"fencing", 7}, {"order", "set_role"}, {"argument", "prefill"}},
         &makeEngine,
         false},
    };
    return Cases;
}

struct FaultCase
{
    const char *name;
    FaultMode mode;
    HttpEnd end;
    int status;
};

const FaultCase FaultCases[] = {
    {"None", FaultMode::None, HttpEnd::Complete, 200},
    {"Down", FaultMode::Down, HttpEnd::Complete, 503},
    {"Refuse", FaultMode::Refuse, HttpEnd::Broken, 0},
    {"Slow", FaultMode::Slow, HttpEnd::Complete, 200},
    {"Frozen", FaultMode::Frozen, HttpEnd::TimedOut, 0},
    {"LostAnswer", FaultMode::LostAnswer, HttpEnd::Broken, 0},
    {"Doubled", FaultMode::Doubled, HttpEnd::Complete, 200},
    {"Reordered", FaultMode::Reordered, HttpEnd::Complete, 200},
    {"Lagging", FaultMode::Lagging, HttpEnd::Complete, 200},
    {"Truncated", FaultMode::Truncated, HttpEnd::Complete, 200},
    {"Cold", FaultMode::Cold, HttpEnd::Complete, 200},
};

Fault faultOf(FaultMode mode)
{
    return {mode, framework::Milliseconds(20), std::nullopt, ""};
}

} // namespace

class BackendContract : public StandInFixture,
                        public testing::WithParamInterface<std::tuple<std::size_t, FaultCase>>
{ };

TEST_P(BackendContract, CallEndsAsTheFaultSaysAndTheStandInRecovers)
{
    const InterfaceCase &interface = interfaces()[std::get<std::size_t>(GetParam())];
    const FaultCase &fault = std::get<FaultCase>(GetParam());
    const auto standIn = interface.make(*m_loop);
    const auto endpoint = standIn->listen({"127.0.0.1", 0}).value();
    standIn->setFault(faultOf(fault.mode));
    const bool cutStream = fault.mode == FaultMode::Truncated && interface.streams;
    // Only a call that must time out may be given little time: the others end by themselves.
    const bool timesOut = fault.end == HttpEnd::TimedOut;
    const auto response = timesOut ? call(endpoint, interface.target, interface.body, ShortTimeout)
                                   : call(endpoint, interface.target, interface.body);
    EXPECT_EQ(response.end, cutStream ? HttpEnd::Broken : fault.end);
    EXPECT_EQ(response.status, cutStream ? 0 : fault.status);
    if (fault.mode == FaultMode::Truncated && !interface.streams) {
        EXPECT_FALSE(nlohmann::json::accept(response.body));
    }
    standIn->setFault({});
    EXPECT_EQ(call(endpoint, interface.target, interface.body).status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    StandIns, BackendContract,
    testing::Combine(testing::Range<std::size_t>(0, interfaces().size()),
                     testing::ValuesIn(FaultCases)),
    [](const testing::TestParamInfo<std::tuple<std::size_t, FaultCase>> &info) {
        return std::string(interfaces()[std::get<std::size_t>(info.param)].name)
            + std::get<FaultCase>(info.param).name;
    });

struct EffectCase
{
    const char *name;
    FaultMode mode;
    std::size_t effects;
    std::size_t effectsAfterRecovery;
};

const EffectCase EffectCases[] = {
    {"None", FaultMode::None, 1, 1},           {"Down", FaultMode::Down, 0, 0},
    {"Refuse", FaultMode::Refuse, 0, 0},       {"Slow", FaultMode::Slow, 1, 1},
    {"Frozen", FaultMode::Frozen, 0, 1},       {"LostAnswer", FaultMode::LostAnswer, 1, 1},
    {"Doubled", FaultMode::Doubled, 2, 2},     {"Reordered", FaultMode::Reordered, 1, 1},
    {"Truncated", FaultMode::Truncated, 1, 1},
};

class EffectContract : public StandInFixture, public testing::WithParamInterface<EffectCase>
{ };

TEST_P(EffectContract, LedgerCountsEachRunOfAnAction)
{
    ActionStandIn action(*m_loop, ServiceOptions{});
    const auto endpoint = action.listen({"127.0.0.1", 0}).value();
    action.setFault(faultOf(GetParam().mode));
    call(endpoint, "/v1/action", {{"operation", 1}}, ShortTimeout);
    // A doubled call's second run ends after the first, whose answer is dropped.
    EXPECT_EQ(action.operations().size(), GetParam().effects);
    action.setFault({});
    EXPECT_EQ(call(endpoint, "/v1/action", {{"operation", 2}}).status, 200);
    const auto ledger = nlohmann::json::parse(call(endpoint, "/v1/ledger").body);
    EXPECT_EQ(ledger["count"], GetParam().effectsAfterRecovery + 1);
}

INSTANTIATE_TEST_SUITE_P(StandIns, EffectContract, testing::ValuesIn(EffectCases),
                         [](const testing::TestParamInfo<EffectCase> &info) {
                             return info.param.name;
                         });
