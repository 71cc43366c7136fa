#pragma once

#include "http/types/httpclientoptions.h"
#include "http/types/httplimits.h"

#include <memory>

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::budget {
class IResourceBudget;
}

namespace lavendertally::http {

class IHttpClient;
class IHttpServer;

/// Makes HTTP/1.1 clients and servers on libevent's buffered sockets.
class HttpModule
{
public:
    static std::unique_ptr<IHttpClient> makeClient(framework::IEventLoop &loop,
                                                   const HttpClientOptions &options = {});
    /// \param budget bears what clients use; null if they are trusted
    static std::unique_ptr<IHttpServer>
    makeServer(framework::IEventLoop &loop, const HttpLimits &limits,
               std::shared_ptr<budget::IResourceBudget> budget = nullptr);
};

} // namespace lavendertally::http
