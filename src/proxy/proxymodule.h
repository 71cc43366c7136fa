#pragma once

#include <memory>

namespace lavendertally::proxy {

class IProxyService;
struct ProxyContext;

/// Creates the service that forwards client requests to backend servers.
class ProxyModule
{
public:
    /// \param context dependencies; must outlive the service
    static std::unique_ptr<IProxyService> makeService(const ProxyContext &context);
};

} // namespace lavendertally::proxy
