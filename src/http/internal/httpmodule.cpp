#include "http/httpmodule.h"

#include "http/internal/bufferedhttpserver.h"
#include "http/internal/pooledhttpclient.h"

#include <utility>

namespace lavendertally::http {

std::unique_ptr<IHttpClient> HttpModule::makeClient(framework::IEventLoop &loop,
                                                    const HttpClientOptions &options)
{
    return std::make_unique<PooledHttpClient>(loop, options);
}

std::unique_ptr<IHttpServer> HttpModule::makeServer(framework::IEventLoop &loop,
                                                    const HttpLimits &limits,
                                                    std::shared_ptr<budget::IResourceBudget> budget)
{
    return std::make_unique<BufferedHttpServer>(loop, limits, std::move(budget));
}

} // namespace lavendertally::http
