#include "standins/hostliststandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <algorithm>

namespace lavendertally::standins {

namespace {

nlohmann::json emptyList()
{
    return {{"hosts", nlohmann::json::array()}};
}

} // namespace

HostListStandIn::HostListStandIn(framework::IEventLoop &loop, const HostListOptions &options)
    : StandInServer(loop), m_options(options), m_list(emptyList()), m_laggingList(emptyList())
{ }

void HostListStandIn::setHosts(const nlohmann::json &list)
{
    if (m_options.lag == framework::Milliseconds(0)) {
        m_list = list;
        return;
    }
    deferred().callAfter(m_options.lag, [this, list] { m_list = list; });
}

void HostListStandIn::handle(const ExchangePtr &exchange, FaultMode mode)
{
    if (exchange->path() != "/v1/hosts") {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
        return;
    }
    nlohmann::json answer = mode == FaultMode::Lagging ? m_laggingList : m_list;
    nlohmann::json &rows = answer["hosts"];
    if (mode == FaultMode::Reordered) {
        std::reverse(rows.begin(), rows.end());
    }
    if (mode == FaultMode::Doubled) {
        const nlohmann::json copy = rows;
        rows.insert(rows.end(), copy.begin(), copy.end());
    }
    replyJson(*exchange, HttpStatus::Ok, answer);
}

void HostListStandIn::handleAdmin(const ExchangePtr &exchange)
{
    if (exchange->path() != "/admin/hosts") {
        StandInServer::handleAdmin(exchange);
        return;
    }
    const auto list = readObject(*exchange);
    if (!list) {
        return;
    }
    if (!list->value("hosts", nlohmann::json()).is_array()) {
        replyError(*exchange, HttpStatus::BadRequest, "malformed");
        return;
    }
    setHosts(*list);
    replyJson(*exchange, HttpStatus::Ok, nlohmann::json::object());
}

void HostListStandIn::onFaultSet(const Fault &fault)
{
    if (fault.mode == FaultMode::Lagging) {
        m_laggingList = m_list;
    }
}

} // namespace lavendertally::standins
