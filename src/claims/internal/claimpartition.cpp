#include "claims/internal/claimpartition.h"

#include "claims/iclaimrecordcodec.h"
#include "claims/internal/claimcontext.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/ischeduler.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace lavendertally::claims {

using framework::Milliseconds;
using framework::TimePoint;

ClaimPartition::ClaimPartition(const infrastructure::StreamName &stream,
                               const ClaimContext &context)
    : m_context(context), m_table(context.settings), m_outbox(stream, context, *this),
      m_reader(stream, context, *this)
{ }

void ClaimPartition::claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback)
{
    const ClaimId id = newId();
    const bool isKnownDone = m_table.done(request.key) != nullptr;
    const Milliseconds untilDeadline = request.deadline - m_context.clock.now();
    const Milliseconds delay = isKnownDone ? Milliseconds(0) : untilDeadline;
    PendingClaim &pending = m_pending[id];
    pending.request = request;
    pending.callback = std::move(callback);
    pending.timer = m_context.scheduler.callAfter(std::max(delay, Milliseconds(0)),
                                                  [this, id] { timeOut(id); });
    if (!isKnownDone) {
        submit(id, request);
    }
}

void ClaimPartition::recordDone(const ClaimKey &key, const std::string &result)
{
    const auto node = m_granted.extract(key);
    if (node.empty()) {
        return;
    }
    StageDone done{key, node.mapped().id, std::nullopt};
    const bool fitsLimit =
        static_cast<std::int64_t>(result.size()) <= m_context.settings.maxResult.value();
    if (fitsLimit) {
        done.result = result;
    }
    if (fitsLimit && !m_context.codec.encode(done)) {
        done.result.reset();
    }
    append(done, node.mapped().issuedAt);
}

void ClaimPartition::recordNotRun(const ClaimKey &key)
{
    const auto node = m_granted.extract(key);
    if (!node.empty()) {
        release(node.mapped().id, key, node.mapped().issuedAt);
    }
}

void ClaimPartition::claimRefused(const ClaimId &id)
{
    answer(id, {ClaimOutcome::Unavailable, {}});
}

void ClaimPartition::recordsAppended()
{
    if (!m_pending.empty()) {
        m_reader.start();
    }
}

void ClaimPartition::reset()
{
    // Records that the log no longer retains belong to requests that are too old to be claimed.
    m_table = ClaimTable(m_context.settings);
}

void ClaimPartition::onRecord(const ClaimRecord &record)
{
    m_table.apply(record);
}

bool ClaimPartition::wantsMore()
{
    resolveReadClaims();
    return !m_pending.empty();
}

void ClaimPartition::submit(const ClaimId &id, const ClaimRequest &request)
{
    const ClaimMade made{request.key, id, m_context.claimant, request.issuedAt,
                         m_context.clock.wallNow()};
    const auto text = m_context.codec.encode(made);
    if (!text) {
        claimRefused(id);
        return;
    }
    m_context.metrics.increment("claims_total", {});
    m_outbox.add({id, true, *text, request.deadline});
}

void ClaimPartition::resolveReadClaims()
{
    std::vector<std::pair<ClaimId, ClaimStatus>> seen;
    for (const auto &[id, pending] : m_pending) {
        const ClaimStatus status = m_table.status(pending.request.key, id);
        if (status != ClaimStatus::NotRead) {
            seen.emplace_back(id, status);
        }
    }
    for (const auto &[id, status] : seen) {
        resolve(id, status);
    }
}

void ClaimPartition::resolve(const ClaimId &id, ClaimStatus status)
{
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end()) {
        return;
    }
    const ClaimRequest request = pending->second.request;
    switch (status) {
    case ClaimStatus::Holds:
        grant(id);
        return;
    case ClaimStatus::Done:
        answer(id, doneAnswer(request.key));
        return;
    case ClaimStatus::Free:
        claim(request, std::move(m_pending.extract(pending).mapped().callback));
        return;
    case ClaimStatus::HeldElsewhere:
        waitForHolder(pending->second, id);
        return;
    case ClaimStatus::NotRead:
        answer(id, {ClaimOutcome::HeldElsewhere, {}});
    }
}

void ClaimPartition::waitForHolder(PendingClaim &pending, const ClaimId &id)
{
    if (pending.waitsForHolder) {
        return;
    }
    pending.waitsForHolder = true;
    // The answer has to reach the caller before its deadline.
    const Milliseconds untilDeadline =
        pending.request.deadline - m_context.clock.now() - m_context.settings.answerMargin;
    const Milliseconds delay = std::min(m_context.settings.maxHolderWait, untilDeadline);
    pending.timer = m_context.scheduler.callAfter(std::max(delay, Milliseconds(0)), [this, id] {
        answer(id, {ClaimOutcome::HeldElsewhere, {}});
    });
}

void ClaimPartition::grant(const ClaimId &id)
{
    const ClaimRequest request = m_pending.at(id).request;
    // If this process was paused, the deadline may have passed before the timer could fire.
    if (m_context.clock.now() >= request.deadline) {
        timeOut(id);
        return;
    }
    if (isTooOld(request.issuedAt)) {
        // The claim window has passed, so up to clock skew no other claim of this key can be
        // granted and a release would free nothing.
        answer(id, {ClaimOutcome::TooOld, {}});
        return;
    }
    m_granted[request.key] = {id, request.issuedAt};
    answer(id, {ClaimOutcome::Granted, {}});
}

void ClaimPartition::timeOut(const ClaimId &id)
{
    const ClaimRequest request = m_pending.at(id).request;
    if (m_table.done(request.key)) {
        answer(id, doneAnswer(request.key));
        return;
    }
    if (m_outbox.cancelClaim(id)) {
        release(id, request.key, request.issuedAt);
    }
    answer(id, {ClaimOutcome::Unavailable, {}});
}

void ClaimPartition::release(const ClaimId &id, const ClaimKey &key, TimePoint issuedAt)
{
    append(ClaimReleased{key, id, issuedAt}, issuedAt);
}

void ClaimPartition::answer(const ClaimId &id, const ClaimAnswer &answer)
{
    const auto node = m_pending.extract(id);
    if (!node.empty()) {
        node.mapped().callback(answer);
    }
}

ClaimAnswer ClaimPartition::doneAnswer(const ClaimKey &key) const
{
    const StageDone *done = m_table.done(key);
    return {ClaimOutcome::AlreadyDone, done->result.value_or(std::string()),
            done->result.has_value()};
}

bool ClaimPartition::isTooOld(TimePoint issuedAt) const
{
    return m_context.clock.wallNow() - issuedAt > m_context.settings.claimWindow;
}

void ClaimPartition::append(const ClaimRecord &record, TimePoint issuedAt)
{
    const auto text = m_context.codec.encode(record);
    if (!text) {
        return;
    }
    const ClaimId id = std::visit([](const auto &typed) { return typed.id; }, record);
    const Milliseconds left = issuedAt + m_context.settings.claimWindow - m_context.clock.wallNow();
    m_outbox.add({id, false, *text, m_context.clock.now() + left});
}

ClaimId ClaimPartition::newId()
{
    const auto random = m_context.random.below(std::numeric_limits<std::uint64_t>::max());
    return ClaimId(m_context.claimant.value() + "/" + std::to_string(random));
}

} // namespace lavendertally::claims
