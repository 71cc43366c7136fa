#include "quarantine/internal/crashexchange.h"

#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/ipeernetwork.h"
#include "quarantine/icrashevidencestore.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace lavendertally::quarantine {

namespace {

constexpr const char *ReportsMetric = "lavendertally_crash_reports_total";

/// \return part of \p spread that differs from daemon to daemon
framework::Milliseconds shareOf(framework::Milliseconds spread, const framework::DaemonId &daemon)
{
    constexpr std::uint64_t Steps = 1000;
    const auto step = static_cast<std::int64_t>(framework::stableHash(daemon.value()) % Steps);
    return framework::Milliseconds(spread.value() * step / static_cast<std::int64_t>(Steps));
}

bool contains(const std::vector<framework::DaemonId> &daemons, const framework::DaemonId &daemon)
{
    return std::find(daemons.begin(), daemons.end(), daemon) != daemons.end();
}

} // namespace

CrashExchange::CrashExchange(const framework::DaemonId &self, ICrashEvidenceStore &store,
                             peers::IPeerNetwork &network, framework::IScheduler &scheduler,
                             const framework::IClock &clock, framework::ILogger &logger,
                             framework::IMetrics &metrics, const CrashExchangeLimits &limits)
    : m_self(self), m_store(store), m_network(network), m_scheduler(scheduler), m_clock(clock),
      m_logger(logger), m_metrics(metrics), m_limits(limits),
      m_differenceTime(limits.differenceTime + shareOf(limits.differenceSpread, self)),
      m_started(clock.now())
{
    m_store.onChange([this](const protocol::CrashEvidence &evidence) { onChange(evidence); });
    m_network.addObserver(*this);
    m_network.setCrashFingerprint([this] { return fingerprint(); });
}

CrashExchange::~CrashExchange()
{
    m_store.onChange({});
}

CrashExchange::Key CrashExchange::keyOf(const protocol::CrashEvidence &evidence)
{
    return {evidence.part, evidence.crash};
}

CrashExchange::Evidence CrashExchange::knownEvidence() const
{
    Evidence known = m_store.evidence(m_clock.now());
    for (protocol::CrashEvidence &evidence : known) {
        evidence.attemptAge = std::min(evidence.attemptAge, protocol::MaxEvidenceAge);
        evidence.crashAge = std::min(evidence.crashAge, evidence.attemptAge);
    }
    std::sort(known.begin(), known.end(), [](const auto &left, const auto &right) {
        const auto order = [](const protocol::CrashEvidence &evidence) {
            return std::tuple(evidence.crashAge, evidence.crash, evidence.attemptAge,
                              evidence.isKnownGood, evidence.isRefuted);
        };
        return order(left) < order(right);
    });
    return known;
}

protocol::EvidenceFingerprint CrashExchange::fingerprint()
{
    const framework::TimePoint now = m_clock.now();
    if (!m_fingerprint || now - m_fingerprintMade >= m_limits.fingerprintTime) {
        m_fingerprint = protocol::EvidenceFingerprint(m_store.fingerprint(now));
        m_fingerprintMade = now;
    }
    return *m_fingerprint;
}

void CrashExchange::onChange(const protocol::CrashEvidence &evidence)
{
    m_fingerprint.reset();
    if (m_isCatchingUp) {
        return;
    }
    const Key key = keyOf(evidence);
    const auto news = m_news.find(key);
    if (news != m_news.end()) {
        if (news->second != m_teller) {
            news->second.reset();
        }
        return;
    }
    // What does not fit is found by comparing fingerprints.
    if (m_news.size() < protocol::MaxReportedEvidence) {
        m_news.emplace(key, m_teller);
        planNews();
    }
}

void CrashExchange::planNews()
{
    if (m_isNewsPlanned || m_news.empty()) {
        return;
    }
    m_isNewsPlanned = true;
    const framework::Milliseconds wait = m_nextNews - m_clock.now();
    m_newsTimer =
        m_scheduler.callAfter(std::max(m_limits.gatherTime, wait), [this] { sendNews(); });
}

void CrashExchange::sendNews()
{
    m_isNewsPlanned = false;
    std::vector<std::pair<protocol::CrashEvidence, Teller>> told;
    std::map<Key, Teller> later;
    for (const protocol::CrashEvidence &evidence : knownEvidence()) {
        auto news = m_news.extract(keyOf(evidence));
        if (news.empty()) {
            continue;
        }
        if (told.size() < m_limits.maxNews) {
            told.emplace_back(evidence, std::move(news.mapped()));
        } else {
            later.insert(std::move(news));
        }
    }
    m_news = std::move(later);
    m_nextNews = m_clock.now() + timeOf(told.size());
    const std::vector<framework::DaemonId> leading = m_network.linkedPeers();
    for (const framework::DaemonId &peer : m_network.crashReportTakers()) {
        if (!contains(leading, peer) && !isResponsibleFor(peer, leading)) {
            continue;
        }
        protocol::CrashReport report;
        for (const auto &[evidence, teller] : told) {
            if (isNewTo(peer, teller, leading)) {
                report.evidence.push_back(evidence);
            }
        }
        if (!report.evidence.empty()) {
            send(peer, report);
        }
    }
    planNews();
}

/// What one leading daemon has told, the others are told by it or by whoever told it.
bool CrashExchange::isNewTo(const framework::DaemonId &peer, const Teller &teller,
                            const std::vector<framework::DaemonId> &leading)
{
    return !teller || (*teller != peer && !(contains(leading, *teller) && contains(leading, peer)));
}

