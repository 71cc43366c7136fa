#include "configuration/internal/replicastate.h"

#include "configuration/internal/configurationfragment.h"
#include "configuration/internal/fragmentparser.h"
#include "configuration/types/configurationerror.h"
#include "configuration/types/filediagnostics.h"
#include "configuration/valueparsing.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

namespace lavendertally::configuration {

namespace {

/// Outcomes kept for repeated requests; the operator's tool retries within seconds.
constexpr std::size_t MaxOutcomes = 512;
/// Removed files kept to detect conflicts with changes based on older revisions.
constexpr std::size_t MaxRemovedFiles = 256;
constexpr std::size_t MaxHostsOut = 10000;
constexpr std::size_t MaxExplanationBytes = 1000;
constexpr std::size_t MaxExplainedDiagnostics = 3;
/// Limit on all files together, low enough for a snapshot to fit into one record.
constexpr std::size_t MaxTotalBytes = 4 * 1024 * 1024;

/// Truncates the text and replaces characters that are not printable ASCII, so that it is the same
/// after any encoding.
std::string sanitizeExplanation(std::string text)
{
    text.resize(std::min(text.size(), MaxExplanationBytes));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

std::string explain(const FileDiagnostics &diagnostics)
{
    std::string text;
    const std::size_t count = std::min(diagnostics.entries.size(), MaxExplainedDiagnostics);
    for (std::size_t i = 0; i < count; ++i) {
        text += (i == 0 ? "" : "; ") + diagnostics.entries[i].toString();
    }
    if (count < diagnostics.entries.size()) {
        text += "; and " + std::to_string(diagnostics.entries.size() - count) + " more";
    }
    return text;
}

} // namespace

void ReplicaState::applyChange(const OperatorChange &change)
{
    // Operations are idempotent: the first record determines the outcome, even if it was rejected.
    if (!outcome(change.operation)) {
        const RejectionReason reason =
            std::visit([this](const auto &detail) { return apply(detail); }, change.change);
        recordOutcome(change.operation, reason);
    }
    advanceRevision();
}

void ReplicaState::advanceRevision()
{
    m_data.revision = m_data.revision.next();
}

ReplicaState::RejectionReason ReplicaState::apply(const ApplyFiles &change)
{
    for (const auto &check : {&ReplicaState::checkFiles, &ReplicaState::checkSize}) {
        if (RejectionReason reason = (this->*check)(change)) {
            return reason;
        }
    }
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<RejectionReason> {
            BOOST_LEAF_AUTO(fragments, fragmentsWith(change));
            BOOST_LEAF_ASSIGN(m_configuration, mergeFragments(fragments));
            m_fragments = std::move(fragments);
            storeFiles(change);
            return RejectionReason();
        },
        [](const FileDiagnostics &diagnostics) { return RejectionReason(explain(diagnostics)); },
        [] { return RejectionReason("the files do not validate"); });
}

ReplicaState::RejectionReason ReplicaState::apply(const SetZoneOutOfService &change)
{
    if (!change.isOutOfService) {
        const bool wasOut = m_data.zonesOutOfService.erase(change.zone) > 0;
        const bool isKnown = wasOut || m_configuration.zones.contains(change.zone);
        return isKnown ? RejectionReason()
                       : RejectionReason("unknown availability zone " + change.zone.value());
    }
    if (!m_configuration.zones.contains(change.zone)) {
        return "unknown availability zone " + change.zone.value();
    }
    m_data.zonesOutOfService.insert(change.zone);
    return std::nullopt;
}

ReplicaState::RejectionReason ReplicaState::apply(const SetHostOutOfService &change)
{
    if (!change.isOutOfService) {
        m_data.hostsOutOfService.erase(change.host);
        return std::nullopt;
    }
    if (m_data.hostsOutOfService.size() >= MaxHostsOut
        && !m_data.hostsOutOfService.contains(change.host)) {
        return "too many hosts are out; bring back those that are gone for good";
    }
    m_data.hostsOutOfService.insert(change.host);
    return std::nullopt;
}

ReplicaState::RejectionReason ReplicaState::checkFiles(const ApplyFiles &change) const
{
    if (change.files.empty()) {
        return "no file is named";
    }
    if (change.base > m_data.revision) {
        return "the base revision lies beyond this record";
    }
    for (const auto &[name, text] : change.files) {
        if (!isValidName(name)) {
            return "'" + name + "' is not a valid file name";
        }
        if (RejectionReason reason = checkBaseRevision(change, name)) {
            return reason;
        }
        if (!text && !m_data.files.contains(name)) {
            return "file " + name + " is to be removed but does not exist";
        }
    }
    return std::nullopt;
}

ReplicaState::RejectionReason ReplicaState::checkBaseRevision(const ApplyFiles &change,
                                                              const std::string &name) const
{
    const auto conflict = [&](framework::LogOffset offset) -> RejectionReason {
        if (offset < change.base) {
            return std::nullopt;
        }
        return "conflict: file " + name + " was changed at offset " + std::to_string(offset.value())
            + ", after revision " + std::to_string(change.base.value())
            + " on which this change is based";
    };
    const auto file = m_data.files.find(name);
    if (file != m_data.files.end()) {
        return conflict(file->second.changedAt);
    }
    const auto removed = m_data.removedFiles.find(name);
    if (removed != m_data.removedFiles.end()) {
        return conflict(removed->second);
    }
    if (change.base < m_data.removalHistoryStart) {
        return "the base revision is too old to tell whether file " + name + " was removed since";
    }
    return std::nullopt;
}

ReplicaState::RejectionReason ReplicaState::checkSize(const ApplyFiles &change) const
{
    std::size_t total = 0;
    for (const auto &[name, file] : m_data.files) {
        total += change.files.contains(name) ? 0 : name.size() + file.text.size();
    }
    for (const auto &[name, text] : change.files) {
        total += text ? name.size() + text->size() : 0;
    }
    return total > MaxTotalBytes ? RejectionReason("all files together are larger than 4MB")
                                 : RejectionReason();
}

framework::Result<FragmentMap> ReplicaState::fragmentsWith(const ApplyFiles &change) const
{
    FragmentMap fragments = m_fragments;
    for (const auto &[name, text] : change.files) {
        if (!text) {
            fragments.erase(name);
            continue;
        }
        BOOST_LEAF_ASSIGN(fragments[name], parseFragment(name, *text));
    }
    return fragments;
}

void ReplicaState::storeFiles(const ApplyFiles &change)
{
    for (const auto &[name, text] : change.files) {
        if (text) {
            m_data.files[name] = {*text, m_data.revision};
            m_data.removedFiles.erase(name);
        } else {
            m_data.files.erase(name);
            m_data.removedFiles[name] = m_data.revision;
        }
    }
    pruneRemovals();
}

void ReplicaState::pruneRemovals()
{
    while (m_data.removedFiles.size() > MaxRemovedFiles) {
        const auto oldest =
            std::min_element(m_data.removedFiles.begin(), m_data.removedFiles.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        m_data.removalHistoryStart = std::max(m_data.removalHistoryStart, oldest->second.next());
        m_data.removedFiles.erase(oldest);
    }
}

void ReplicaState::recordOutcome(const framework::OperationId &operation,
                                 const RejectionReason &reason)
{
    OperationOutcome outcome;
    outcome.operation = operation;
    outcome.accepted = !reason;
    outcome.offset = m_data.revision;
    outcome.explanation = sanitizeExplanation(reason.value_or(""));
    m_data.outcomes.push_back(std::move(outcome));
    if (m_data.outcomes.size() > MaxOutcomes) {
        m_data.outcomes.pop_front();
    }
}

framework::Result<void> ReplicaState::replace(ReplicaData data)
{
    FragmentMap fragments;
    for (const auto &[name, file] : data.files) {
        const auto known = m_data.files.find(name);
        if (known != m_data.files.end() && known->second.text == file.text) {
            fragments[name] = m_fragments.at(name);
            continue;
        }
        auto parsed = parseFragment(name, file.text);
        if (!parsed) {
            return framework::leaf::new_error(ConfigurationError::InvalidRecord);
        }
        fragments[name] = parsed.value();
    }
    auto merged = mergeFragments(fragments);
    if (!merged) {
        return framework::leaf::new_error(ConfigurationError::InvalidRecord);
    }
    m_configuration = std::move(merged.value());
    m_fragments = std::move(fragments);
    m_data = std::move(data);
    return {};
}

std::optional<OperationOutcome> ReplicaState::outcome(const framework::OperationId &operation) const
{
    const auto found = std::find_if(
        m_data.outcomes.begin(), m_data.outcomes.end(),
        [&](const OperationOutcome &outcome) { return outcome.operation == operation; });
    return found == m_data.outcomes.end() ? std::nullopt : std::optional(*found);
}

} // namespace lavendertally::configuration
