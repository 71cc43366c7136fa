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

/// Appends records of one stream at least once, many with one append, one append at a time. A
/// record that is appended twice means the same as once. A claim that the log service refuses is
/// given up if no append of it may have taken effect; everything else is tried again.
class ClaimOutbox
{
public:
    ClaimOutbox(infrastructure::StreamName stream, const ClaimContext &context,
                IOutboxObserver &observer);
    ~ClaimOutbox();

    void add(OutboxRecord record);

    /// Gives a claim up.
    /// \return whether its record is, or may yet get, on the log
    bool abandon(const ClaimId &claim);

    /// \return records other than claims that are not known to be on the log
    std::size_t unsentOutcomes() const;

private:
    using AppendResult = framework::Result<framework::LogOffset>;

    void schedule(framework::Milliseconds delay);
    void appendWaiting();
    void takeBatch();
    void finish(AppendResult result);
    void retry(bool maybeSent);
    void refuseClaims();

    infrastructure::StreamName m_stream;
    const ClaimContext &m_context;
    IOutboxObserver &m_observer;
    Backoff m_backoff;
    std::vector<OutboxRecord> m_waiting;
    std::vector<OutboxRecord> m_batch;
    bool m_appending = false;
    std::unique_ptr<framework::ITimer> m_timer;
    /// Expires with this object, so that later answers are ignored.
    std::shared_ptr<ClaimOutbox *> m_self;
};

} // namespace lavendertally::claims
