#pragma once

#include "admission/types/admissiondecision.h"
#include "admission/types/admissionlimits.h"
#include "admission/types/backendhealth.h"
#include "admission/types/completion.h"
#include "admission/types/workitem.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "protocol/types/loadreport.h"
#include "protocol/types/refusalreason.h"

#include <optional>
#include <vector>

namespace lavendertally::admission {

/// Decides which work items run on one backend server, which wait and which are refused. Every item
/// that runs there passes through this controller. Used on one thread; all times are on the
/// clock of its process.
class IAdmissionController
{
public:
    virtual ~IAdmissionController() = default;

    /// Decides on a new work item.
    /// \param item a repeated offer of a waiting or running item changes nothing and gets
    /// AdmissionVerdict::Wait
    /// \param now present time
    /// \return whether the item runs now, waits or is refused
    virtual AdmissionDecision offer(const WorkItem &item, framework::TimePoint now) = 0;

    /// Reports that a running item ended; a key that is not running is ignored.
    /// \param key the item
    /// \param completion how it ended
    /// \param serviceTime time that the backend server spent on it
    /// \param now present time
    virtual void complete(const WorkKey &key, Completion completion,
                          framework::Milliseconds serviceTime, framework::TimePoint now) = 0;

    /// Removes a waiting item.
    /// \return whether it was waiting; if so, it has not run and will not
    virtual bool cancelWaiting(const WorkKey &key, framework::TimePoint now) = 0;

    /// Takes the decisions on waiting items that have become due. Call it after every other change
    /// and at nextWake().
    /// \return decisions with verdict Run or Refuse, each returned once
    virtual std::vector<AdmissionDecision> takeDecisions(framework::TimePoint now) = 0;

    /// \return when takeDecisions() may return decisions even if nothing else happens;
    /// TimePoint::never() if it needs no call
    virtual framework::TimePoint nextWake() const = 0;

    /// Takes a health report of the backend server into account.
    virtual void observeHealth(const BackendHealth &health, framework::TimePoint now) = 0;

    /// Reports an answer of the backend server.
    /// \param named requests per second that the answer names, if it does
    /// \param callSent when the request was sent; a limit ends with an answer to a later request
    virtual void observeRateLimit(std::optional<framework::RequestRate> named,
                                  framework::TimePoint callSent, framework::TimePoint now) = 0;

    /// Replaces the limits; takeDecisions() refuses waiting items beyond the new queue length.
    virtual void setLimits(const AdmissionLimits &limits, framework::TimePoint now) = 0;

    /// Refuses waiting and new items with \p reason from now on; running items continue.
    /// \param reason RefusalReason::None reopens the controller
    /// \param now present time
    virtual void close(protocol::RefusalReason reason, framework::TimePoint now) = 0;

    /// \return running and waiting items, present limit and expected wait
    virtual protocol::LoadReport load(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::admission
