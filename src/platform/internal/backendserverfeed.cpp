#include "platform/internal/backendserverfeed.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/types/errorcontext.h"
#include "membership/ibackendserverupdates.h"
#include "membership/types/backendserverentry.h"
#include "platform/internal/backendservercodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/decodeerror.h"

#include <set>
#include <string>

namespace lavendertally::platform {

namespace {

/// Every heartbeat of every backend server is a change, so the topic is read at intervals: half of
/// the time within which a backend server that leaves must get no more work.
/// Each backend server that is up has written within the time that is read again.
constexpr TopicPace Pace{framework::Milliseconds(0), framework::Milliseconds(1000),
                         framework::Milliseconds(5000)};

} // namespace

BackendServerFeed::BackendServerFeed(StoreClient &store, framework::IScheduler &scheduler,
                                     const framework::IClock &clock, framework::ILogger &logger,
                                     membership::IBackendServerUpdates &servers)
    : m_store(store), m_clock(clock), m_logger(logger), m_servers(servers),
      m_reader(store, scheduler, clock, logger, std::string(wire::ServersTopic), Pace, m_replica)
{ }

void BackendServerFeed::onSnapshot(const std::vector<protocol::TopicRecord> &records)
{
    std::set<framework::BackendServerId> present;
    for (const protocol::TopicRecord &record : records) {
        present.emplace(record.key);
    }
    m_servers.retainOnly(present, m_clock.now());
    for (const protocol::TopicRecord &record : records) {
        onRecord(record);
    }
}

void BackendServerFeed::onConfirmed(framework::TimePoint instant)
{
    m_store.availability().noteAnswered(instant);
}

void BackendServerFeed::onSourceRecovered()
{
    m_servers.registryRecovered(m_clock.now());
}

void BackendServerFeed::onStoreRestored()
{
    m_logger.info(
        "store was away; registrations that lapsed meanwhile are kept for a while",
        {{"topic", std::string(wire::ServersTopic)}, {"evidence", "store came back from a copy"}});
}

std::optional<protocol::RecordVersion>
BackendServerFeed::version(const protocol::TopicRecord &record) const
{
    if (!record.value) {
        return std::nullopt;
    }
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<std::optional<protocol::RecordVersion>> {
            BOOST_LEAF_AUTO(entry, decodeBackendServer(record.key, *record.value, m_clock.now()));
            if (entry.reports == framework::ReportNumber(0)) {
                return std::nullopt;
            }
            return protocol::RecordVersion{entry.incarnation, entry.reports};
        },
        [] { return std::optional<protocol::RecordVersion>(); });
}

void BackendServerFeed::onOutdated(const protocol::TopicRecord &record)
{
    const protocol::RecordVersion read = version(record).value_or(protocol::RecordVersion());
    m_logger.info("report of a backend server is older than what is known; it is ignored",
                  {{"backend_server", record.key},
                   {"report", std::to_string(read.number.value())},
                   {"incarnation", std::to_string(read.incarnation.value())}});
}

bool BackendServerFeed::onRecord(const protocol::TopicRecord &record)
{
    const framework::BackendServerId id(record.key);
    if (!record.value) {
        m_servers.remove(id, m_clock.now());
        return true;
    }
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<bool> {
            BOOST_LEAF_AUTO(entry, decodeBackendServer(record.key, *record.value, m_clock.now()));
            return m_servers.put(entry);
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            m_logger.warning("entry of a backend server cannot be read; it is not used",
                             {{"backend_server", record.key}, {"problem", context.message}});
            m_servers.remove(id, m_clock.now());
            return true;
        },
        [&] {
            m_servers.remove(id, m_clock.now());
            return true;
        });
}

} // namespace lavendertally::platform
