#include "app/tests/processfixture.h"

#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <csignal>

using namespace lavendertally;
using namespace lavendertally::app;
using framework::Milliseconds;

namespace {

http::HttpRequest callerRequest(const framework::Endpoint &entry, const std::string &body)
{
    http::HttpRequest request;
    request.endpoint = entry;
    request.method = http::HttpMethod::Post;
    request.target = "/v1/requests";
    request.body = body;
    request.timeout = Milliseconds(30000);
    return request;
}

} // namespace

TEST_F(ProcessFixture, KilledHostProcess_RequestsGoElsewhereAndNoneIsLost)
{
    host("encoder", "za").daemon->signal(SIGKILL);
    ASSERT_TRUE(host("encoder", "za").daemon->wait(WaitLimit));
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(ask(0, "k" + std::to_string(i), "plan")["outcome"], "done");
    }
    ASSERT_TRUE(m_fleet.restartDaemon(host("encoder", "za")));
    waitUntil("the restarted process to learn the configuration from its peers",
              [this] { return revision(host("encoder", "za")) >= 1; });
    EXPECT_EQ(ask(0, "after", "plan")["outcome"], "done");
}

TEST_F(ProcessFixture, LogOutage_OrdinaryRequestsGoOnAndBookingsAreHonestlyNotRun)
{
    fault(m_fleet.logService(), "down");
    EXPECT_EQ(ask(0, "plain", "plan")["outcome"], "done");
    const auto refused = ask(0, "b1", "book");
    EXPECT_EQ(refused["outcome"], "not_run");
    EXPECT_EQ(refused["reason"], "log_unavailable");
    EXPECT_EQ(effects("b1"), 0U);
    fault(m_fleet.logService(), "none");
    EXPECT_EQ(ask(1, "b1", "book")["outcome"], "done");
    EXPECT_EQ(effects("b1"), 1U);
}

TEST_F(ProcessFixture, LogOutage_NewProcessStartsFromItsPeers)
{
    fault(m_fleet.logService(), "down");
    localfleet::FleetHost &entry = m_fleet.entries()[1];
    entry.daemon->signal(SIGKILL);
    ASSERT_TRUE(entry.daemon->wait(WaitLimit));
    ASSERT_TRUE(m_fleet.restartDaemon(entry));
    waitUntil("the new entry to learn the configuration from its peers",
              [&] { return revision(entry) >= 1; });
    EXPECT_EQ(ask(1, "fresh", "plan")["outcome"], "done");
}

TEST_F(ProcessFixture, LostAppendAnswer_BookingRunsOnce)
{
    fault(m_fleet.logService(), "lost_answer", "/v1/streams/claims");
    const auto answer = ask(0, "b1", "book");
    EXPECT_EQ(effects("b1"), answer["outcome"] == "done" ? 1U : 0U) << answer;
    fault(m_fleet.logService(), "none");
    // The first claim's release reaches the log after a backoff; until then it is held.
    waitUntil("a repeat to be done", [this] { return ask(1, "b1", "book")["outcome"] == "done"; });
    // The first entry may still wait before it asks the log again, and says so until then.
    waitUntil("the result at the first entry", [this] {
        const auto repeat = ask(0, "b1", "book");
        const bool waits = repeat["outcome"] == "not_run" && repeat["reason"] == "log_unavailable";
        EXPECT_TRUE(waits || repeat["outcome"] == "done") << repeat;
        return !waits;
    });
    EXPECT_EQ(effects("b1"), 1U);
}

TEST_F(ProcessFixture, BookingAnswerLost_CallerHearsUnknownAndItNeverRunsAgain)
{
    for (const char *zone : {"za", "zb"}) {
        fault(host("booking", zone).backendEndpoint, "lost_answer", "/v1/action");
    }
    EXPECT_EQ(ask(0, "b1", "book")["outcome"], "unknown");
    for (const char *zone : {"za", "zb"}) {
        fault(host("booking", zone).backendEndpoint, "none");
    }
    EXPECT_EQ(ask(1, "b1", "book")["outcome"], "unknown");
    EXPECT_EQ(effects("b1"), 1U);
}

TEST_F(ProcessFixture, FrozenEntryWakes_TheBookingThatWentElsewhereRunsOnce)
{
    localfleet::FleetHost &frozen = m_fleet.entries()[0];
    bool answered = false;
    const auto call =
        m_fleet.client().fetch(callerRequest(frozen.entry.http, body("b1", "book")),
                               [&](const http::HttpResponse & /*response*/) { answered = true; });
    pause(Milliseconds(2));
    frozen.daemon->signal(SIGSTOP);
    const auto first = ask(1, "b1", "book");
    const auto second = ask(1, "b1", "book");
    frozen.daemon->signal(SIGCONT);
    waitUntil("the frozen entry's answer", [&] { return answered; });
    EXPECT_LE(effects("b1"), 1U) << first << second;
    const auto last = ask(1, "b1", "book");
    EXPECT_LE(effects("b1"), 1U) << last;
}

