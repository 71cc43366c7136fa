#include "control/internal/controlresponder.h"

#include "configuration/iconfigurationreplica.h"
#include "control/icrashevidenceexchange.h"
#include "control/internal/replicaupdater.h"
#include "control/internal/revisionreports.h"

#include <utility>
#include <variant>

namespace lavendertally::control {

ControlResponder::ControlResponder(framework::DaemonId self, ReplicaUpdater &updater,
                                   RevisionReports &reports)
    : m_self(std::move(self)), m_updater(updater), m_reports(reports)
{ }

void ControlResponder::setRevisionObserver(RevisionObserver observer)
{
    m_observer = std::move(observer);
}

void ControlResponder::setLoadSource(std::function<protocol::LoadReport()> source)
{
    m_loadSource = std::move(source);
}

std::optional<protocol::Message> ControlResponder::answer(const protocol::Message &message)
{
    if (const auto *query = std::get_if<protocol::RevisionQuery>(&message)) {
        return answerRevision(*query);
    }
    if (const auto *query = std::get_if<protocol::LoadQuery>(&message)) {
        return answerLoad(*query);
    }
    return std::nullopt;
}

protocol::RevisionReply ControlResponder::answerRevision(const protocol::RevisionQuery &query)
{
    m_reports.note(query.sender, query.revision);
    protocol::RevisionReply reply{m_self, m_updater.revision(), "", {}};
    if (query.revision < reply.revision) {
        if (auto records = m_updater.replica().recordsSince(query.revision)) {
            reply.records = std::move(*records);
        } else {
            reply.snapshot = m_updater.replica().snapshot();
        }
    }
    if (m_evidence != nullptr && query.takesEvidence) {
        if (!query.evidence.empty()) {
            m_evidence->receive(query.evidence);
        }
        reply.evidence = m_evidence->newest();
    }
    noteSender(query.sender, query.revision);
    return reply;
}

std::optional<protocol::Message> ControlResponder::answerLoad(const protocol::LoadQuery &query)
{
    noteSender(query.sender, query.revision);
    if (!m_loadSource) {
        return std::nullopt;
    }
    return m_loadSource();
}

void ControlResponder::noteSender(const framework::DaemonId &sender, framework::LogOffset revision)
{
    if (m_observer) {
        m_observer(sender, revision);
    }
}

} // namespace lavendertally::control
