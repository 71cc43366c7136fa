#include "proxy/internal/backendcapacity.h"

#include "membership/ibackendservers.h"
#include "peers/idaemondirectory.h"
#include "proxy/types/proxycontext.h"
#include "serving/iservingstate.h"
#include "serving/types/servicespec.h"
#include "serving/types/servingconfiguration.h"

namespace lavendertally::proxy {

std::vector<admission::ServerSlots>
BackendCapacity::servers(const framework::ServiceId &service) const
{
    std::vector<admission::ServerSlots> result;
    for (const membership::BackendServerEntry *entry : m_context.servers.admitting(service)) {
        result.push_back({entry->id, entry->slots});
    }
    return result;
}

bool BackendCapacity::isModelEngine(const framework::ServiceId &service) const
{
    const auto configuration = m_context.serving.configuration();
    const serving::ServiceSpec *spec =
        configuration == nullptr ? nullptr : configuration->findService(service);
    return spec != nullptr && spec->isModelEngine;
}

std::size_t BackendCapacity::gatewayCount() const
{
    return m_context.directory.limitSharerCount();
}

std::optional<std::uint32_t> BackendCapacity::maxCalls(const framework::ServiceId &service) const
{
    if (m_context.callLimits == nullptr) {
        return std::nullopt;
    }
    return m_context.callLimits->maxCalls(service);
}

} // namespace lavendertally::proxy
