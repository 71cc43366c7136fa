#include "operatortool/commandline.h"

#include "framework/types/errorcontext.h"
#include "operatortool/types/toolerror.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::operatortool;

namespace {

using Words = std::vector<std::string>;

/// \return the usage error; empty when the command line is right
std::string usageError(const Words &words)
{
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<std::string> {
            BOOST_LEAF_CHECK(parseCommandLine(words));
            return std::string();
        },
        [](ToolError error, const framework::ErrorContext &context) {
            EXPECT_EQ(error, ToolError::Usage);
            return context.message;
        },
        [] { return std::string("other error"); });
}

} // namespace

TEST(CommandLine, OptionsMayStandBeforeAndAfterTheCommand)
{
    const ToolOptions options =
        parseCommandLine({"--entry", "10.0.0.1:90", "apply", "a.yaml", "--json", "-t", "2m",
                          "b.yaml", "--operation=x1", "--base", "7", "--remove", "c.yaml"})
            .value();
    EXPECT_EQ(options.command, ToolCommand::Apply);
    EXPECT_EQ(options.entry, (framework::Endpoint{"10.0.0.1", 90}));
    EXPECT_TRUE(options.json);
    EXPECT_EQ(options.timeLimit, framework::Milliseconds(120000));
    EXPECT_EQ(options.paths, (Words{"a.yaml", "b.yaml"}));
    EXPECT_EQ(options.operation, framework::OperationId("x1"));
    EXPECT_EQ(options.base, framework::LogOffset(7));
    EXPECT_EQ(options.removals, Words{"c.yaml"});
}

TEST(CommandLine, CommandsAreRead)
{
    EXPECT_EQ(parseCommandLine({"--help"}).value().command, ToolCommand::Help);
    EXPECT_EQ(parseCommandLine({"-V", "nonsense"}).value().command, ToolCommand::Version);
    EXPECT_EQ(parseCommandLine({"check", "a"}).value().command, ToolCommand::Check);
    EXPECT_EQ(parseCommandLine({"status"}).value().command, ToolCommand::Status);
    EXPECT_EQ(parseCommandLine({"dump", "127.0.0.1:5"}).value().dumpEndpoint.port, 5);
    const ToolOptions zone = parseCommandLine({"zone", "out", "z1"}).value();
    EXPECT_EQ(zone.command, ToolCommand::SetZone);
    EXPECT_EQ(zone.target, "z1");
    EXPECT_TRUE(zone.out);
    const ToolOptions host = parseCommandLine({"host", "in", "h1"}).value();
    EXPECT_EQ(host.command, ToolCommand::SetHost);
    EXPECT_FALSE(host.out);
}

TEST(CommandLine, WrongUsageIsNamed)
{
    const std::pair<Words, std::string> cases[] = {
        {{}, "no command"},
        {{"frobnicate"}, "unknown command"},
        {{"apply"}, "at least one file"},
        {{"check", "--remove", "a.yaml"}, "at least one file"},
        {{"zone", "z1"}, "zone out|in"},
        {{"zone", "up", "z1"}, "zone out|in"},
        {{"zone", "out", "z 1"}, "not a valid name"},
        {{"host", "out"}, "host out|in"},
        {{"status", "now"}, "unknown command"},
        {{"dump"}, "dump ADDRESS"},
        {{"dump", "somewhere"}, "not an address"},
        {{"--entry", "localhost:1", "status"}, "not an address"},
        {{"--entry", "127.0.0.1:0", "status"}, "not an address"},
        {{"--timeout", "10", "status"}, "not a duration"},
        {{"--base", "-1", "apply", "a"}, "not a revision"},
        {{"--operation", "", "status"}, "not a valid name"},
        {{"--entry"}, "missing value of --entry"},
        {{"--bad", "status"}, "unknown option --bad"},
        {{"check", "a", "--output", "xml"}, "not an output"},
        {{"check", "a", "--gateways", "0"}, "not a number of gateways"},
        {{"check", "a", "--against", "b", "--against-active"}, "exclude each other"},
        {{"apply", "a", "--against", "b"}, "belong to check"},
    };
    for (const auto &[words, expected] : cases) {
        EXPECT_NE(usageError(words).find(expected), std::string::npos)
            << expected << ": " << usageError(words);
    }
}
