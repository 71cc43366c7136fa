#pragma once

#include "claims/internal/claimoutbox.h"
#include "claims/internal/claimreader.h"
#include "claims/internal/claimtable.h"
#include "claims/internal/ioutboxobserver.h"
#include "claims/internal/irecordsink.h"
#include "claims/internal/pendingclaim.h"

#include <cstddef>
#include <map>
#include <string>

namespace lavendertally::claims {

struct ClaimContext;

/// Claims of the keys of one stream: appends them, reads up to them, and asks the table.
class ClaimPartition final : private IOutboxObserver, private IRecordSink
{
public:
    ClaimPartition(const infrastructure::StreamName &stream, const ClaimContext &context);

    void claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback);
    void recordDone(const ClaimKey &key, const std::string &result);
    void recordNotRun(const ClaimKey &key);
    std::size_t unrecordedOutcomes() const { return m_outbox.unsentOutcomes(); }

private:
    struct GrantedClaim
    {
        ClaimId id;
        framework::TimePoint issuedAt;
    };
    using Pending = std::map<ClaimId, PendingClaim>;

    void claimRefused(const ClaimId &id) override;
    void recordsSent() override;
    void restart() override;
    void take(const ClaimRecord &record) override;
    bool wantsMore() override;

    void submit(const ClaimId &id, const ClaimRequest &request);
    void settleSeen();
    /// Answers a claim by what the table says of it.
    void settle(const ClaimId &id, ClaimVerdict verdict);
    /// Waits a while for the holder of the claim to say how it ended.
    void waitForHolder(PendingClaim &pending, const ClaimId &id);
    void grant(const ClaimId &id);
    void timeOut(const ClaimId &id);
    /// Makes sure that a claim of this process never holds its key.
    void release(const ClaimId &id, const ClaimKey &key, framework::TimePoint issuedAt);
    void answer(const ClaimId &id, const ClaimAnswer &answer);
    ClaimAnswer doneAnswer(const ClaimKey &key) const;
    bool isTooOld(framework::TimePoint issuedAt) const;
    void append(const ClaimRecord &record, framework::TimePoint issuedAt);
    ClaimId newId();

    const ClaimContext &m_context;
    ClaimTable m_table;
    Pending m_pending;
    std::map<ClaimKey, GrantedClaim> m_granted;
    ClaimOutbox m_outbox;
    ClaimReader m_reader;
};

} // namespace lavendertally::claims
