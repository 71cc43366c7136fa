#include "orders/internal/leaselog.h"

#include "orders/types/leaselimits.h"
#include "orders/types/leaserecord.h"

namespace lavendertally::orders {

bool LeaseLog::apply(framework::LogOffset offset, const LeaseRecord &record)
{
    if (!standsOn(record.basis)) {
        return false;
    }
    if (record.kind == LeaseRecord::Kind::Release) {
        if (!m_lease || m_lease->holder != record.holder) {
            return false;
        }
        m_lease.reset();
    } else {
        const bool validDuration = record.duration > framework::Milliseconds(0)
            && record.duration <= LeaseLimits::MaxDuration;
        if (!validDuration) {
            return false;
        }
        m_lease = Lease{record.holder, record.attempt, framework::FencingNumber(offset.value()),
                        record.duration};
    }
    m_prefixLost = false;
    m_lastValid = offset;
    return true;
}

void LeaseLog::losePrefix()
{
    m_prefixLost = true;
    m_lastValid.reset();
    m_lease.reset();
}

LeaseBasis LeaseLog::nextBasis() const
{
    if (m_prefixLost) {
        return {LeaseBasis::Kind::Anything, {}};
    }
    if (!m_lastValid) {
        return {LeaseBasis::Kind::Nothing, {}};
    }
    return {LeaseBasis::Kind::After, *m_lastValid};
}

bool LeaseLog::standsOn(const LeaseBasis &basis) const
{
    return basis.kind == LeaseBasis::Kind::Anything || (!m_prefixLost && basis == nextBasis());
}

} // namespace lavendertally::orders
