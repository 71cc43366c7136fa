#include "stages/internal/storagequeries.h"

#include "membership/ibackendservers.h"
#include "serving/types/stagepool.h"
#include "stages/internal/resulttracker.h"
#include "stages/internal/stageestimator.h"

namespace lavendertally::stages {

namespace {

/// Time after which a server is asked again; the results that it told of expire one after the
/// other.
constexpr framework::Milliseconds RepetitionInterval{600};
/// How long a report counts; the next one comes before.
constexpr framework::Milliseconds ReportLifetime{1000};

} // namespace

StorageQueries::StorageQueries(const membership::IBackendServers &servers,
                               const StageEstimator &estimator, ResultTracker &resultTracker)
    : m_servers(servers), m_estimator(estimator), m_resultTracker(resultTracker)
{ }

std::vector<membership::BackendServerEntry>
StorageQueries::newServers(const framework::ServiceId &service)
{
    std::vector<membership::BackendServerEntry> result;
    if (m_generation != m_servers.generation()) {
        m_generation = m_servers.generation();
        m_askedServices.clear();
        std::erase_if(m_asked, [this](const framework::BackendServerId &server) {
            return m_servers.findAdmitting(server) == nullptr;
        });
    }
    if (m_askedServices.insert(service).second) {
        for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
            if (m_asked.insert(server->id).second) {
                result.push_back(*server);
            }
        }
    }
    return result;
}

std::vector<membership::BackendServerEntry> StorageQueries::due(framework::TimePoint now)
{
    std::vector<membership::BackendServerEntry> result;
    std::erase_if(m_repetitions, [now](const auto &entry) { return now >= entry.second.end; });
    for (auto &[server, repetition] : m_repetitions) {
        const membership::BackendServerEntry *entry = m_servers.findAdmitting(server);
        if (entry != nullptr && now >= repetition.at) {
            repetition.at = framework::TimePoint::never();
            result.push_back(*entry);
        }
    }
    return result;
}

void StorageQueries::reported(const framework::BackendServerId &server, framework::Bytes free,
                              framework::TimePoint now)
{
    const membership::BackendServerEntry *entry = m_servers.findAdmitting(server);
    const serving::StagePool *pool =
        entry != nullptr ? m_estimator.findPool(entry->service) : nullptr;
    if (pool == nullptr) {
        return;
    }
    const framework::Bytes unknown =
        m_resultTracker.setReported(server, pool->resultCapacity - free, now + ReportLifetime);
    if (unknown <= framework::Bytes(0)) {
        m_repetitions.erase(server);
        return;
    }
    Repetition &repetition =
        m_repetitions.try_emplace(server, Repetition{{}, now + pool->resultLifetime}).first->second;
    repetition.at = now + RepetitionInterval;
}

} // namespace lavendertally::stages
