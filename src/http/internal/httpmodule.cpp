#include "http/httpmodule.h"

#include "framework/ieventloop.h"
#include "http/internal/evhttpclient.h"
#include "http/internal/evhttpserver.h"

namespace lavendertally::http {

std::unique_ptr<IHttpClient> HttpModule::makeClient(framework::IEventLoop &loop)
{
    return std::make_unique<EvHttpClient>(loop);
}

std::unique_ptr<IHttpServer> HttpModule::makeServer(framework::IEventLoop &loop,
                                                    const HttpLimits &limits)
{
    return std::make_unique<EvHttpServer>(loop.base(), limits);
}

} // namespace lavendertally::http
