#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace lavendertally::routing {

/// How much of a service's work has each prompt part in it, and which backend servers this daemon
/// sent it to last. All daemons see about the same shares, so that they agree on how many servers
/// should keep a part without a message.
class PromptDemand
{
public:
    /// Records a request with \p part.
    /// \param server hash of the id of the backend server that gets it
    void observe(framework::PromptPartId part, std::uint64_t server, framework::TimePoint now);
    /// Counts one request towards the total, whether it has parts or not.
    void observeRequest(framework::TimePoint now);

    /// \return share of the service's recent requests that contain \p part, between zero and one
    double share(framework::PromptPartId part, framework::TimePoint now) const;
    /// \return probability that \p server still keeps \p part since this daemon sent it there
    double keptByOwnCall(framework::PromptPartId part, std::uint64_t server,
                         framework::TimePoint now) const;

private:
    struct Sent
    {
        std::uint64_t server = 0;
        framework::TimePoint at;
    };
    struct Part
    {
        /// Number of requests, where older ones count less.
        double requests = 0.0;
        framework::TimePoint at;
        std::array<Sent, 4> sent;
    };

    void makeRoom(framework::TimePoint now);

    std::unordered_map<framework::PromptPartId, Part> m_parts;
    double m_requests = 0.0;
    framework::TimePoint m_requestsAt;
};

} // namespace lavendertally::routing