TEST_F(ProcessFixture, FrozenHostProcess_DoesNotHoldUpOtherRequests)
{
    ASSERT_EQ(ask(0, "before", "plan")["outcome"], "done");
    // The entry prefers its own zone, so its next call goes to the frozen process.
    host("encoder", "za").daemon->signal(SIGSTOP);
    for (int i = 0; i < 3; ++i) {
        const auto answer = ask(0, "f" + std::to_string(i), "plan");
        EXPECT_EQ(answer["outcome"], "done") << answer;
        EXPECT_TRUE(answer.value("in_time", false)) << answer;
    }
    host("encoder", "za").daemon->signal(SIGCONT);
}

TEST_F(ProcessFixture, ZoneOutDuringHostListOutage_NoNewWorkAfterThreeSeconds)
{
    ASSERT_EQ(ask(0, "before", "plan")["outcome"], "done");
    fault(m_fleet.hostList(), "down");
    ASSERT_EQ(m_fleet.runTool({"zone", "out", "zb"}), 0);
    const framework::TimePoint bound = m_clock->now() + Milliseconds(3000);
    for (const char *service : {"encoder", "writer", "booking"}) {
        waitUntil("the gate to close",
                  [&] { return dump(host(service, "zb"))["gate"] == "zone_out"; });
    }
    EXPECT_LE(m_clock->now(), bound);
    EXPECT_EQ(ask(1, "during", "plan")["outcome"], "done");
    ASSERT_EQ(m_fleet.runTool({"zone", "in", "zb"}), 0);
    waitUntil("the gate to open", [&] { return dump(host("writer", "zb"))["gate"] == "none"; });
}

TEST_F(ProcessFixture, ZoneOutThenLogDown_StandsInANewProcess)
{
    ASSERT_EQ(m_fleet.runTool({"zone", "out", "zb"}), 0);
    const std::uint64_t known = revision(m_fleet.entries()[0]);
    waitUntil("the other entry to know", [&] { return inForceEverywhere(known); });
    fault(m_fleet.logService(), "down");
    localfleet::FleetHost &restarted = host("writer", "zb");
    restarted.daemon->signal(SIGKILL);
    ASSERT_TRUE(restarted.daemon->wait(WaitLimit));
    ASSERT_TRUE(m_fleet.restartDaemon(restarted));
    waitUntil("the gate to close again", [&] { return dump(restarted)["gate"] == "zone_out"; });
    EXPECT_GE(revision(restarted), known);
}

TEST_F(ProcessFixture, TwoOperators_TheLoserIsTold)
{
    const std::string file = LAVENDERTALLY_SOURCE_DIR "/src/app/tests/fleet.yaml";
    const std::string base = std::to_string(revision(m_fleet.entries()[0]));
    EXPECT_EQ(m_fleet.runTool({"--base", base, "apply", file}), 0);
    EXPECT_EQ(m_fleet.runTool({"--base", base, "apply", file}), 65);
}

TEST_F(ProcessFixture, ApplyDuringLogOutage_IsReportedUnavailable)
{
    fault(m_fleet.logService(), "down");
    EXPECT_EQ(m_fleet.runTool({"--timeout", "2s", "zone", "out", "zb"}), 69);
    fault(m_fleet.logService(), "none");
    EXPECT_EQ(m_fleet.runTool({"zone", "out", "zb"}), 0);
}

TEST_F(ProcessFixture, DrainDuringALongAnswer_CutsOffNothingAndExitsWithZero)
{
    localfleet::FleetHost &entry = m_fleet.entries()[0];
    http::HttpResponse response;
    bool answered = false;
    const auto call = m_fleet.client().fetch(
        callerRequest(entry.entry.http, body("long", "letter")), [&](http::HttpResponse received) {
            response = std::move(received);
            answered = true;
        });
    waitUntil("the letter to be under way at a writer", [&] {
        return dump(host("writer", "za")).value("running", 0)
            + dump(host("writer", "zb")).value("running", 0)
            == 1;
    });
    fault(m_fleet.logService(), "down");
    entry.daemon->signal(SIGTERM);
    for (const char *zone : {"za", "zb"}) {
        host("writer", zone).daemon->signal(SIGTERM);
    }
    waitUntil("the letter's answer", [&] { return answered; });
    EXPECT_EQ(nlohmann::json::parse(response.body, nullptr, false)["outcome"], "done")
        << response.body;
    EXPECT_EQ(entry.daemon->wait(WaitLimit), 0);
    for (const char *zone : {"za", "zb"}) {
        EXPECT_EQ(host("writer", zone).daemon->wait(WaitLimit), 0);
    }
}

