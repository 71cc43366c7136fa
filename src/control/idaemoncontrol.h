#pragma once

#include "framework/istatedumper.h"
#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "protocol/types/loadreport.h"

#include <functional>

namespace lavendertally::control {

class IRevisionReports;

/// Control side of one daemon: keeps its configuration and membership up to date and answers
/// other daemons' control messages.
class IDaemonControl : public framework::IStateDumper
{
public:
    /// Listens and starts to ask.
    /// \param endpoint port zero lets the kernel choose
    /// \return the endpoint with its real port, or ControlError::ListenFailed
    virtual framework::Result<framework::Endpoint> start(const framework::Endpoint &endpoint) = 0;

    /// Notes the revision that a message from another daemon carried.
    /// \param peer control endpoint of the sender
    virtual void noteRevision(const framework::Endpoint &peer, framework::LogOffset revision) = 0;

    /// Notes the revision that a message carried whose sender is known by its id only.
    virtual void noteRevision(const framework::DaemonId &sender, framework::LogOffset revision) = 0;

    /// \return whether new work is to be refused because the configuration may be out of date
    virtual bool isIsolated() const = 0;

    /// \return revisions in force in the daemons that this one hears
    virtual const IRevisionReports &revisionReports() const = 0;

    /// Sets what answers load queries; without it they get no answer.
    virtual void setLoadSource(std::function<protocol::LoadReport()> source) = 0;

    /// Asks a host process for its load.
    /// \param callback gets the report, or ControlError
    virtual void
    probeLoad(const framework::Endpoint &peer, framework::Milliseconds timeout,
              std::function<void(framework::Result<protocol::LoadReport>)> callback) = 0;

    /// Calls \p observer after each answer or failure of the host list.
    virtual void onMembershipUpdate(std::function<void()> observer) = 0;
};

} // namespace lavendertally::control
