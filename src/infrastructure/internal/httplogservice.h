#pragma once

#include "infrastructure/ilogservice.h"
#include "infrastructure/internal/serviceconnection.h"

namespace lavendertally::infrastructure {

/// Client of the log service over HTTP.
class HttpLogService final : public ILogService
{
public:
    HttpLogService(http::IHttpClient &client, const framework::Endpoint &endpoint);

    void append(const StreamName &stream, std::vector<std::string> records,
                framework::Milliseconds timeout,
                std::function<void(framework::Result<framework::LogOffset>)> callback) override;
    void read(const StreamName &stream, framework::LogOffset from, std::uint32_t limit,
              framework::Milliseconds wait, framework::Milliseconds timeout,
              std::function<void(framework::Result<LogPage>)> callback) override;

private:
    ServiceConnection m_connection;
};

} // namespace lavendertally::infrastructure