TEST_F(ProcessFixture, StopSignalFindsARequestThatIsNotReadYet_EntryAnswersIt)
{
    localfleet::FleetHost &entry = m_fleet.entries()[0];
    http::HttpResponse response;
    bool ended = false;
    // The entry is paused so that signal and request surely come together.
    entry.daemon->signal(SIGSTOP);
    const auto newClient = http::HttpModule::makeClient(*m_loop);
    const auto call = newClient->fetch(callerRequest(entry.entry.http, body("crossing", "plan")),
                                       [&](http::HttpResponse received) {
                                           response = std::move(received);
                                           ended = true;
                                       });
    pause(Milliseconds(100));
    entry.daemon->signal(SIGTERM);
    entry.daemon->signal(SIGCONT);
    waitUntil("the end of the call", [&] { return ended; });
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(entry.daemon->wait(WaitLimit), 0);
}

TEST_F(ProcessFixture, StopSignalFindsAStageCallThatIsNotReadYet_OutcomeIsKnown)
{
    ASSERT_EQ(ask(0, "before", "book")["outcome"], "done");
    localfleet::FleetHost &stopped = host("booking", "za");
    nlohmann::json answer;
    bool ended = false;
    // The host process is paused so that signal and call surely come together.
    stopped.daemon->signal(SIGSTOP);
    const auto call = m_fleet.client().fetch(
        callerRequest(m_fleet.entries()[0].entry.http, body("crossing", "book")),
        [&](const http::HttpResponse &received) {
            answer = nlohmann::json::parse(received.body, nullptr, false);
            ended = true;
        });
    pause(Milliseconds(100));
    stopped.daemon->signal(SIGTERM);
    stopped.daemon->signal(SIGCONT);
    waitUntil("the end of the call", [&] { return ended; });
    EXPECT_EQ(answer["outcome"], "done") << answer.dump();
    EXPECT_EQ(effects("crossing"), 1U);
}

TEST_F(ProcessFixture, InterruptWhileDraining_ExitsAtOnce)
{
    localfleet::FleetHost &entry = m_fleet.entries()[0];
    const auto call =
        m_fleet.client().fetch(callerRequest(entry.entry.http, body("long", "letter")),
                               [](const http::HttpResponse & /*response*/) {});
    waitUntil("the letter to be under way",
              [&] { return dump(entry).value("active_requests", 0) == 1; });
    entry.daemon->signal(SIGTERM);
    const auto refusesNew = [&] { return ask(0, "late", "plan")["reason"] == "leaving"; };
    waitUntil("the entry to drain", refusesNew);
    entry.daemon->signal(SIGTERM);
    waitUntil("the entry to go on draining", refusesNew);
    entry.daemon->signal(SIGINT);
    EXPECT_EQ(entry.daemon->wait(WaitLimit), 1);
}

TEST_F(ProcessFixture, BadRequests_AreRefusedAndTheEntryGoesOn)
{
    const framework::Endpoint &entry = m_fleet.entries()[0].entry.http;
    for (const std::string &bad :
         {std::string(), std::string("{"), std::string("[]"), std::string(R"({"team":1})"),
          std::string(2 * 1024 * 1024, 'x')}) {
        const auto reply = m_fleet.post(entry, "/v1/requests", bad);
        EXPECT_NE(reply.status, 200);
    }
    EXPECT_EQ(m_fleet.post(host("writer", "za").entry.http, "/inner/v1/stage", "noise").status,
              400);
    EXPECT_EQ(ask(0, "good", "plan")["outcome"], "done");
}

TEST_F(ProcessFixture, BackendTurnsCold_HostProcessNoticesAndRequestsAreServed)
{
    localfleet::FleetHost &writer = host("writer", "za");
    ASSERT_EQ(ask(0, "warm", "plan")["outcome"], "done");
    const auto before = dump(writer).value("incarnation", 0);
    ASSERT_EQ(m_fleet.post(writer.backendEndpoint, "/admin/restart", "{}").status, 200);
    waitUntil("the host process to see the new incarnation",
              [&] { return dump(writer).value("incarnation", 0) > before; });
    EXPECT_TRUE(dump(writer).value("cold", false));
    EXPECT_EQ(ask(0, "again", "plan")["outcome"], "done");
}
