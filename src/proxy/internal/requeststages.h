#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stagejoboutcome.h"

#include <functional>
#include <optional>
#include <vector>

namespace lavendertally::proxy {

struct ClientRequest;
struct ProxyContext;
struct RequestPlan;

/// The stages of one request: their job and their results.
class RequestStages
{
public:
    /// \param request and \param plan outlive this object
    RequestStages(const ProxyContext &context, const ClientRequest &request,
                  const RequestPlan &plan);

    /// \return whether stages must run before the request can be sent
    bool areNeeded() const { return hasPieces() && m_results.empty(); }

    /// \param job what the request asks of its stages; the stages themselves are filled in
    /// \param done called once, later, unless cancel() is called before
    void start(protocol::StageJob job, std::function<void(protocol::StageJobOutcome)> done);
    void cancel();

    const std::vector<protocol::StageResultPlace> &results() const { return m_results; }
    /// \return zone in which most results lie, or nothing
    std::optional<framework::AvailabilityZoneId> zone() const;
    /// The results are not needed any more.
    void release();
    /// \return time that all runs of the stages took together
    framework::Milliseconds timeTaken() const { return m_timeTaken; }

private:
    bool hasPieces() const;
    std::uint32_t piecesOf(std::size_t stage) const;

    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    bool m_running = false;
    framework::TimePoint m_started;
    framework::Milliseconds m_timeTaken;
    std::vector<protocol::StageResultPlace> m_results;
};

} // namespace lavendertally::proxy
