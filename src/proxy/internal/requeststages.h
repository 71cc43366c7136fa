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

/// Runs the stages of one request and holds their results.
class RequestStages
{
public:
    /// All arguments must outlive this object.
    RequestStages(const ProxyContext &context, const ClientRequest &request,
                  const RequestPlan &plan);

    /// \return whether stages must run before the request can be sent
    bool areNeeded() const { return hasPieces() && m_results.empty(); }

    /// Starts a job for all stages that have pieces.
    /// \param job deadlines, worth and preferred zone; the remaining fields are filled in
    /// \param done called once, after this function has returned, unless cancel() is called before
    void start(protocol::StageJob job, std::function<void(protocol::StageJobOutcome)> done);
    /// Cancels the job if one is running.
    void cancel();

    const std::vector<protocol::StageResultPlace> &results() const { return m_results; }
    /// \return availability zone that holds most results, or nothing if there are none
    std::optional<framework::AvailabilityZoneId> zone() const;
    /// Discards the results and releases them at the backend servers that hold them.
    void release();
    /// \return total time of all completed jobs
    framework::Milliseconds timeTaken() const { return m_timeTaken; }

private:
    bool hasPieces() const;
    std::uint32_t pieceCount(std::size_t stage) const;

    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    bool m_running = false;
    framework::TimePoint m_started;
    framework::Milliseconds m_timeTaken;
    std::vector<protocol::StageResultPlace> m_results;
};

} // namespace lavendertally::proxy
