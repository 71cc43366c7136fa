#pragma once

#include "admission/iservicecapacity.h"

namespace lavendertally::proxy {

struct ProxyContext;

/// Capacity of the backend servers as the registrations and the configuration of the gateway tell.
class BackendCapacity final : public admission::IServiceCapacity
{
public:
    /// \param context must outlive this object
    explicit BackendCapacity(const ProxyContext &context) : m_context(context) { }

    std::vector<admission::ServerSlots> servers(const framework::ServiceId &service) const override;
    bool isModelEngine(const framework::ServiceId &service) const override;
    std::size_t gatewayCount() const override;
    std::optional<std::uint32_t> maxCalls(const framework::ServiceId &service) const override;

private:
    const ProxyContext &m_context;
};

} // namespace lavendertally::proxy
