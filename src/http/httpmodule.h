#pragma once

#include "http/types/httplimits.h"

#include <memory>

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::http {

class IHttpClient;
class IHttpServer;

/// Makes HTTP clients and servers on evhttp.
class HttpModule
{
public:
    static std::unique_ptr<IHttpClient> makeClient(framework::IEventLoop &loop);
    static std::unique_ptr<IHttpServer> makeServer(framework::IEventLoop &loop,
                                                   const HttpLimits &limits);
};

} // namespace lavendertally::http
