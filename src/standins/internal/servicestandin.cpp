#include "standins/servicestandin.h"

#include "framework/ischeduler.h"
#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <utility>

namespace lavendertally::standins {

ServiceStandIn::ServiceStandIn(framework::IEventLoop &loop, const ServiceOptions &options)
    : StandInServer(loop), m_options(options), m_coldStart(clock(), options.coldStart),
      m_load(options.reportLag)
{ }

ServiceStandIn::~ServiceStandIn() = default;

void ServiceStandIn::restart()
{
    loseCalls();
    m_coldStart.restart();
}

void ServiceStandIn::handle(const ExchangePtr &exchange, FaultMode mode)
{
    if (exchange->path() == "/v1/state") {
        replyState(exchange, mode);
        return;
    }
    if (!knows(exchange->path())) {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
        return;
    }
    admit(exchange, mode);
}

void ServiceStandIn::handleAdmin(const ExchangePtr &exchange)
{
    if (exchange->path() != "/admin/restart") {
        StandInServer::handleAdmin(exchange);
        return;
    }
    restart();
    replyJson(*exchange, HttpStatus::Ok, nlohmann::json::object());
}

void ServiceStandIn::onFaultSet(const Fault &fault)
{
    if (fault.mode == FaultMode::Cold) {
        m_coldStart.turnCold();
    }
}

void ServiceStandIn::replyState(const ExchangePtr &exchange, FaultMode mode)
{
    const LoadReporter::Load present{static_cast<std::uint32_t>(m_running.size()),
                                     static_cast<std::uint32_t>(m_waiting.size())};
    const LoadReporter::Load load = m_load.report(now(), present, mode == FaultMode::Lagging);
    replyJson(*exchange, HttpStatus::Ok,
              {{"incarnation", m_coldStart.incarnation().value()},
               {"ready", m_coldStart.isReady()},
               {"cold", m_coldStart.isCold()},
               {"running", load.running},
               {"waiting", load.waiting},
               {"age_ms", m_load.age(now()).value()},
               {"max_running_cold", m_coldStart.maxCallsWhileCold()},
               {"overloads", m_coldStart.overloads()}});
}

void ServiceStandIn::admit(const ExchangePtr &exchange, FaultMode mode)
{
    if (!m_coldStart.isReady()) {
        replyError(*exchange, HttpStatus::ServiceUnavailable, "not_ready");
        return;
    }
    if (m_waiting.size() >= m_options.queueLimit) {
        replyError(*exchange, HttpStatus::ServiceUnavailable, "overloaded");
        return;
    }
    m_waiting.push_back({exchange, mode});
    if (!m_coldStart.beginCall()) {
        loseCalls();
        return;
    }
    startWaiting();
}

void ServiceStandIn::startWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_options.capacity) {
        const std::uint64_t id = m_nextId++;
        m_running[id] = std::move(m_waiting.front());
        m_waiting.pop_front();
        deferred().callAfter(m_options.serviceTime * m_coldStart.slowdown(),
                             [this, id] { finish(id); });
    }
}

void ServiceStandIn::finish(std::uint64_t id)
{
    auto node = m_running.extract(id);
    if (node.empty()) {
        return;
    }
    m_coldStart.endCall(true);
    serve(node.mapped().exchange, node.mapped().mode);
    startWaiting();
}

void ServiceStandIn::loseCalls()
{
    const auto running = std::exchange(m_running, {});
    const auto waiting = std::exchange(m_waiting, {});
    const auto abortLater = [this](const ExchangePtr &exchange) {
        deferred().callAfter(framework::Milliseconds(0), [exchange] { exchange->abort(); });
    };
    for (const auto &[id, call] : running) {
        abortLater(call.exchange);
    }
    for (const Call &call : waiting) {
        abortLater(call.exchange);
    }
}

} // namespace lavendertally::standins
