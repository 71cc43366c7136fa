#pragma once

#include "claims/internal/backoff.h"
#include "claims/internal/outboxrecord.h"
#include "framework/result.h"
#include "framework/types/ids.h"
#include "infrastructure/types/streamname.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::claims {

class IOutboxObserver;
struct ClaimContext;

/// Appends records to one stream, at least once each, in batches with one append in flight at a
/// time. Records are idempotent, so an append whose answer was lost is retried. If the log service
/// is unavailable, claims that cannot be on the log are dropped and reported as refused; all other
/// records are retried until they expire.
class ClaimOutbox
{
public:
    ClaimOutbox(infrastructure::StreamName stream, const ClaimContext &context,
                IOutboxObserver &observer);
    ~ClaimOutbox();

    /// Queues a record; it is appended after ClaimSettings::groupDelay or with the next batch.
    void add(OutboxRecord record);

    /// Stops appending a claim.
    /// \return whether its record is on the log or may still get there, so that it must be released
    bool cancelClaim(const ClaimId &claim);

    /// \return number of results and releases that are not known to be on the log
    std::size_t unrecordedOutcomes() const;

private:
    using AppendResult = framework::Result<framework::LogOffset>;

    void schedule(framework::Milliseconds delay);
    void appendWaiting();
    /// Moves the next records that have not expired to the batch.
    void takeBatch();
    void finish(AppendResult result);
    /// Queues the batch again after a failed append.
    /// \param maybeAppended whether that append may have taken effect
    void retry(bool maybeAppended);
    /// Drops the claims of the batch that cannot be on the log and reports them as refused.
    void refuseClaims();

    infrastructure::StreamName m_stream;
    const ClaimContext &m_context;
    IOutboxObserver &m_observer;
    Backoff m_backoff;
    std::vector<OutboxRecord> m_waiting;
    std::vector<OutboxRecord> m_batch;
    bool m_appending = false;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Callbacks hold a weak reference, so that answers after destruction are ignored.
    std::shared_ptr<ClaimOutbox *> m_self;
};

} // namespace lavendertally::claims
