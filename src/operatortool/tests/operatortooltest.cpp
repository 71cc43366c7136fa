#include "operatortool/operatortool.h"

#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "operatortool/commandline.h"
#include "operatortool/tests/fakeoperatorclient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace lavendertally;
using namespace lavendertally::operatortool;

namespace {

constexpr framework::Milliseconds TimeLimit{10000};
const std::string Samples = std::string(LAVENDERTALLY_SOURCE_DIR) + "/samples/alfold/";

} // namespace

class OperatorToolTest : public testing::Test
{
protected:
    /// \return exit status
    int run(const std::vector<std::string> &words)
    {
        std::optional<ExitCode> code;
        OperatorTool tool(m_client, m_scheduler, m_clock, framework::OperationId("fresh"), m_output,
                          m_errors);
        tool.run(parseCommandLine(words).value(), [&](ExitCode result) { code = result; });
        m_scheduler.advance(TimeLimit);
        EXPECT_TRUE(code.has_value()) << "the tool goes on past its time limit";
        return code ? static_cast<int>(*code) : -1;
    }

    std::string output() const { return m_output.str(); }
    std::string errors() const { return m_errors.str(); }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler{m_clock};
    FakeOperatorClient m_client;
    std::ostringstream m_output;
    std::ostringstream m_errors;
};

TEST_F(OperatorToolTest, ApplyIsBasedOnTheRevisionOfTheEntry)
{
    m_client.m_outcomes = {ChangeStatus::Applied};
    EXPECT_EQ(run({"apply", Samples + "teams.yaml", "--remove", "old.yaml"}), 0);
    ASSERT_EQ(m_client.m_changes.size(), 1U);
    const auto &change = std::get<configuration::ApplyFiles>(m_client.m_changes[0].change);
    EXPECT_EQ(change.base, framework::LogOffset(7));
    EXPECT_EQ(change.files.size(), 2U);
    EXPECT_TRUE(change.files.at("teams.yaml").has_value());
    EXPECT_FALSE(change.files.at("old.yaml").has_value());
    EXPECT_NE(output().find("applied at offset"), std::string::npos);
}

TEST_F(OperatorToolTest, UnknownOutcomeIsAskedAgainUnderTheSameOperation)
{
    m_client.m_outcomes = {ChangeStatus::Unknown, ChangeStatus::NotApplied, ChangeStatus::Applied};
    EXPECT_EQ(run({"zone", "out", "z1"}), 0);
    ASSERT_EQ(m_client.m_changes.size(), 3U);
    EXPECT_EQ(m_client.m_changes[0], m_client.m_changes[2]);
    EXPECT_EQ(m_client.m_changes[0].operation, framework::OperationId("fresh"));
}

TEST_F(OperatorToolTest, LastingUnknownOutcomeIsNotCalledNotApplied)
{
    m_client.m_outcomes = {ChangeStatus::Unknown};
    EXPECT_EQ(run({"apply", Samples + "teams.yaml"}), 69);
    EXPECT_NE(errors().find("unknown"), std::string::npos) << "a later refusal proves nothing";
    EXPECT_NE(errors().find("--operation fresh --base 7"), std::string::npos);
    EXPECT_EQ(errors().find("not applied"), std::string::npos);
}

TEST_F(OperatorToolTest, UnreachableEntryMeansNotAppliedUnlessAnEarlierRunMayHaveDoneIt)
{
    EXPECT_EQ(run({"zone", "out", "z1"}), 69);
    EXPECT_NE(errors().find("not applied: unreachable"), std::string::npos);
    EXPECT_GT(m_client.m_changes.size(), 2U);
    m_errors.str("");
    EXPECT_EQ(run({"zone", "out", "z1", "--operation", "op5"}), 69);
    EXPECT_EQ(errors().find("not applied"), std::string::npos);
    m_errors.str("");
    m_client.m_reachable = false;
    EXPECT_EQ(run({"apply", Samples + "teams.yaml"}), 69);
    EXPECT_NE(errors().find("not applied: unreachable"), std::string::npos);
    m_errors.str("");
    EXPECT_EQ(run({"apply", Samples + "teams.yaml", "--operation", "op5"}), 69);
    EXPECT_EQ(errors().find("not applied"), std::string::npos);
}

TEST_F(OperatorToolTest, VoidAndRefusedChangesAreFinalAndBadData)
{
    for (const ChangeStatus status : {ChangeStatus::Void, ChangeStatus::Refused}) {
        m_client.m_changes.clear();
        m_client.m_outcomes = {status};
        EXPECT_EQ(run({"host", "out", "h1"}), 65);
        EXPECT_EQ(m_client.m_changes.size(), 1U);
    }
}

TEST_F(OperatorToolTest, InvalidFilesAreRefusedWithoutACall)
{
    const std::string readme = std::string(LAVENDERTALLY_SOURCE_DIR) + "/CMakeLists.txt";
    EXPECT_EQ(run({"apply", readme}), 65);
    EXPECT_NE(errors().find("CMakeLists.txt:"), std::string::npos);
    EXPECT_EQ(run({"apply", "/nowhere/a.yaml"}), 65);
    EXPECT_EQ(run({"check", Samples + "pipelines.yaml"}), 65) << "services are missing";
    EXPECT_EQ(run({"apply", Samples + "teams.yaml", Samples + "../caddo/teams.yaml"}), 64);
    EXPECT_TRUE(m_client.m_changes.empty());
}

TEST_F(OperatorToolTest, CheckNeedsNoDaemon)
{
    m_client.m_reachable = false;
    EXPECT_EQ(run({"check", Samples + "services.yaml", Samples + "pipelines.yaml"}), 0);
    EXPECT_EQ(output(), "valid\n");
}

TEST_F(OperatorToolTest, OutcomeAsJsonNamesOperationAndBase)
{
    m_client.m_outcomes = {ChangeStatus::Void};
    EXPECT_EQ(run({"--json", "apply", Samples + "teams.yaml", "--base", "3"}), 65);
    const auto json = nlohmann::json::parse(output());
    EXPECT_EQ(json["status"], "void");
    EXPECT_EQ(json["operation"], "fresh");
    EXPECT_EQ(json["base"], 3);
}

TEST_F(OperatorToolTest, StatusIsATableAndDumpIsJson)
{
    m_client.m_document = R"({"revision":4,"zones":["z1"],"zones_out":["z1"],"hosts_out":[],
        "daemons":[{"daemon":"d1","role":"host","availability_zone":"z1","revision":3,
        "age_ms":5}]})";
    EXPECT_EQ(run({"status"}), 0);
    EXPECT_NE(output().find("zones out  z1\nhosts out  none"), std::string::npos) << output();
    EXPECT_NE(output().find("d1 "), std::string::npos);
    m_output.str("");
    EXPECT_EQ(run({"dump", "127.0.0.1:1"}), 0);
    EXPECT_EQ(nlohmann::json::parse(output())["revision"], 4);
    m_client.m_reachable = false;
    EXPECT_EQ(run({"status"}), 69);
    EXPECT_EQ(run({"dump", "127.0.0.1:1"}), 69);
}
