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

/// Claims of the keys of one stream. Appends each claim, reads the stream until the claim is found,
/// and answers by the state of the key at that point.
class ClaimPartition final : private IOutboxObserver, private IRecordSink
{
public:
    ClaimPartition(const infrastructure::StreamName &stream, const ClaimContext &context);

    void claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback);
    void recordDone(const ClaimKey &key, const std::string &result);
    void recordNotRun(const ClaimKey &key);
    std::size_t unrecordedOutcomes() const { return m_outbox.unrecordedOutcomes(); }

private:
    struct GrantedClaim
    {
        ClaimId id;
        framework::TimePoint issuedAt;
    };
    using Pending = std::map<ClaimId, PendingClaim>;

    void claimRefused(const ClaimId &id) override;
    void recordsAppended() override;
    void reset() override;
    void onRecord(const ClaimRecord &record) override;
    bool wantsMore() override;

    void submit(const ClaimId &id, const ClaimRequest &request);
    /// Answers the pending claims whose records have been read.
    void resolveReadClaims();
    /// Answers a claim by its status in the table, or waits if another claim holds the key.
    void resolve(const ClaimId &id, ClaimStatus status);
    /// Waits up to ClaimSettings::maxHolderWait for the result of the claim that holds the key.
    void waitForHolder(PendingClaim &pending, const ClaimId &id);
    /// Grants the claim if neither its deadline nor the claim window has passed.
    void grant(const ClaimId &id);
    /// Ends a claim at its deadline: with the known result, or else as unavailable and released.
    void timeOut(const ClaimId &id);
    /// Appends a release, so that the claim does not hold its key, not even if it gets on the log
    /// later.
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
