#pragma once

#include "framework/types/ids.h"
#include "protocol/types/message.h"

#include <functional>
#include <optional>

namespace lavendertally::framework {
class IClock;
}

namespace lavendertally::control {

class ICrashEvidenceExchange;
class ReplicaUpdater;
class IIsolationPolicy;
class RevisionReports;

/// Answers other daemons' control messages. Works on decoded messages, apart from their encoding.
class ControlResponder
{
public:
    /// Called with the sender and revision of each query.
    using RevisionObserver = std::function<void(const framework::DaemonId &, framework::LogOffset)>;

    ControlResponder(framework::DaemonId self, ReplicaUpdater &updater, RevisionReports &reports);

    void setRevisionObserver(RevisionObserver observer);
    void setLoadSource(std::function<protocol::LoadReport()> source);

    /// Sets the evidence that is taken from queries and goes along with answers.
    void setCrashEvidence(ICrashEvidenceExchange &exchange) { m_evidence = &exchange; }

    /// \return the answer, or nothing when the message gets none
    std::optional<protocol::Message> answer(const protocol::Message &message);

private:
    protocol::RevisionReply answerRevision(const protocol::RevisionQuery &query);
    std::optional<protocol::Message> answerLoad(const protocol::LoadQuery &query);
    void noteSender(const framework::DaemonId &sender, framework::LogOffset revision);

    framework::DaemonId m_self;
    ReplicaUpdater &m_updater;
    RevisionReports &m_reports;
    RevisionObserver m_observer;
    std::function<protocol::LoadReport()> m_loadSource;
    /// Null if no evidence is exchanged.
    ICrashEvidenceExchange *m_evidence = nullptr;
};

} // namespace lavendertally::control
