#include "http/httpmodule.h"

#include "http/internal/bufferedhttpserver.h"
#include "http/internal/pooledhttpclient.h"

namespace lavendertally::http {

std::unique_ptr<IHttpClient> HttpModule::makeClient(framework::IEventLoop &loop,
                                                    const HttpClientOptions &options)
{
    return std::make_unique<PooledHttpClient>(loop, options);
}

std::unique_ptr<IHttpServer> HttpModule::makeServer(framework::IEventLoop &loop,
                                                    const HttpLimits &limits)
{
    return std::make_unique<BufferedHttpServer>(loop, limits);
}

} // namespace lavendertally::http
