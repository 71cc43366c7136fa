#include "soak/internal/loadclients.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "http/headerlookup.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "soak/internal/promises.h"
#include "soak/internal/sentrequest.h"
#include "soak/internal/soakoptions.h"

#include <iomanip>
#include <sstream>
#include <utility>

namespace lavendertally::soak {

namespace {

constexpr std::int64_t MinPause = 20;
constexpr std::uint64_t PauseSpread = 100;
constexpr framework::Milliseconds ConnectTimeout{1000};
/// Time for which a client waits beyond the request's own.
constexpr framework::Milliseconds Patience{2000};
/// Four fifths of the idle time that the configuration allows.
constexpr framework::Milliseconds MaxIdle{4000};
constexpr std::uint64_t SeedShift = 24;
constexpr int IdDigits = 16;

const char *target(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Booking:
        return "/book/x";
    case RequestKind::Lookup:
        return "/look/x";
    case RequestKind::Stream:
        return "/stream/x";
    case RequestKind::Added:
        return "/added/x";
    }
    return "/";
}

} // namespace

LoadClients::LoadClients(const SoakOptions &options, std::vector<framework::Endpoint> gateways,
                         framework::IEventLoop &loop, const framework::IClock &clock,
                         Promises &promises)
    : m_gateways(std::move(gateways)), m_loop(loop), m_clock(clock), m_promises(promises),
      m_random(framework::FrameworkModule::makeRandom(options.seed + 1)),
      m_ready(m_gateways.size(), true), m_nextRequest(options.seed << SeedShift)
{
    http::HttpClientOptions clientOptions;
    clientOptions.connectTimeout = ConnectTimeout;
    clientOptions.maxIdle = MaxIdle;
    for (std::size_t each = 0; each < options.clients; ++each) {
        m_clients.push_back(std::make_unique<Client>());
        m_clients.back()->http = http::HttpModule::makeClient(m_loop, clientOptions);
    }
}

LoadClients::~LoadClients() = default;

void LoadClients::start()
{
    for (const auto &client : m_clients) {
        send(*client);
    }
}

/// As the platform's balancer does: among those that say that they are ready, or else any.
void LoadClients::chooseGateway(Client &client)
{
    std::vector<std::size_t> ready;
    for (std::size_t each = 0; each < m_gateways.size(); ++each) {
        if (m_ready[each]) {
            ready.push_back(each);
        }
    }
    client.gateway =
        ready.empty() ? m_random->below(m_gateways.size()) : ready[m_random->below(ready.size())];
    client.hasGateway = true;
}

RequestKind LoadClients::chooseKind()
{
    constexpr std::uint64_t Kinds = 4;
    const auto kind = static_cast<RequestKind>(m_random->below(Kinds));
    return kind == RequestKind::Added && !m_hasAddedRoute ? RequestKind::Booking : kind;
}

void LoadClients::send(Client &client)
{
    if (m_stopping) {
        return;
    }
    if (!client.hasGateway) {
        chooseGateway(client);
    }
    const std::size_t teamIndex = m_random->below(TeamCount);
    SentRequest sent;
    sent.kind = chooseKind();
    sent.team = team(teamIndex);
    sent.gateway = client.gateway;
    sent.sent = m_clock.now();
    std::ostringstream id;
    id << std::hex << std::setw(IdDigits) << std::setfill('0') << m_nextRequest++;

    http::HttpRequest request;
    request.endpoint = m_gateways[client.gateway];
    request.method = http::HttpMethod::Post;
    request.target = target(sent.kind);
    request.timeout = Promises::RequestTimeout + Patience;
    request.headers = {
        {"Host", "h"},
        {"X-Lavendertally-Request-Id", id.str()},
        {"X-Lavendertally-Deadline-Ms", std::to_string(Promises::RequestTimeout.value())},
        {"Api-Key", key(teamIndex)}};
    if (sent.kind == RequestKind::Stream) {
        request.headers.emplace_back("X-Lavendertally-Pieces", "2");
        request.headers.emplace_back("X-Lavendertally-Piece-Key", "in");
    }
    m_promises.sent(id.str(), sent);
    ++m_active;
    client.call = client.http->fetch(
        request, [this, &client, id = id.str()](const http::HttpResponse &response) {
            ended(client, id, response);
        });
}

void LoadClients::ended(Client &client, const std::string &id, const http::HttpResponse &response)
{
    --m_active;
    m_promises.ended(id, response, m_clock.now());
    const bool closes = response.end != http::HttpEnd::Complete
        || http::findHeader(response.headers, "Connection") == "close";
    constexpr std::uint64_t Moves = 10;
    if (closes || m_random->below(Moves) == 0) {
        client.hasGateway = false;
    }
    const framework::Milliseconds pause(MinPause
                                        + static_cast<std::int64_t>(m_random->below(PauseSpread)));
    client.timer = m_loop.callAfter(pause, [this, &client] { send(client); });
}

} // namespace lavendertally::soak
