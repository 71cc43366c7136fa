#include "proxy/proxymodule.h"

#include "proxy/internal/proxyservice.h"

namespace lavendertally::proxy {

std::unique_ptr<IProxyService> ProxyModule::makeService(const ProxyContext &context)
{
    return std::make_unique<ProxyService>(context);
}

} // namespace lavendertally::proxy
