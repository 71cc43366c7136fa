#pragma once

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "localfleet/childprocess.h"
#include "standins/platformserverstandin.h"
#include "standins/platformstorestandin.h"
#include "standins/types/fault.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::app {

/// A real gateway process.
struct GatewayProcess
{
    std::unique_ptr<localfleet::ChildProcess> process;
    framework::Endpoint clients;
    framework::Endpoint ready;
    framework::Endpoint metrics;
    framework::Endpoint control;
};

/// Real gateways before stand-ins of the store and of backend servers, which run in the test.
class GatewayFixture : public testing::Test
{
protected:
    static constexpr framework::Milliseconds WaitLimit{20000};
    static constexpr framework::Milliseconds PollInterval{10};
    static constexpr framework::Milliseconds StartLimit{10000};
    static constexpr framework::Milliseconds RevocationLimit{2500};

    GatewayFixture()
        : m_clock(framework::FrameworkModule::makeSystemClock()),
          m_loop(framework::FrameworkModule::makeEventLoop()),
          m_client(http::HttpModule::makeClient(*m_loop)), m_store(*m_loop),
          m_desk(*m_loop, "desk"), m_model(*m_loop, "model"), m_otherModel(*m_loop, "othermodel"),
          m_pool(*m_loop, "pool")
    {
        const auto *test = testing::UnitTest::GetInstance()->current_test_info();
        m_folder =
            testing::TempDir() + "lavendertally-" + test->name() + "-" + std::to_string(::getpid());
        std::filesystem::create_directories(m_folder);
        m_storeEndpoint = m_store.listen({"127.0.0.1", 0}).value();
        for (auto *server : {&m_desk, &m_model, &m_otherModel, &m_pool}) {
            EXPECT_TRUE(server->listen({"127.0.0.1", 0}));
        }
    }
    ~GatewayFixture() override
    {
        if (!HasFailure()) {
            std::filesystem::remove_all(m_folder);
        }
    }

    void publish(int version = 1, const char *key = "key")
    {
        const nlohmann::json route = {{"hostname", "h"},  {"timeoutMs", m_routeTimeout.value()},
                                      {"priority", 0},    {"public", false},
                                      {"maxAttempts", 2}, {"targetLatencyMs", 1000}};
        nlohmann::json book = route;
        book.update({{"name", "book"},
                     {"pathPrefix", "/book/"},
                     {"service", "desk"},
                     {"routeKind", "non_idempotent"}});
        nlohmann::json stream = route;
        stream.update({{"name", "stream"},
                       {"pathPrefix", "/stream/"},
                       {"service", "models"},
                       {"routeKind", "streaming"},
                       {"streamResume", true},
                       {"stages", m_routeStages}});
        nlohmann::json configuration = {
            {"version", version},
            {"routes", {book, stream}},
            {"services",
             {{{"name", "desk"}, {"maxConnections", m_deskConnections}},
              {{"name", "models"}, {"engineKind", nlohmann::json::object()}},
              {{"name", "pool"},
               {"pieces",
                {{"slots", 1},
                 {"queueLimit", 2},
                 {"batchSize", 4},
                 {"callMs", 20.0},
                 {"itemMs", 1.0},
                 {"headroomMb", 1.0},
                 {"handleS", 4.0}}}}}},
            {"tenants", {{{"name", "members"}, {"apiKeys", {key}}}}}};
        if (m_teams) {
            configuration["tenants"] = *m_teams;
        }
        if (!m_requestLimits.is_null()) {
            configuration["limits"] = m_requestLimits;
        }
        m_store.put("keyed.op", "config", configuration.dump());
    }
    void registerServers()
    {
        const auto add = [this](const char *id, const char *service,
                                const standins::PlatformServerStandIn &server) {
            const nlohmann::json entry = {{"service", service},
                                          {"zone", "za"},
                                          {"address", server.endpoint().toString()},
                                          {"slots", 4},
                                          {"state", "ready"}};
            m_store.put("keyed.servers", id, entry.dump());
        };
        add("desk", "desk", m_desk);
        add("model", "models", m_model);
        add("othermodel", "models", m_otherModel);
        add("pool", "pool", m_pool);
    }

