#include "platform/internal/daemonfeed.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "http/ihttpcall.h"
#include "peers/peersmodule.h"
#include "platform/internal/backendservercodec.h"
#include "platform/internal/wirenames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace lavendertally::platform {

namespace {

/// Registrations of all daemons come in here, so the topic is read at intervals.
constexpr TopicPace Pace{framework::Milliseconds(0), framework::Milliseconds(4000),
                         framework::Milliseconds(0)};

/// Time between two registrations of a daemon. It grows with the number of daemons, so that all
/// together make no more than a few calls per second.
constexpr framework::Milliseconds MinRegisterInterval{8000};
constexpr framework::Milliseconds MaxRegisterInterval{60000};
constexpr framework::Milliseconds RegisterIntervalPerDaemon{250};
/// How long the first registration waits for the topic to be read.
constexpr framework::Milliseconds RegisterPatience{500};
/// A failed registration is repeated after this part of the interval.
constexpr std::int64_t RetriesPerInterval = 8;
/// After the store was restored, daemons register again one after the other.
constexpr framework::Milliseconds RestoreSpread{20};
/// A daemon that misses this number of registrations is gone.
constexpr std::int64_t RegistrationsPerLifetime = 3;
constexpr framework::Milliseconds LifetimeMargin{1000};
/// Lifetime of a registration that states none.
constexpr framework::Milliseconds DefaultLifetime{25000};

/// Daemons that are assumed to share limits while the others are not known; more than a small
/// site has.
constexpr std::size_t AssumedSharers = 8;

constexpr const char *EndpointField = "endpoint";
constexpr const char *JoinedField = "joined";
constexpr const char *CapacityField = "millicores";
constexpr const char *LifetimeField = "lifetime_ms";

/// A daemon's own registration.
struct Registration
{
    framework::Endpoint endpoint;
    /// Nothing in the first registration, whose offset it is.
    std::optional<framework::LogOffset> joined;
    framework::Millicores capacity;
    /// Time after which it counts as gone unless it registers again.
    framework::Milliseconds lifetime{DefaultLifetime};
};

std::string encode(const Registration &registration)
{
    nlohmann::json json = {{EndpointField, registration.endpoint.toString()},
                           {CapacityField, registration.capacity.value()},
                           {LifetimeField, registration.lifetime.value()}};
    if (registration.joined) {
        json[JoinedField] = registration.joined->value();
    }
    return json.dump();
}

std::optional<Registration> decode(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto member = json.is_object() ? json.find(EndpointField) : json.end();
    if (member == json.end() || !member->is_string()) {
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(member->get<std::string>());
    if (!endpoint) {
        return std::nullopt;
    }
    Registration registration{*endpoint, std::nullopt, {}, DefaultLifetime};
    const auto joined = json.find(JoinedField);
    if (joined != json.end() && joined->is_number_unsigned()) {
        registration.joined = framework::LogOffset(joined->get<std::uint64_t>());
    }
    const auto capacity = json.find(CapacityField);
    if (capacity != json.end() && capacity->is_number_unsigned()) {
        registration.capacity = framework::Millicores(capacity->get<std::int64_t>());
    }
    const auto lifetime = json.find(LifetimeField);
    if (lifetime != json.end() && lifetime->is_number_unsigned()) {
        registration.lifetime = framework::Milliseconds(lifetime->get<std::int64_t>());
    }
    return registration;
}

} // namespace

DaemonFeed::DaemonFeed(StoreClient &store, framework::IScheduler &scheduler,
                       const framework::IClock &clock, framework::ILogger &logger,
                       framework::DaemonId self, framework::Millicores capacity)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_logger(logger),
      m_self(std::move(self)), m_capacity(capacity),
      m_reader(store, scheduler, clock, logger, std::string(wire::DaemonsTopic), Pace, m_replica)
{ }

DaemonFeed::~DaemonFeed() = default;

void DaemonFeed::start(const framework::Endpoint &endpoint)
{
    m_endpoint = endpoint;
    update();
    // An earlier registration is read first, to go on with its offset.
    m_registerTimer = m_scheduler.callAfter(RegisterPatience, [this] { registerSelf(); });
    m_reader.start();
}

void DaemonFeed::registerSelf()
{
    if (m_leaving) {
        return;
    }
    m_isRegistered = true;
    const framework::Milliseconds lifetime =
        registerInterval() * RegistrationsPerLifetime + LifetimeMargin;
    m_append = m_store.append(
        wire::DaemonsTopic,
        {{}, m_self.value(), encode({m_endpoint, m_joined, m_capacity, lifetime})},
        [this](const framework::Result<void> &result) { registered(static_cast<bool>(result)); });
}

void DaemonFeed::registered(bool isDone)
{
    if (isDone && !m_joined) {
        m_reader.readSoon();
    }
    const framework::Milliseconds retryDelay(registerInterval().value() / RetriesPerInterval);
    m_registerTimer =
        m_scheduler.callAfter(isDone ? registerInterval() : retryDelay, [this] { registerSelf(); });
}

framework::Milliseconds DaemonFeed::registerInterval() const
{
    const auto daemons = static_cast<std::int64_t>(m_ranking.size());
    return std::clamp(RegisterIntervalPerDaemon * daemons, MinRegisterInterval,
                      MaxRegisterInterval);
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

std::size_t DaemonFeed::limitSharerCount() const
{
    return m_isKnown ? m_ranking.size() : AssumedSharers;
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
    if (!m_isRegistered) {
        registerSelf();
    }
}

bool DaemonFeed::onRecord(const protocol::TopicRecord &record)
{
    const framework::DaemonId daemon(record.key);
    const auto registration = record.value ? decode(*record.value) : std::optional<Registration>();
    if (!registration) {
        m_known.erase(daemon);
        if (record.value) {
            m_logger.warning("entry of a daemon cannot be read; it is passed over",
                             {{"peer", record.key}});
        }
        return true;
    }
    const framework::LogOffset joined = registration->joined.value_or(record.offset);
    if (daemon == m_self) {
        m_joined = joined;
        return true;
    }
    m_known[daemon] = {{{daemon, registration->endpoint}, registration->capacity, joined},
                       m_clock.now(),
                       registration->lifetime};
    return true;
}

void DaemonFeed::onConfirmed(framework::TimePoint /*instant*/)
{
    expireSilent();
    update();
}

void DaemonFeed::onSourceRecovered()
{
    // Nobody could register while the store was away.
    for (auto &[daemon, known] : m_known) {
        known.heard = m_clock.now();
    }
}

/// The store may have lost this daemon's registration.
void DaemonFeed::onStoreRestored()
{
    if (!m_isRegistered || m_leaving) {
        return;
    }
    const auto self = std::find_if(m_ranking.begin(), m_ranking.end(),
                                   [this](const auto &daemon) { return daemon.daemon == m_self; });
    m_registerTimer =
        m_scheduler.callAfter(RestoreSpread * static_cast<std::int64_t>(self - m_ranking.begin()),
                              [this] { registerSelf(); });
}

void DaemonFeed::expireSilent()
{
    const framework::TimePoint now = m_clock.now();
    std::erase_if(m_known, [now](const auto &entry) {
        return now - entry.second.heard > entry.second.lifetime;
    });
}

/// A daemon that does not know its own offset yet comes last among those of its capacity.
void DaemonFeed::update()
{
    const framework::LogOffset last(std::numeric_limits<std::uint64_t>::max());
    std::vector<peers::DaemonRegistration> registrations{
        {{m_self, m_endpoint}, m_capacity, m_joined.value_or(last)}};
    for (const auto &[daemon, known] : m_known) {
        registrations.push_back(known.registration);
    }
    std::vector<peers::DaemonAddress> ranking = peers::PeersModule::rank(std::move(registrations));
    if (ranking == m_ranking) {
        return;
    }
    m_ranking = std::move(ranking);
    m_logger.info("daemons known",
                  {{"daemons", std::to_string(m_ranking.size())},
                   {"first", m_ranking.front().daemon.value()}});
    for (const std::function<void()> &listener : m_listeners) {
        listener();
    }
}

} // namespace lavendertally::platform
