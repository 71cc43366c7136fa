#pragma once

#include "infrastructure/ihostlist.h"
#include "infrastructure/internal/serviceconnection.h"

namespace lavendertally::infrastructure {

/// Client of the host list over HTTP.
class HttpHostList final : public IHostList
{
public:
    HttpHostList(http::IHttpClient &client, const framework::Endpoint &endpoint);

    void fetch(framework::Milliseconds timeout,
               std::function<void(framework::Result<std::vector<membership::HostEntry>>)> callback)
        override;

private:
    ServiceConnection m_connection;
};

} // namespace lavendertally::infrastructure
