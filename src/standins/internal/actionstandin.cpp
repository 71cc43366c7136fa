#include "standins/actionstandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

namespace lavendertally::standins {

ActionStandIn::ActionStandIn(framework::IEventLoop &loop, const ServiceOptions &options)
    : ServiceStandIn(loop, options)
{ }

void ActionStandIn::handle(const ExchangePtr &exchange, FaultMode mode)
{
    if (exchange->path() == "/v1/ledger") {
        replyJson(*exchange, HttpStatus::Ok,
                  {{"count", m_operations.size()}, {"operations", m_operations}});
        return;
    }
    ServiceStandIn::handle(exchange, mode);
}

void ActionStandIn::serve(const ExchangePtr &exchange, FaultMode /*mode*/)
{
    const auto call = readObject(*exchange);
    if (!call) {
        return;
    }
    m_operations.push_back(call->value("operation", nlohmann::json::object()));
    replyJson(*exchange, HttpStatus::Ok, {{"receipt", "r" + std::to_string(m_operations.size())}});
}

bool ActionStandIn::knows(const std::string &path) const
{
    return path == "/v1/action";
}

} // namespace lavendertally::standins
