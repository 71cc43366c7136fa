#pragma once

#include "framework/types/ids.h"
#include "orders/types/lease.h"
#include "orders/types/leasebasis.h"

#include <optional>

namespace lavendertally::orders {

struct LeaseRecord;

/// Lease in force, as a pure function of the log's records up to an offset. A record is valid only
/// on the basis that it names, so whoever reads the same records knows the same holder.
class LeaseLog
{
public:
    /// Applies the next record.
    /// \return whether it is valid; a void one changes nothing
    bool apply(framework::LogOffset offset, const LeaseRecord &record);

    /// Forgets what it knows, as the records to read next have expired. Records on a basis that it
    /// cannot judge are void to it until one on the basis Anything follows.
    void losePrefix();

    /// \return the lease in force; nothing if there is none or it is not known
    const std::optional<Lease> &lease() const { return m_lease; }

    /// \return the basis on which a record appended now would be valid
    LeaseBasis nextBasis() const;

private:
    bool standsOn(const LeaseBasis &basis) const;

    bool m_prefixLost = false;
    std::optional<framework::LogOffset> m_lastValid;
    std::optional<Lease> m_lease;
};

} // namespace lavendertally::orders
