#pragma once

#include "platform/internal/recentstageanswers.h"
#include "stages/istagecallport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lavendertally::connections {
class IConnectionShares;
}

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpResponse;
} // namespace lavendertally::http

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::platform {

/// Calls the platform's backend servers that work on stages.
class HttpStageCallPort final : public stages::IStageCallPort
{
public:
    HttpStageCallPort(http::IHttpClient &client, membership::IBackendServerUpdates &servers,
                      connections::IConnectionShares &connections, framework::ILogger &logger,
                      framework::IMetrics &metrics);
    ~HttpStageCallPort() override;

    void startCall(const stages::StartStageCall &call,
                   std::function<void(stages::StageCallOutcome)> done) override;
    void
    freeResults(const std::vector<framework::StageResultId> &results,
                std::function<void(const std::vector<framework::StageResultId> &)> done) override;
    void queryFreeStorage(const membership::BackendServerEntry &server,
                          std::function<void(framework::Bytes)> done) override;

private:
    void sendCall(const stages::StartStageCall &call, std::string body,
                  std::function<void(stages::StageCallOutcome)> done);
    /// \param pieceCount pieces of the call
    /// \param response complete response
    /// \param outcome gets what it says of the call
    /// \return whether the response is known to be the answer to this call
    bool readAnswer(const framework::Endpoint &server, std::size_t pieceCount,
                    const http::HttpResponse &response, stages::StageCallOutcome &outcome);
    /// Logs and counts a response that cannot be the answer to a call.
    /// \param call `run`, `free` or `report`
    void noteForeignAnswer(const char *call, const framework::Endpoint &server,
                           const http::HttpResponse &response);

    http::IHttpClient &m_client;
    membership::IBackendServerUpdates &m_servers;
    connections::IConnectionShares &m_connections;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    RecentStageAnswers m_recentAnswers;
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, std::unique_ptr<http::IHttpCall>> m_calls;
};

} // namespace lavendertally::platform