/// The daemon with the greatest hash; leading daemons that are linked with each other agree.
bool CrashExchange::isResponsibleFor(const framework::DaemonId &follower,
                                     const std::vector<framework::DaemonId> &leading) const
{
    const auto weight = [&follower](const framework::DaemonId &daemon) {
        return std::pair(framework::stableHash(daemon.value() + '/' + follower.value()), daemon);
    };
    const auto own = weight(m_self);
    return std::all_of(leading.begin(), leading.end(),
                       [&](const framework::DaemonId &daemon) { return weight(daemon) <= own; });
}

framework::Milliseconds CrashExchange::timeOf(std::size_t entries) const
{
    return m_limits.entryTime * static_cast<std::int64_t>(entries);
}

void CrashExchange::onCrashFingerprint(const framework::DaemonId &peer,
                                       protocol::EvidenceFingerprint fingerprint)
{
    const framework::TimePoint now = m_clock.now();
    Comparison &comparison = m_comparisons[peer];
    if (fingerprint == this->fingerprint()) {
        comparison.differsSince.reset();
        comparison.pause = framework::Milliseconds(0);
        return;
    }
    if (!comparison.differsSince) {
        comparison.differsSince = now;
    }
    if (now - *comparison.differsSince >= m_differenceTime && now >= comparison.nextComplete) {
        sendComplete(peer, comparison);
    }
}

void CrashExchange::sendComplete(const framework::DaemonId &peer, Comparison &comparison)
{
    protocol::CrashReport report;
    report.evidence = knownEvidence();
    if (report.evidence.size() > protocol::MaxReportedEvidence) {
        report.evidence.resize(protocol::MaxReportedEvidence);
    }
    report.isComplete = true;
    const framework::Milliseconds least =
        std::max(m_limits.completePause, timeOf(report.evidence.size()));
    comparison.pause = std::min(std::max(comparison.pause * 2, least), m_limits.maxCompletePause);
    comparison.nextComplete = m_clock.now() + comparison.pause;
    m_logger.info("evidence of crashes differs from that of a peer; sending all of it",
                  {{"peer", peer.value()},
                   {"entries", std::to_string(report.evidence.size())},
                   {"pause_ms", std::to_string(comparison.pause.value())}});
    send(peer, report);
}

void CrashExchange::onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message)
{
    const auto *report = std::get_if<protocol::CrashReport>(&message);
    if (report == nullptr) {
        return;
    }
    m_metrics.increment(ReportsMetric, {{"direction", "received"}});
    m_teller = peer;
    m_isCatchingUp = isCatchingUp(peer, *report);
    m_store.merge(report->evidence, m_clock.now());
    m_teller.reset();
    m_isCatchingUp = false;
    if (report->isComplete) {
        answer(peer, *report);
    }
}

bool CrashExchange::isCatchingUp(const framework::DaemonId &peer,
                                 const protocol::CrashReport &report) const
{
    const auto found = m_comparisons.find(peer);
    const bool differs = found != m_comparisons.end() && found->second.differsSince;
    return (report.isComplete || differs) && m_clock.now() - m_started < m_limits.startTime;
}

void CrashExchange::answer(const framework::DaemonId &peer, const protocol::CrashReport &complete)
{
    std::map<Key, const protocol::CrashEvidence *> known;
    for (const protocol::CrashEvidence &evidence : complete.evidence) {
        known.emplace(keyOf(evidence), &evidence);
    }
    protocol::CrashReport lacking;
    for (const protocol::CrashEvidence &evidence : knownEvidence()) {
        const auto found = known.find(keyOf(evidence));
        const bool isLacking = found == known.end()
            || (evidence.isKnownGood && !found->second->isKnownGood)
            || (evidence.isRefuted && !found->second->isRefuted);
        if (isLacking && lacking.evidence.size() < protocol::MaxReportedEvidence) {
            lacking.evidence.push_back(evidence);
        }
    }
    if (!lacking.evidence.empty()) {
        send(peer, lacking);
    }
}

void CrashExchange::send(const framework::DaemonId &peer, const protocol::CrashReport &report)
{
    if (m_network.send(peer, report)) {
        m_metrics.increment(ReportsMetric, {{"direction", "sent"}});
    }
}

/// Forgets peers that need no pause any more.
void CrashExchange::onOutboundLinkLost(const framework::DaemonId &peer)
{
    const auto lost = m_comparisons.find(peer);
    if (lost != m_comparisons.end()) {
        const framework::TimePoint soonest = m_clock.now() + m_limits.completePause;
        lost->second.differsSince.reset();
        lost->second.pause = framework::Milliseconds(0);
        lost->second.nextComplete = std::min(lost->second.nextComplete, soonest);
    }
    std::erase_if(m_comparisons, [this](const auto &entry) {
        return !entry.second.differsSince && entry.second.nextComplete <= m_clock.now();
    });
}

void CrashExchange::onDigests(const framework::DaemonId & /*peer*/,
                              const std::vector<protocol::TopicDigest> & /*digests*/,
                              std::optional<framework::TimePoint> /*pingSent*/)
{
    // Evidence of crashes is no topic of the store.
}

void CrashExchange::onInboundLinkClosed(const framework::DaemonId & /*peer*/)
{
    // Fingerprints are compared on outbound links, whose loss onOutboundLinkLost() handles.
}

} // namespace lavendertally::quarantine
