#pragma once

#include "operatortool/ioperatorclient.h"

#include <memory>

namespace lavendertally::configuration {
class IControlRecordCodec;
}

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
struct HttpResponse;
} // namespace lavendertally::http

namespace lavendertally::operatortool {

/// Client of the operators' HTTP interface.
class HttpOperatorClient final : public IOperatorClient
{
public:
    /// \param client outlives this object
    HttpOperatorClient(http::IHttpClient &client, const framework::Endpoint &entry);
    ~HttpOperatorClient() override;

    void
    readRevision(framework::Milliseconds timeout,
                 std::function<void(framework::Result<framework::LogOffset>)> callback) override;
    void submit(const configuration::OperatorChange &change, framework::Milliseconds timeout,
                std::function<void(ChangeOutcome)> callback) override;
    void readStatus(framework::Milliseconds timeout,
                    std::function<void(framework::Result<std::string>)> callback) override;
    void readDump(const framework::Endpoint &daemon, framework::Milliseconds timeout,
                  std::function<void(framework::Result<std::string>)> callback) override;
    void readConfiguration(const framework::Endpoint &gateway, framework::Milliseconds timeout,
                           std::function<void(framework::Result<std::string>)> callback) override;

private:
    void get(const framework::Endpoint &endpoint, const std::string &target,
             framework::Milliseconds timeout, std::function<void(http::HttpResponse)> callback);
    void send(const http::HttpRequest &request, std::function<void(http::HttpResponse)> callback);

    http::IHttpClient &m_client;
    framework::Endpoint m_entry;
    std::unique_ptr<configuration::IControlRecordCodec> m_codec;
    std::unique_ptr<http::IHttpCall> m_call;
};

} // namespace lavendertally::operatortool