    GatewayProcess startGateway(const std::string &id)
    {
        return startGateway(id, m_storeEndpoint, "");
    }
    /// \param seeds endpoints of other gateways, separated by commas
    GatewayProcess startGateway(const std::string &id, const framework::Endpoint &store,
                                const std::string &seeds)
    {
        const std::string file = m_folder + "/" + id + ".yaml";
        std::ofstream(file) << "role: gateway\nid: " << id << "\nhost: " << id
                            << "\navailability_zone: za\nlisten: 127.0.0.1:0\n"
                               "ready_listen: 127.0.0.1:0\ncontrol_listen: 127.0.0.1:0\n"
                               "metrics_listen: 127.0.0.1:0\nstore: "
                            << store.toString() << "\nseed_peers: [" << seeds
                            << "]\nrevocation_limit: " << RevocationLimit.value()
                            << "ms\nshutdown_grace: 8s\n"
                               "log_format: json\n"
                            << m_moreSettings;
        GatewayProcess gateway;
        gateway.process = std::make_unique<localfleet::ChildProcess>(
            std::string(LAVENDERTALLY_BINARY_DIR) + "/lavendertallyd",
            std::vector<std::string>{"--settings", file}, m_folder + "/" + id + ".log");
        const auto line = gateway.process->waitForLine("{\"clients\"", StartLimit);
        if (!line) {
            ADD_FAILURE() << "gateway did not start";
            return gateway;
        }
        const auto started = nlohmann::json::parse(*line);
        gateway.clients = endpoint(started["clients"]);
        gateway.ready = endpoint(started["ready"]);
        gateway.metrics = endpoint(started["metrics"]);
        gateway.control = endpoint(started["control"]);
        return gateway;
    }
    static framework::Endpoint endpoint(const std::string &text)
    {
        const std::size_t colon = text.rfind(':');
        return {text.substr(0, colon),
                static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        const framework::TimePoint end = m_clock->now() + WaitLimit;
        while (!condition() && m_clock->now() < end) {
            pause(PollInterval);
        }
        return condition();
    }
    void pause(framework::Milliseconds time)
    {
        const auto timer = m_loop->callAfter(time, [this] { m_loop->stop(); });
        m_loop->run();
    }

    http::HttpResponse call(const http::HttpRequest &request)
    {
        http::HttpResponse response;
        bool ended = false;
        const auto call = m_client->fetch(request, [&](http::HttpResponse received) {
            response = std::move(received);
            ended = true;
        });
        EXPECT_TRUE(waitFor([&ended] { return ended; }));
        return response;
    }
    static http::HttpRequest get(const framework::Endpoint &endpoint, const char *target)
    {
        http::HttpRequest request;
        request.endpoint = endpoint;
        request.target = target;
        request.timeout = framework::Milliseconds(2000);
        return request;
    }
    static http::HttpRequest ask(const GatewayProcess &gateway, const char *target, const char *id,
                                 const char *key = "key")
    {
        http::HttpRequest request = get(gateway.clients, target);
        request.method = http::HttpMethod::Post;
        request.timeout = framework::Milliseconds(5000);
        request.headers = {{"Host", "h"},
                           {"X-Lavendertally-Request-Id", id},
                           {"X-Lavendertally-Deadline-Ms", "3000"},
                           {"X-Lavendertally-Tenant", "forged"},
                           {"Api-Key", key}};
        return request;
    }
    bool isReady(const GatewayProcess &gateway)
    {
        return call(get(gateway.ready, "/readyz")).status == 200;
    }
    void setStoreFault(standins::FaultMode mode)
    {
        standins::Fault fault;
        fault.mode = mode;
        m_store.setFault(fault);
    }

    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<http::IHttpClient> m_client;
    standins::PlatformStoreStandIn m_store;
    standins::PlatformServerStandIn m_desk;
    standins::PlatformServerStandIn m_model;
    standins::PlatformServerStandIn m_otherModel;
    standins::PlatformServerStandIn m_pool;
    framework::Endpoint m_storeEndpoint;
    std::string m_folder;
    /// Connections that a server of the desk accepts from all gateways together; zero: any number.
    int m_deskConnections = 0;
    framework::Milliseconds m_routeTimeout{3000};
    /// Stages of the route for streams.
    nlohmann::json m_routeStages = {
        {{"service", "pool"}, {"after", nlohmann::json::array()}, {"bytes", 1000}}};
    /// Teams in place of one with a key; may be no list.
    std::optional<nlohmann::json> m_teams;
    /// Bounds on clients' requests in the published configuration, unless null.
    nlohmann::json m_requestLimits;
    /// Lines added to the settings of gateways.
    std::string m_moreSettings;
};

} // namespace lavendertally::app
