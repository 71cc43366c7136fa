#include "proxy/tests/proxyfixture.h"
#include "routing/icallwork.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

namespace {

class AttemptWorkTest : public ProxyFixture
{
protected:
    ClientRequest longPrompt() const
    {
        ClientRequest result = request("resumable");
        result.promptTokens = framework::TokenCount(12000);
        result.maxOutputTokens = framework::TokenCount(400);
        return result;
    }
    /// \return own calls and their unread tokens at all backend servers
    std::pair<std::uint32_t, std::int64_t> outstanding() const
    {
        std::pair<std::uint32_t, std::int64_t> sum;
        for (const auto &view : m_selector->callWork().outstanding(10, m_clock.now())) {
            sum.first += view.ownCalls;
            sum.second += view.unreadTokens.value();
        }
        return sum;
    }
};

} // namespace

/// The selector must know what is outstanding, or long prompts queue behind each other.
TEST_F(AttemptWorkTest, PromptIsOutstanding_UntilItsFirstEvent)
{
    start(longPrompt());
    EXPECT_EQ(outstanding(), std::pair(1U, std::int64_t{12000}));
    sent().observer->onHead(head(200, true));
    event(0, 1);
    EXPECT_EQ(outstanding(), std::pair(1U, std::int64_t{0}));
    sent().observer->onEnd(BackendCallEnd::Complete);
    EXPECT_EQ(outstanding(), std::pair(0U, std::int64_t{0}));
}

/// Work that stays behind after a failure, a deadline or a client that leaves would keep its server
/// from being chosen.
TEST_F(AttemptWorkTest, CallEndsInAnyWay_NothingStaysOutstanding)
{
    start(longPrompt());
    sent(0).observer->onEnd(BackendCallEnd::Broken);
    advance(100);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_EQ(outstanding().first, 1U);
    m_service->abandon(m_ticket);
    EXPECT_EQ(outstanding().first, 0U);
    start(longPrompt());
    advance(1000);
    EXPECT_EQ(outstanding().first, 0U);
    start(longPrompt());
    sent(m_backends.m_sent.size() - 1).observer->onEnd(BackendCallEnd::NotSent);
    advance(1000);
    EXPECT_EQ(outstanding().first, 0U);
}
