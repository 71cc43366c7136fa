#include "claims/internal/claimoutbox.h"

#include "claims/internal/claimcontext.h"
#include "claims/internal/ioutboxobserver.h"
#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/types/infrastructureerror.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lavendertally::claims {

using framework::Milliseconds;
using infrastructure::InfrastructureError;

ClaimOutbox::ClaimOutbox(infrastructure::StreamName stream, const ClaimContext &context,
                         IOutboxObserver &observer)
    : m_stream(std::move(stream)), m_context(context), m_observer(observer),
      m_backoff(context.settings.minBackoff, context.settings.maxBackoff),
      m_self(std::make_shared<ClaimOutbox *>(this))
{ }

ClaimOutbox::~ClaimOutbox() = default;

void ClaimOutbox::add(OutboxRecord record)
{
    m_waiting.push_back(std::move(record));
    if (!m_appending && !m_timer) {
        schedule(m_context.settings.groupDelay);
    }
}

bool ClaimOutbox::cancelClaim(const ClaimId &claim)
{
    const auto isClaim = [&claim](const OutboxRecord &record) {
        return record.isClaim && record.id == claim;
    };
    const auto waiting = std::ranges::find_if(m_waiting, isClaim);
    if (waiting != m_waiting.end()) {
        const bool maybeAppended = waiting->maybeAppended;
        m_waiting.erase(waiting);
        return maybeAppended;
    }
    const auto inFlight = std::ranges::find_if(m_batch, isClaim);
    if (inFlight != m_batch.end()) {
        inFlight->expiresAt = m_context.clock.now();
    }
    return true;
}

std::size_t ClaimOutbox::unrecordedOutcomes() const
{
    const auto isOutcome = [](const OutboxRecord &record) { return !record.isClaim; };
    return static_cast<std::size_t>(std::ranges::count_if(m_waiting, isOutcome)
                                    + std::ranges::count_if(m_batch, isOutcome));
}

void ClaimOutbox::schedule(Milliseconds delay)
{
    m_timer = m_context.scheduler.callAfter(delay, [this] {
        m_timer.reset();
        appendWaiting();
    });
}

void ClaimOutbox::appendWaiting()
{
    takeBatch();
    if (m_batch.empty()) {
        return;
    }
    std::vector<std::string> texts;
    for (const OutboxRecord &record : m_batch) {
        texts.push_back(record.text);
    }
    m_appending = true;
    m_context.metrics.increment("claim_appends_total", {});
    m_context.log.append(m_stream, std::move(texts), m_context.settings.callTimeout,
                         [self = std::weak_ptr(m_self)](AppendResult result) {
                             if (const auto outbox = self.lock()) {
                                 (*outbox)->finish(std::move(result));
                             }
                         });
}

void ClaimOutbox::takeBatch()
{
    const auto now = m_context.clock.now();
    std::erase_if(m_waiting, [now](const OutboxRecord &record) { return record.expiresAt <= now; });
    const auto count = static_cast<std::ptrdiff_t>(
        std::min<std::size_t>(m_waiting.size(), m_context.settings.maxRecordsPerAppend));
    m_batch.assign(std::make_move_iterator(m_waiting.begin()),
                   std::make_move_iterator(m_waiting.begin() + count));
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + count);
}

void ClaimOutbox::finish(AppendResult result)
{
    m_appending = false;
    if (result) {
        m_batch.clear();
        m_backoff.reset();
        m_observer.recordsAppended();
        if (!m_waiting.empty() && !m_timer) {
            schedule(Milliseconds(0));
        }
        return;
    }
    const InfrastructureError error =
        framework::errorOf<InfrastructureError>(std::move(result), InfrastructureError::AnswerLost);
    if (error == InfrastructureError::Unavailable) {
        refuseClaims();
    }
    retry(infrastructure::mayHaveTakenEffect(error));
}

void ClaimOutbox::retry(bool maybeAppended)
{
    for (OutboxRecord &record : m_batch) {
        record.maybeAppended = record.maybeAppended || maybeAppended;
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(m_batch.begin()),
                     std::make_move_iterator(m_batch.end()));
    m_batch.clear();
    if (!m_waiting.empty()) {
        schedule(m_backoff.next(m_context.random));
    }
    if (maybeAppended) {
        m_observer.recordsAppended();
    }
}

void ClaimOutbox::refuseClaims()
{
    std::vector<ClaimId> refused;
    std::erase_if(m_batch, [&refused](const OutboxRecord &record) {
        const bool isRefused = record.isClaim && !record.maybeAppended;
        if (isRefused) {
            refused.push_back(record.id);
        }
        return isRefused;
    });
    for (const ClaimId &id : refused) {
        m_observer.claimRefused(id);
    }
}

} // namespace lavendertally::claims
