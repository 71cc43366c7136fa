#include "platform/internal/daemonfeed.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "http/ihttpcall.h"
#include "platform/internal/backendservercodec.h"
#include "platform/internal/wirenames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lavendertally::platform {

namespace {

/// Registrations of all daemons come in here, so the topic is read at intervals.
constexpr TopicPace Pace{framework::Milliseconds(0), framework::Milliseconds(4000)};

/// Time between two registrations of a daemon.
constexpr framework::Milliseconds RegisterInterval{8000};
/// After a registration failed it is repeated sooner.
constexpr framework::Milliseconds RegisterRetry{1000};
/// A daemon that did not register for so long is gone: three registrations missed.
constexpr framework::Milliseconds DaemonLifetime{25000};

/// Daemons that are assumed to share limits while the others are not known; more than a small
/// site has.
constexpr std::size_t AssumedSharers = 8;

std::string encodeEndpoint(const framework::Endpoint &endpoint)
{
    return nlohmann::json({{"endpoint", endpoint.toString()}}).dump();
}

std::optional<framework::Endpoint> decodeEndpoint(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto member = json.is_object() ? json.find("endpoint") : json.end();
    if (member == json.end() || !member->is_string()) {
        return std::nullopt;
    }
    return parseEndpoint(member->get<std::string>());
}

} // namespace

DaemonFeed::DaemonFeed(StoreClient &store, framework::IScheduler &scheduler,
                       const framework::IClock &clock, framework::ILogger &logger,
                       framework::DaemonId self)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_logger(logger),
      m_self(std::move(self)),
      m_reader(store, scheduler, clock, logger, std::string(wire::DaemonsTopic), Pace, m_replica)
{ }

DaemonFeed::~DaemonFeed() = default;

void DaemonFeed::start(const framework::Endpoint &endpoint)
{
    m_endpoint = endpoint;
    registerSelf();
    m_reader.start();
}

void DaemonFeed::registerSelf()
{
    if (m_leaving) {
        return;
    }
    m_append = m_store.append(wire::DaemonsTopic, {{}, m_self.value(), encodeEndpoint(m_endpoint)},
                              [this](const framework::Result<void> &result) {
                                  const framework::Milliseconds delay =
                                      result ? RegisterInterval : RegisterRetry;
                                  m_registerTimer =
                                      m_scheduler.callAfter(delay, [this] { registerSelf(); });
                              });
}

void DaemonFeed::leave()
{
    m_leaving = true;
    m_registerTimer.reset();
    m_append = m_store.append(wire::DaemonsTopic, {{}, m_self.value(), std::nullopt},
                              [](const framework::Result<void> & /*result*/) {
                                  // The entry expires by itself if this was lost.
                              });
}

std::size_t DaemonFeed::sharers() const
{
    return m_isKnown ? m_daemons.size() + 1 : AssumedSharers;
}

void DaemonFeed::onChange(std::function<void()> callback)
{
    m_listeners.push_back(std::move(callback));
}

void DaemonFeed::onSnapshot(const std::vector<protocol::TopicRecord> &records)
{
    m_isKnown = true;
    for (const protocol::TopicRecord &record : records) {
        onRecord(record);
    }
}

bool DaemonFeed::onRecord(const protocol::TopicRecord &record)
{
    const framework::DaemonId daemon(record.key);
    if (daemon == m_self) {
        return true;
    }
    if (!record.value) {
        m_known.erase(daemon);
        return true;
    }
    if (const auto endpoint = decodeEndpoint(*record.value)) {
        m_known[daemon] = {*endpoint, m_clock.now()};
        return true;
    }
    m_logger.warning("entry of a daemon cannot be read; it is passed over", {{"peer", record.key}});
    return true;
}

void DaemonFeed::onConfirmed(framework::TimePoint /*instant*/)
{
    expireSilent();
    update();
}

void DaemonFeed::onReturned()
{
    // Nobody could register while the store was away.
    for (auto &[daemon, known] : m_known) {
        known.heard = m_clock.now();
    }
}

void DaemonFeed::expireSilent()
{
    const framework::TimePoint now = m_clock.now();
    std::erase_if(m_known,
                  [now](const auto &entry) { return now - entry.second.heard > DaemonLifetime; });
}

void DaemonFeed::update()
{
    std::vector<peers::DaemonAddress> daemons;
    for (const auto &[daemon, known] : m_known) {
        daemons.push_back({daemon, known.endpoint});
    }
    if (daemons == m_daemons) {
        return;
    }
    m_daemons = std::move(daemons);
    m_logger.info("other daemons known", {{"daemons", std::to_string(m_daemons.size())}});
    for (const std::function<void()> &listener : m_listeners) {
        listener();
    }
}

} // namespace lavendertally::platform
