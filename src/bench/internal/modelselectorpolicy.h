#pragma once

#include "bench/internal/imodelpolicy.h"
#include "bench/internal/modelserver.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/testing/fakebackendservers.h"
#include "ratelimit/testing/testratelimits.h"
#include "routing/types/callnumber.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::routing {
class IBackendServerSelector;
struct ServerQuery;
} // namespace lavendertally::routing

namespace lavendertally::bench {

/// The product's selector, as a gateway uses it.
class ModelSelectorPolicy final : public IModelPolicy
{
public:
    /// \param statesWork whether queries carry the request's work; without it the selector counts
    /// calls
    ModelSelectorPolicy(const std::vector<ModelServer> &servers, std::size_t zone,
                        std::uint64_t seed, bool statesWork);
    ~ModelSelectorPolicy() override;

    std::size_t send(std::size_t index, const ModelRequest &request, double now) override;
    void eventReceived(std::size_t index, bool isFirst, double now) override;
    void ended(std::size_t index, bool isWhole, double now) override;
    void observeLoad(std::size_t server, const routing::ServerLoad &load, double now) override;

    routing::IBackendServerSelector &selector() { return *m_selector; }
    routing::ServerQuery query(const ModelRequest &request) const;

private:
    struct Call
    {
        std::size_t server = 0;
        routing::CallNumber number;
        framework::TimePoint started;
    };

    std::vector<framework::BackendServerId> m_ids;
    std::unordered_map<framework::BackendServerId, std::size_t> m_indexes;
    framework::AvailabilityZoneId m_zone;
    bool m_statesWork;
    membership::FakeBackendServers m_servers;
    ratelimit::TestRateLimits m_rateLimits;
    std::unique_ptr<framework::IRandom> m_random;
    std::unique_ptr<routing::IBackendServerSelector> m_selector;
    std::unordered_map<std::size_t, Call> m_calls;
};

} // namespace lavendertally::bench
