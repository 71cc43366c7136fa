#pragma once

#include "standins/standinserver.h"
#include "standins/types/hostlistoptions.h"

#include <nlohmann/json.hpp>

namespace lavendertally::standins {

/// Host list; `POST /admin/hosts` sets what it answers.
class HostListStandIn final : public StandInServer
{
public:
    HostListStandIn(framework::IEventLoop &loop, const HostListOptions &options);

    /// Sets the list that is answered after the lag.
    /// \param list JSON object in the form that `GET /v1/hosts` answers
    void setHosts(const nlohmann::json &list);

private:
    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void handleAdmin(const ExchangePtr &exchange) override;
    void onFaultSet(const Fault &fault) override;

    HostListOptions m_options;
    nlohmann::json m_list;
    /// The list when the lagging mode was set.
    nlohmann::json m_laggingList;
};

} // namespace lavendertally::standins
