#pragma once

#include <memory>

namespace lavendertally::proxy {

class IProxyService;
struct ProxyContext;

/// Makes the service that forwards requests.
class ProxyModule
{
public:
    static std::unique_ptr<IProxyService> makeService(const ProxyContext &context);
};

} // namespace lavendertally::proxy
