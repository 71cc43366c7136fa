#include "standins/modelenginestandin.h"

#include "framework/itimer.h"
#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

namespace lavendertally::standins {

void ModelEngineStandIn::replyState(const ExchangePtr &exchange, FaultMode mode)
{
    const LoadReporter::Load present{static_cast<std::uint32_t>(m_batch.size()),
                                     static_cast<std::uint32_t>(m_waiting.size())};
    const LoadReporter::Load load = m_load.report(now(), present, mode == FaultMode::Lagging);
    replyJson(*exchange, HttpStatus::Ok,
              {{"incarnation", m_coldStart.incarnation().value()},
               {"ready", m_coldStart.isReady()},
               {"cold", m_coldStart.isCold()},
               {"running", load.running},
               {"waiting", load.waiting},
               {"model", m_model},
               {"age_ms", m_load.age(now()).value()},
               {"role", m_role},
               {"version", m_version},
               {"adapters", m_adapters},
               {"cancelled", m_cancelled},
               {"max_running_cold", m_coldStart.maxCallsWhileCold()},
               {"overloads", m_coldStart.overloads()}});
}

void ModelEngineStandIn::takeOrder(const ExchangePtr &exchange)
{
    const auto body = readObject(*exchange);
    if (!body) {
        return;
    }
    const AppliedOrder order{framework::FencingNumber(numberMember(*body, "fencing", 0)),
                             textMember(*body, "order"), textMember(*body, "argument")};
    if (m_options.checksFencing && order.fencing < m_highestFencing) {
        replyJson(*exchange, HttpStatus::Conflict,
                  {{"error", {{"code", "stale_fencing"}, {"fencing", m_highestFencing.value()}}}});
        return;
    }
    applyOrder(order);
    replyJson(*exchange, HttpStatus::Ok, {{"applied", true}});
}

void ModelEngineStandIn::applyOrder(const AppliedOrder &order)
{
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    m_orders.push_back(order);
    if (order.order == "load_model") {
        m_model = order.argument;
        m_cache.clear();
        m_coldStart.turnCold();
    } else if (order.order == "load_adapter") {
        m_adapters.push_back(order.argument);
    } else if (order.order == "set_version") {
        m_version = order.argument;
    } else if (order.order == "set_role") {
        m_role = order.argument;
    }
}

void ModelEngineStandIn::replyOrders(const ExchangePtr &exchange) const
{
    auto rows = nlohmann::json::array();
    for (const AppliedOrder &order : m_orders) {
        rows.push_back({{"fencing", order.fencing.value()},
                        {"order", order.order},
                        {"argument", order.argument}});
    }
    replyJson(*exchange, HttpStatus::Ok, {{"orders", std::move(rows)}});
}

} // namespace lavendertally::standins
