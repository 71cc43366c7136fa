#include "proxy/tests/proxyfixture.h"

using namespace lavendertally;
using namespace lavendertally::proxy;

namespace {

/// Longer than a backend server that refused a call gets none, shorter than one that failed.
constexpr std::int64_t AfterRefusalMs = 150;

} // namespace

/// Backend servers that accept no further connection.
class ProxyConnectionLimitTest : public ProxyFixture
{
protected:
    /// \return whether a request goes to \p server while the other one has a call
    bool isUsed(framework::BackendServerId server)
    {
        start("book");
        return m_backends.m_sent.back().request.server.id == server;
    }
};

/// Guards against a healthy server that is ejected because this gateway's connections are in use.
TEST_F(ProxyConnectionLimitTest, NoConnectionIsFree_NextServerIsTriedAndTheFirstStaysUsable)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::NoConnection);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    EXPECT_TRUE(isUsed(sent(0).request.server.id));
    respond(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

/// Guards against a full server that is ejected as a failed one.
TEST_F(ProxyConnectionLimitTest, ServerRejectsConnection_NextServerIsTriedAndTheFirstIsUsedSoon)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::Rejected);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    advance(AfterRefusalMs);
    EXPECT_TRUE(isUsed(sent(0).request.server.id));
    respond(1, head(200), "booked");
    EXPECT_EQ(received->body, "booked");
}

TEST_F(ProxyConnectionLimitTest, AllServersAreFull_RequestIsRefusedAsNotRun)
{
    const auto received = start("book");
    sent(0).observer->onEnd(BackendCallEnd::Rejected);
    sent(1).observer->onEnd(BackendCallEnd::NoConnection);
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
}

/// Guards against a log that names full backend servers unreachable.
TEST_F(ProxyConnectionLimitTest, ManyServersAreFull_RefusalNamesTheCause)
{
    for (const char *id : {"c", "d", "e"}) {
        addServer(id);
    }
    const auto received = start("book");
    for (std::size_t attempt = 0; attempt <= ProxyLimits().maxConnectFailures; ++attempt) {
        sent(attempt).observer->onEnd(BackendCallEnd::NoConnection);
    }
    EXPECT_EQ(received->refusal, RefusalKind::NotRun);
    EXPECT_NE(m_metrics->prometheusText().find("backend servers accept no further connection"),
              std::string::npos);
}

/// Guards against a repeatable request that is answered as lost while another server could take it:
/// the route allows one attempt.
TEST_F(ProxyConnectionLimitTest, RepeatableRequestIsRejectedAfterItWasWritten_IsServedElsewhere)
{
    const auto received = start("open");
    sent().observer->onEnd(BackendCallEnd::RejectedAfterSend);
    advance(50);
    ASSERT_EQ(m_backends.m_sent.size(), 2U);
    advance(AfterRefusalMs);
    EXPECT_TRUE(isUsed(sent(0).request.server.id));
    respond(1, head(200), "read");
    EXPECT_EQ(received->body, "read");
}

/// Guards against a request that runs twice, and against a refusal that says that it has not run.
TEST_F(ProxyConnectionLimitTest, RequestThatMayRunOnceIsRejectedAfterItWasWritten_MayHaveRun)
{
    const auto received = start("book");
    sent().observer->onEnd(BackendCallEnd::RejectedAfterSend);
    advance(AfterRefusalMs);
    EXPECT_EQ(m_backends.m_sent.size(), 1U);
    EXPECT_EQ(received->refusal, RefusalKind::ResponseLost);
}
