#pragma once

#include "admission/types/admissiondecision.h"
#include "admission/types/admissionlimits.h"
#include "admission/types/backendhealth.h"
#include "admission/types/completion.h"
#include "admission/types/workitem.h"
#include "framework/types/timepoint.h"
#include "protocol/types/loadreport.h"
#include "protocol/types/refusalreason.h"

#include <vector>

namespace lavendertally::admission {

/// The only authority over what its backend server runs. It assumes a cold backend server until
/// completed work shows otherwise.
class IAdmissionController
{
public:
    virtual ~IAdmissionController() = default;

    /// Decides on a new work item.
    virtual AdmissionDecision offer(const WorkItem &item, framework::TimePoint now) = 0;

    /// A running item ended.
    /// \param serviceTime time that the backend server worked on it
    virtual void complete(const WorkKey &key, Completion completion,
                          framework::Milliseconds serviceTime, framework::TimePoint now) = 0;

    /// Drops a waiting item.
    /// \return whether it was waiting, so that it is provably not run
    virtual bool cancelWaiting(const WorkKey &key, framework::TimePoint now) = 0;

    /// \return decisions on waiting items, each to run now or refused; call it after every other
    /// change and at nextWake()
    virtual std::vector<AdmissionDecision> takeDecisions(framework::TimePoint now) = 0;

    /// \return when takeDecisions() may have something to say although nothing else happened
    virtual framework::TimePoint nextWake() const = 0;

    virtual void observeHealth(const BackendHealth &health, framework::TimePoint now) = 0;

    virtual void setLimits(const AdmissionLimits &limits, framework::TimePoint now) = 0;

    /// Refuses everything from now on with \p reason; RefusalReason::None opens again. Waiting
    /// items are refused as well; running ones go on.
    virtual void close(protocol::RefusalReason reason, framework::TimePoint now) = 0;

    virtual protocol::LoadReport load(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::admission
