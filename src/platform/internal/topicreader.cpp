#include "platform/internal/topicreader.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "http/ihttpcall.h"
#include "platform/types/storeerror.h"
#include "replication/topicreplica.h"

#include <algorithm>
#include <utility>

namespace lavendertally::platform {

namespace {

/// Time until a failed call is repeated, doubled with each failure in a row. Daemons that read for
/// all come back soon, so that the others, which hear from them, can wait longer.
constexpr framework::Milliseconds MinLeadingRetryDelay{250};
constexpr framework::Milliseconds MaxLeadingRetryDelay{500};
constexpr framework::Milliseconds MinRetryDelay{500};
constexpr framework::Milliseconds MaxRetryDelay{3000};

/// An outage that ended longer ago has no consequences for a topic that is read again only now.
constexpr framework::Milliseconds MaxOutageNewsAge{5000};

const char *errorName(StoreError error)
{
    switch (error) {
    case StoreError::NotDone:
        return "refused or unreachable";
    case StoreError::Unknown:
        return "no answer";
    case StoreError::HistoryDropped:
        return "history dropped";
    case StoreError::Outdated:
        return "outdated";
    case StoreError::Malformed:
        return "malformed answer";
    }
    return "unknown";
}

} // namespace

TopicReader::TopicReader(StoreClient &store, framework::IScheduler &scheduler,
                         const framework::IClock &clock, framework::ILogger &logger,
                         std::string topic, TopicPace pace, replication::TopicReplica &replica)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_logger(logger),
      m_topic(std::move(topic)), m_pace(pace), m_replica(replica)
{ }

TopicReader::~TopicReader() = default;

void TopicReader::start()
{
    m_lastSuccess = m_clock.now();
    readNewest({});
}

void TopicReader::readNewest(const std::string &after)
{
    m_asked = m_clock.now();
    if (after.empty()) {
        m_snapshot.clear();
        m_snapshotAsked = m_asked;
    }
    m_call = m_store.readNewest(
        m_topic, after, [this](framework::Result<StorePage> page) { onPage(std::move(page)); });
}

void TopicReader::onPage(framework::Result<StorePage> page)
{
    if (!page) {
        const StoreError error = framework::errorOf(std::move(page), StoreError::Malformed);
        failed(error, [this] { readNewest({}); });
        return;
    }
    if (m_snapshot.empty()) {
        // Later pages may be newer; reading on from the first page's end repeats those changes.
        m_snapshotEnd = page->end;
        m_snapshotEra = page->era;
    } else if (page->era != m_snapshotEra) {
        later(nextRetryDelay(), [this] { readNewest({}); });
        return;
    }
    m_snapshot.insert(m_snapshot.end(), page->records.begin(), page->records.end());
    if (page->hasMore && !page->records.empty()) {
        readNewest(m_snapshot.back().key);
        return;
    }
    if (!m_replica.replace(std::exchange(m_snapshot, {}), m_snapshotEnd, m_snapshotAsked,
                           m_snapshotEra, replication::SnapshotOrigin::Store)) {
        m_logger.warning("newest records of a topic are older than what is known",
                         {{"topic", m_topic},
                          {"era", std::to_string(m_snapshotEra.value())},
                          {"known_era", std::to_string(m_replica.era().value())},
                          {"end", std::to_string(m_snapshotEnd.value())},
                          {"offset", std::to_string(m_replica.next().value())}});
        later(nextRetryDelay(), [this] { readChanges(); });
        return;
    }
    succeeded();
    later(m_pace.pause, [this] { readChanges(); });
}

void TopicReader::readChanges()
{
    m_asked = m_clock.now();
    const bool isReread = m_hasFollowed && m_pace.rereadTime > framework::Milliseconds(0);
    m_from = isReread ? m_replica.nextAt(m_asked - m_pace.rereadTime) : m_replica.next();
    m_call = m_store.readChanges(
        m_topic, m_from, m_pace.wait,
        [this](framework::Result<StoreChanges> changes) { onChanges(std::move(changes)); });
}

void TopicReader::onChanges(framework::Result<StoreChanges> changes)
{
    if (!changes) {
        const StoreError error = framework::errorOf(std::move(changes), StoreError::Malformed);
        if (error == StoreError::HistoryDropped) {
            m_logger.info("history of a topic dropped; reads its newest records",
                          {{"topic", m_topic}, {"offset", std::to_string(m_from.value())}});
            // The newest records may not help; then the store is not called without a pause.
            const bool isRepeated = m_droppedAt == m_from;
            m_droppedAt = m_from;
            m_hasFollowed = false;
            later(isRepeated ? nextRetryDelay() : framework::Milliseconds(0),
                  [this] { readNewest({}); });
            return;
        }
        failed(error, [this] { readChanges(); });
        return;
    }
    if (changes->era < m_replica.era()) {
        // Answered before the store was restored.
        later(nextRetryDelay(), [this] { readChanges(); });
        return;
    }
    if (changes->era != m_replica.era()) {
        later(framework::Milliseconds(0), [this] { readNewest({}); });
        return;
    }
    succeeded();
    m_droppedAt.reset();
    m_hasFollowed = m_mode == replication::SourceMode::Off;
    m_replica.append(changes->records, m_from, changes->next, m_asked, changes->era);
    later(m_pace.pause, [this] { readChanges(); });
}

/// An outage counts that any call has met, also one for another topic: a short one need not fall on
/// a call for this one.
void TopicReader::succeeded()
{
    const framework::TimePoint now = m_clock.now();
    if (m_lost) {
        m_logger.info(
            "store reachable again",
            {{"topic", m_topic}, {"away_ms", std::to_string((now - m_lastSuccess).value())}});
        m_lost = false;
    }
    const std::optional<replication::StoreOutage> &outage = m_store.availability().lastOutage();
    const bool isNew =
        outage && outage->ended > m_lastSuccess && now - outage->ended <= MaxOutageNewsAge;
    if (isNew && m_replica.isLoaded()) {
        m_logger.info("store was away; registrations that lapsed meanwhile are kept for a while",
                      {{"topic", m_topic},
                       {"evidence", "own calls failed and no peer was answered"},
                       {"away_ms", std::to_string(outage->length().value())}});
        m_replica.markSourceRecovered({outage->began, now});
    }
    m_lastSuccess = now;
    m_retryDelay = {};
}

void TopicReader::failed(StoreError error, std::function<void()> retry)
{
    if (!m_lost) {
        m_lost = true;
        m_logger.warning("store lost; goes on with what is known",
                         {{"topic", m_topic}, {"error", errorName(error)}});
    }
    later(nextRetryDelay(), std::move(retry));
}

framework::Milliseconds TopicReader::nextRetryDelay()
{
    const bool isLeading = m_mode == replication::SourceMode::Leading;
    m_retryDelay = isLeading
        ? std::clamp(m_retryDelay * 2, MinLeadingRetryDelay, MaxLeadingRetryDelay)
        : std::clamp(m_retryDelay * 2, MinRetryDelay, MaxRetryDelay);
    return m_retryDelay;
}

void TopicReader::later(framework::Milliseconds delay, std::function<void()> step)
{
    m_step = std::move(step);
    m_isStepDue = false;
    m_timer = m_scheduler.callAfter(delay, [this] {
        m_isStepDue = true;
        runStep();
    });
}

void TopicReader::runStep()
{
    if (m_mode == replication::SourceMode::Off || !m_step) {
        return;
    }
    // The call whose answer was being handled when the step was set has returned by now.
    m_call.reset();
    std::exchange(m_step, nullptr)();
}

void TopicReader::setMode(replication::SourceMode mode)
{
    m_mode = mode;
    m_hasFollowed = m_hasFollowed || mode == replication::SourceMode::Off;
    if (m_isStepDue) {
        runStep();
    }
}

void TopicReader::readSoon()
{
    if (m_step) {
        later(framework::Milliseconds(0), std::exchange(m_step, nullptr));
    }
}

} // namespace lavendertally::platform
