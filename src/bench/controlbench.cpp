#include "control/controlmodule.h"
#include "control/icontrolclient.h"
#include "control/icontrolserver.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace lavendertally;
using framework::Endpoint;
using framework::Milliseconds;

namespace {

constexpr int ExitUsage = 64;
constexpr Milliseconds AskTimeout{5000};
constexpr Milliseconds IdleTime{5000};
constexpr int WarmUpExchanges = 200;
constexpr int MeasuredExchanges = 5000;
constexpr int ByteExchanges = 100;
constexpr double MicrosecondsPerSecond = 1e6;

/// Processor time of this process, all threads.
double processorMicroseconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toMicroseconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) * MicrosecondsPerSecond
            + static_cast<double>(time.tv_usec);
    };
    return toMicroseconds(usage.ru_utime) + toMicroseconds(usage.ru_stime);
}

/// \return value of one line of /proc/self/status, in its unit
long processStatus(const std::string &name)
{
    std::ifstream file("/proc/self/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ":")) {
            return std::strtol(line.c_str() + name.size() + 1, nullptr, 10);
        }
    }
    return 0;
}

/// Forwards connections to another port and counts the bytes of both directions.
class CountingRelay
{
public:
    CountingRelay(event_base *base, const Endpoint &target) : m_base(base), m_target(target)
    {
        const sockaddr_in any = loopback(0);
        m_listener =
            evconnlistener_new_bind(base, &CountingRelay::accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                    reinterpret_cast<const sockaddr *>(&any), sizeof any);
    }
    ~CountingRelay()
    {
        for (const auto &pair : m_pairs) {
            bufferevent_free(pair->client);
            bufferevent_free(pair->server);
        }
        evconnlistener_free(m_listener);
    }
    CountingRelay(const CountingRelay &) = delete;
    CountingRelay &operator=(const CountingRelay &) = delete;

    Endpoint endpoint() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address),
                    &length);
        return {"127.0.0.1", ntohs(address.sin_port)};
    }

    std::size_t bytes() const { return m_bytes; }

