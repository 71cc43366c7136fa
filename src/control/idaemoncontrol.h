#pragma once

#include "framework/istatedumper.h"
#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "protocol/types/loadreport.h"

#include <functional>

namespace lavendertally::control {

class ICrashEvidenceExchange;
class IRevisionReports;

/// Control side of one daemon: keeps its configuration and membership up to date and answers
/// other daemons' control messages.
class IDaemonControl : public framework::IStateDumper
{
public:
    /// Starts listening and synchronising with peers, the log and the host list.
    /// \param endpoint port zero lets the kernel choose
    /// \return the endpoint with its real port, or ControlError::ListenFailed
    virtual framework::Result<framework::Endpoint> start(const framework::Endpoint &endpoint) = 0;

    /// Records the revision carried by a message from another daemon.
    /// \param peer control endpoint of the sender
    virtual void noteRevision(const framework::Endpoint &peer, framework::LogOffset revision) = 0;

    /// Same for a sender known only by its id, which is looked up in the membership.
    virtual void noteRevision(const framework::DaemonId &sender, framework::LogOffset revision) = 0;

    /// \return whether new work is to be refused because the configuration may be out of date
    virtual bool isIsolated() const = 0;

    /// \return revisions in force in the known daemons, as last reported
    virtual const IRevisionReports &revisionReports() const = 0;

    /// Sets the source of answers to load queries, which stay unanswered until it is set.
    virtual void setLoadSource(std::function<protocol::LoadReport()> source) = 0;

    /// Sets the evidence of crashes that is exchanged with other entries; none is until then.
    /// \param exchange outlives this object or its last call
    virtual void setCrashEvidence(ICrashEvidenceExchange &exchange) = 0;

    /// Passes evidence that has changed on to some entries at once.
    virtual void spreadCrashEvidence() = 0;

    /// Asks a host process for its load.
    /// \param callback gets the report, or ControlError
    virtual void
    probeLoad(const framework::Endpoint &peer, framework::Milliseconds timeout,
              std::function<void(framework::Result<protocol::LoadReport>)> callback) = 0;

    /// Adds an observer called after each attempt to fetch the host list, successful or not.
    virtual void onMembershipUpdate(std::function<void()> observer) = 0;
};

} // namespace lavendertally::control
