#include "app/tests/gatewayfixture.h"

#include <sstream>
#include <sys/wait.h>

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

/// `lavendertallyctl check` beside a real gateway.
class ConfigurationCheckTest : public GatewayFixture
{
protected:
    /// \return the configuration that publish() wrote last
    nlohmann::json published()
    {
        const auto record = m_store.newest("keyed.op", "config");
        return nlohmann::json::parse(record.value_or("{}"));
    }

    /// Runs the tool beside the loop, since it may ask a gateway that needs the store.
    /// \return exit status
    int check(const nlohmann::json &configuration, const std::string &options)
    {
        const std::string file = m_folder + "/checked.json";
        std::ofstream(file) << configuration.dump(1);
        const std::string command = std::string(LAVENDERTALLY_BINARY_DIR)
            + "/lavendertallyctl check " + file + " " + options + " >" + m_folder + "/report 2>&1";
        return WEXITSTATUS(std::system(command.c_str()));
    }

    std::string report() const
    {
        std::stringstream text;
        text << std::ifstream(m_folder + "/report").rdbuf();
        return text.str();
    }

    /// Waits until the gateway has logged a line that has \p text, and serves the store meanwhile.
    bool waitForLog(const GatewayProcess &gateway, const std::string &text)
    {
        bool isFound = false;
        return waitFor([&] {
            const auto line =
                isFound ? std::nullopt : gateway.process->waitForLine("{", PollInterval);
            isFound = isFound || (line && line->find(text) != std::string::npos);
            return isFound;
        });
    }

    std::string loaded(const GatewayProcess &gateway)
    {
        const auto dump =
            nlohmann::json::parse(call(get(gateway.metrics, "/dump")).body, nullptr, false);
        return dump.value("configuration", nlohmann::json()).dump();
    }
};

} // namespace

/// A gateway that takes a configuration that the tool calls an error, or refuses one that it calls
/// clean; and a tool that compares with another version than the one in force.
TEST_F(ConfigurationCheckTest, ToolAndGatewayAgreeAndTheVersionInForceIsCompared)
{
    publish(1);
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    const std::string active = "--against-active --entry " + gateway.metrics.toString();

    nlohmann::json next = published();
    next["version"] = 2;
    next["routes"][0]["service"] = "nowhere";
    EXPECT_EQ(check(next, active), 65) << report();
    EXPECT_NE(report().find("routes[0].service: there is no service nowhere"), std::string::npos);
    m_store.put("keyed.op", "config", next.dump());
    EXPECT_TRUE(waitForLog(gateway, "routes[0].service: there is no service nowhere"));
    EXPECT_EQ(loaded(gateway), "1");

    next["version"] = 3;
    next["routes"][0]["service"] = "models";
    next["tenants"][0]["apiKeys"] = {"another"};
    EXPECT_EQ(check(next, active), 0) << report();
    EXPECT_NE(report().find("to models instead of desk"), std::string::npos) << report();
    EXPECT_NE(report().find("of team members is not accepted any more"), std::string::npos);
    m_store.put("keyed.op", "config", next.dump());
    EXPECT_TRUE(waitFor([&] { return loaded(gateway) == "3"; }));
    EXPECT_EQ(check(next, active), 2) << "a version that is in force already is ignored";

    const std::string body = call(get(gateway.metrics, "/configuration")).body;
    EXPECT_NE(body.find("\"members\""), std::string::npos);
    EXPECT_EQ(body.find("another"), std::string::npos) << "an API key is shown";
}