private:
    struct Pair
    {
        CountingRelay *relay;
        bufferevent *client;
        bufferevent *server;
    };

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    static void accept(evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*from*/,
                       int /*length*/, void *self)
    {
        auto *relay = static_cast<CountingRelay *>(self);
        auto pair = std::make_unique<Pair>();
        pair->relay = relay;
        pair->client = bufferevent_socket_new(relay->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        pair->server = bufferevent_socket_new(relay->m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        const sockaddr_in target = loopback(relay->m_target.port);
        bufferevent_socket_connect(pair->server, reinterpret_cast<const sockaddr *>(&target),
                                   sizeof target);
        for (bufferevent *side : {pair->client, pair->server}) {
            bufferevent_setcb(side, &CountingRelay::forward, nullptr, nullptr, pair.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        relay->m_pairs.push_back(std::move(pair));
    }

    static void forward(bufferevent *from, void *argument)
    {
        auto *pair = static_cast<Pair *>(argument);
        bufferevent *to = from == pair->client ? pair->server : pair->client;
        evbuffer *input = bufferevent_get_input(from);
        pair->relay->m_bytes += evbuffer_get_length(input);
        bufferevent_write_buffer(to, input);
    }

    event_base *m_base;
    Endpoint m_target;
    evconnlistener *m_listener = nullptr;
    std::vector<std::unique_ptr<Pair>> m_pairs;
    std::size_t m_bytes = 0;
};

/// Candidate for carrying control messages.
class ICarrier
{
public:
    virtual ~ICarrier() = default;

    virtual Endpoint listen() = 0;
    /// Opens one more client with its own connection.
    virtual void addClient() = 0;
    virtual void ask(std::size_t client, const Endpoint &peer, std::function<void(bool)> done) = 0;
};

protocol::RevisionQuery query()
{
    return {framework::DaemonId("entry-1"), framework::LogOffset(270000)};
}

protocol::RevisionReply reply()
{
    return {framework::DaemonId("entry-2"), framework::LogOffset(270000), "", {}};
}

/// Carrier of the product.
class NngCarrier final : public ICarrier
{
public:
    explicit NngCarrier(framework::IEventLoop &loop)
        : m_loop(loop), m_clock(framework::FrameworkModule::makeSystemClock()),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_codec(protocol::ProtocolModule::makeCodec()),
          m_server(control::ControlModule::makeServer(loop, *m_codec, *m_metrics))
    { }

    Endpoint listen() override
    {
        m_server->setHandler([](const protocol::Message &) { return reply(); });
        return m_server->listen({"127.0.0.1", 0}).value();
    }
    void addClient() override
    {
        m_clients.push_back(
            control::ControlModule::makeClient(m_loop, *m_clock, *m_codec, *m_metrics));
    }
    void ask(std::size_t client, const Endpoint &peer, std::function<void(bool)> done) override
    {
        m_clients[client]->sendQuery(
            peer, query(), AskTimeout,
            [done = std::move(done)](const framework::Result<protocol::Message> &result) {
                done(static_cast<bool>(result));
            });
    }

private:
    framework::IEventLoop &m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<protocol::IMessageCodec> m_codec;
    std::unique_ptr<control::IControlServer> m_server;
    std::vector<std::unique_ptr<control::IControlClient>> m_clients;
};

/// The same exchange as an HTTP POST over evhttp.
class HttpCarrier final : public ICarrier
{
public:
    explicit HttpCarrier(framework::IEventLoop &loop)
        : m_loop(loop), m_codec(protocol::ProtocolModule::makeCodec()),
          m_server(http::HttpModule::makeServer(loop, http::HttpLimits{}))
    { }

    Endpoint listen() override
    {
        m_server->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
            const bool decodes = static_cast<bool>(m_codec->decode(exchange->body()));
            exchange->reply(decodes ? 200 : 400, "application/octet-stream",
                            m_codec->encode(reply()));
        });
        return m_server->listen({"127.0.0.1", 0}).value();
    }
    void addClient() override
    {
        m_clients.push_back(http::HttpModule::makeClient(m_loop));
        m_calls.emplace_back();
    }
    void ask(std::size_t client, const Endpoint &peer, std::function<void(bool)> done) override
    {
        http::HttpRequest request;
        request.endpoint = peer;
        request.method = http::HttpMethod::Post;
        request.target = "/control";
        request.body = m_codec->encode(query());
        request.timeout = AskTimeout;
        m_calls[client] = m_clients[client]->fetch(
            request, [this, done = std::move(done)](const http::HttpResponse &response) {
                done(response.status == 200 && static_cast<bool>(m_codec->decode(response.body)));
            });
    }

private:
    framework::IEventLoop &m_loop;
    std::unique_ptr<protocol::IMessageCodec> m_codec;
    std::unique_ptr<http::IHttpServer> m_server;
    std::vector<std::unique_ptr<http::IHttpClient>> m_clients;
    std::vector<std::unique_ptr<http::IHttpCall>> m_calls;
};

/// Measures one carrier; both ends run in this process.
class CarrierBench
{
public:
    CarrierBench(framework::IEventLoop &loop, ICarrier &carrier) : m_loop(loop), m_carrier(carrier)
    { }

    nlohmann::json run(int clients)
    {
        nlohmann::json result;
        const long rssBefore = processStatus("VmRSS");
        const Endpoint server = m_carrier.listen();
        m_carrier.addClient();
        exchange(0, server, 1);
        result["rss_kb_before"] = rssBefore;
        result["rss_kb_first_pair"] = processStatus("VmRSS") - rssBefore;
        result["threads"] = processStatus("Threads");
        exchange(0, server, WarmUpExchanges);
        const double start = processorMicroseconds();
        exchange(0, server, MeasuredExchanges);
        result["cpu_us_per_exchange_both_ends"] =
            (processorMicroseconds() - start) / MeasuredExchanges;
        result["idle_core_percent"] = idlePercent();
        result["bytes_per_exchange"] = bytesPerExchange(server);
        const long rss = processStatus("VmRSS");
        for (int i = 0; i < clients; ++i) {
            m_carrier.addClient();
            exchange(m_lastClient + 1, server, 1);
            ++m_lastClient;
        }
        result["connections"] = clients;
        result["rss_kb_of_connections_both_ends"] = processStatus("VmRSS") - rss;
        result["rss_kb_total"] = processStatus("VmRSS");
        return result;
    }

private:
    void exchange(std::size_t client, const Endpoint &peer, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_carrier.ask(client, peer, [this](bool answered) {
                m_failed |= !answered;
                m_loop.stop();
            });
            m_loop.run();
        }
        if (m_failed) {
            std::cerr << "controlbench: exchange of client " << client << " failed\n";
            std::exit(EXIT_FAILURE);
        }
    }

    double idlePercent()
    {
        constexpr double Percent = 100;
        constexpr double MicrosecondsPerMillisecond = 1000;
        const double start = processorMicroseconds();
        const auto timer = m_loop.callAfter(IdleTime, [this] { m_loop.stop(); });
        m_loop.run();
        return (processorMicroseconds() - start) * Percent
            / (static_cast<double>(IdleTime.value()) * MicrosecondsPerMillisecond);
    }

    double bytesPerExchange(const Endpoint &server)
    {
        CountingRelay relay(m_loop.base(), server);
        m_carrier.addClient();
        ++m_lastClient;
        exchange(m_lastClient, relay.endpoint(), 1);
        const std::size_t before = relay.bytes();
        exchange(m_lastClient, relay.endpoint(), ByteExchanges);
        return static_cast<double>(relay.bytes() - before) / ByteExchanges;
    }

    framework::IEventLoop &m_loop;
    ICarrier &m_carrier;
    std::size_t m_lastClient = 0;
    bool m_failed = false;
};

void printUsage(std::FILE *stream)
{
    std::fputs("Usage: controlbench --carrier nng|http [--connections N]\n"
               "Measures the exchange of control messages; prints JSON.\n",
               stream);
}

} // namespace

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"carrier", required_argument, nullptr, 'c'},
                                         {"connections", required_argument, nullptr, 'n'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}};
    std::string carrier;
    int connections = 16;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        switch (choice) {
        case 'c':
            carrier = optarg;
            break;
        case 'n':
            connections = static_cast<int>(std::strtol(optarg, nullptr, 10));
            break;
        case 'h':
            printUsage(stdout);
            return EXIT_SUCCESS;
        default:
            printUsage(stderr);
            return ExitUsage;
        }
    }
    const auto loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<ICarrier> chosen;
    if (carrier == "nng") {
        chosen = std::make_unique<NngCarrier>(*loop);
    } else if (carrier == "http") {
        chosen = std::make_unique<HttpCarrier>(*loop);
    } else {
        printUsage(stderr);
        return ExitUsage;
    }
    nlohmann::json result = CarrierBench(*loop, *chosen).run(connections);
    result["carrier"] = carrier;
    std::cout << result.dump(2) << '\n';
    return EXIT_SUCCESS;
}
