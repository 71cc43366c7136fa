#include "standins/standinserver.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "standins/internal/discardedexchange.h"
#include "standins/internal/faultyexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <utility>

namespace lavendertally::standins {

namespace {

constexpr std::size_t MinOpenBeforePruning = 64;

} // namespace

StandInServer::StandInServer(framework::IEventLoop &loop)
    : m_loop(loop), m_clock(framework::FrameworkModule::makeSystemClock()), m_deferred(loop)
{
    makeServer();
}

StandInServer::~StandInServer()
{
    abortOpenExchanges();
}

void StandInServer::makeServer()
{
    m_server = http::HttpModule::makeServer(m_loop, http::HttpLimits{});
    m_server->setHandler([this](const ExchangePtr &exchange) { receive(exchange); });
}

void StandInServer::abortOpenExchanges()
{
    for (const auto &open : m_open) {
        if (const ExchangePtr exchange = open.lock()) {
            exchange->abort();
        }
    }
}

void StandInServer::crash(framework::Milliseconds downTime)
{
    if (m_isDown) {
        return;
    }
    m_isDown = true;
    ++m_crashes;
    // A connection may be in a callback now, so it is closed from the event loop.
    m_deferred.callAfter(framework::Milliseconds(0), [this] {
        abortOpenExchanges();
        makeServer();
    });
    m_deferred.callAfter(downTime, [this] {
        m_isDown = false;
        m_server->listen(m_endpoint).value();
    });
}

framework::Result<framework::Endpoint> StandInServer::listen(const framework::Endpoint &endpoint)
{
    BOOST_LEAF_ASSIGN(m_endpoint, m_server->listen(endpoint));
    return m_endpoint;
}

void StandInServer::setFault(const Fault &fault)
{
    m_faults.set(fault);
    releaseReordered();
    for (const ExchangePtr &exchange : std::exchange(m_frozen, {})) {
        dispatch(exchange, m_faults.take(exchange->path()));
    }
    onFaultSet(fault);
}

void StandInServer::handleAdmin(const ExchangePtr &exchange)
{
    replyError(*exchange, HttpStatus::NotFound, "not_found");
}

bool StandInServer::actsTwice(const http::IHttpExchange &exchange) const
{
    return exchange.method() == http::HttpMethod::Post;
}

framework::TimePoint StandInServer::now() const
{
    return m_clock->now();
}

void StandInServer::remember(const ExchangePtr &exchange)
{
    if (m_open.size() >= m_pruneAt) {
        std::erase_if(m_open, [](const auto &open) { return open.expired(); });
        m_pruneAt = 2 * m_open.size() + MinOpenBeforePruning;
    }
    m_open.push_back(exchange);
}

void StandInServer::receive(const ExchangePtr &exchange)
{
    remember(exchange);
    if (exchange->path() == "/faults") {
        setFaultFrom(exchange);
        return;
    }
    if (exchange->path().starts_with("/admin/")) {
        handleAdmin(exchange);
        return;
    }
    dispatch(exchange, m_faults.take(exchange->path()));
}

void StandInServer::setFaultFrom(const ExchangePtr &exchange)
{
    const std::optional<Fault> fault = FaultSwitch::parse(exchange->body());
    if (!fault) {
        replyError(*exchange, HttpStatus::BadRequest, "malformed");
        return;
    }
    setFault(*fault);
    replyJson(*exchange, HttpStatus::Ok, nlohmann::json::object());
}

void StandInServer::dispatch(const ExchangePtr &exchange, FaultMode mode)
{
    switch (mode) {
    case FaultMode::Down:
        replyError(*exchange, HttpStatus::ServiceUnavailable, "unavailable");
        return;
    case FaultMode::Refuse:
        m_deferred.callAfter(framework::Milliseconds(0), [exchange] { exchange->abort(); });
        return;
    case FaultMode::Slow:
        m_deferred.callAfter(m_faults.delay(),
                             [this, exchange] { handle(exchange, FaultMode::None); });
        return;
    case FaultMode::Frozen:
        m_frozen.push_back(exchange);
        return;
    case FaultMode::Reordered:
        reorder(exchange);
        return;
    default:
        handleWithFault(exchange, mode);
    }
}

void StandInServer::handleWithFault(const ExchangePtr &exchange, FaultMode mode)
{
    if (mode == FaultMode::Doubled && actsTwice(*exchange)) {
        handle(std::make_shared<DiscardedExchange>(exchange), FaultMode::None);
        handle(exchange, FaultMode::None);
        return;
    }
    const bool changesAnswer = mode == FaultMode::LostAnswer || mode == FaultMode::Truncated
        || mode == FaultMode::Doubled || mode == FaultMode::Reordered;
    if (changesAnswer) {
        handle(std::make_shared<FaultyExchange>(exchange, mode, m_deferred), mode);
        return;
    }
    handle(exchange, mode);
}

void StandInServer::reorder(const ExchangePtr &exchange)
{
    if (!actsTwice(*exchange)) {
        handleWithFault(exchange, FaultMode::Reordered);
        return;
    }
    if (m_reordered) {
        handle(exchange, FaultMode::None);
        releaseReordered();
        return;
    }
    m_reordered = exchange;
    m_deferred.callAfter(m_faults.delay(), [this, exchange] {
        if (m_reordered == exchange) {
            releaseReordered();
        }
    });
}

void StandInServer::releaseReordered()
{
    if (const ExchangePtr held = std::exchange(m_reordered, nullptr)) {
        handle(held, FaultMode::None);
    }
}

} // namespace lavendertally::standins
