#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "http/types/httpresponse.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpRequest;
} // namespace lavendertally::http

namespace lavendertally::infrastructure {

/// Calls to one service of the platform; those under way end silently with this object.
class ServiceConnection
{
public:
    ServiceConnection(http::IHttpClient &client, framework::Endpoint endpoint);
    ~ServiceConnection();

    using Callback = std::function<void(http::HttpResponse)>;

    /// \param callback may destroy this object
    void get(const std::string &target, framework::Milliseconds timeout, Callback callback);
    /// \param body JSON
    /// \param callback may destroy this object
    void post(const std::string &target, std::string body, framework::Milliseconds timeout,
              Callback callback);

private:
    void send(const http::HttpRequest &request, Callback callback);

    http::IHttpClient &m_client;
    framework::Endpoint m_endpoint;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<http::IHttpCall>> m_calls;
};

} // namespace lavendertally::infrastructure
