#include "connections/internal/leaselender.h"

#include <algorithm>

namespace lavendertally::connections {

bool LeaseLender::accepts(const framework::DaemonId &borrower, std::uint64_t sequence)
{
    std::uint64_t &last = m_sequences[borrower];
    if (sequence <= last) {
        return false;
    }
    last = sequence;
    return true;
}

std::uint32_t LeaseLender::lend(const framework::DaemonId &borrower,
                                const protocol::ConnectionLease &wish, std::uint32_t lendable,
                                framework::TimePoint now)
{
    std::map<framework::DaemonId, Lent> &borrowers = m_lent[wish.server];
    std::erase_if(borrowers, [now](const auto &each) { return each.second.until <= now; });
    std::uint32_t before = 0;
    std::uint32_t others = 0;
    for (const auto &[gateway, lent] : borrowers) {
        (gateway == borrower ? before : others) += lent.count;
    }
    const std::uint32_t available = lendable - std::min(lendable, others);
    const std::uint32_t granted = std::min(wish.count, available);
    // Until it has the answer, the borrower uses as much of its last lease as it still wants.
    const std::uint32_t counted = std::max({granted, wish.held, std::min(wish.count, before)});
    if (counted == 0) {
        borrowers.erase(borrower);
    } else {
        borrowers[borrower] = {counted, now + m_limits.leaseTime + m_limits.maxCallTime};
    }
    if (borrowers.empty()) {
        m_lent.erase(wish.server);
    }
    return granted;
}

void LeaseLender::expire(framework::TimePoint now)
{
    for (auto &[server, borrowers] : m_lent) {
        std::erase_if(borrowers, [now](const auto &each) { return each.second.until <= now; });
    }
    std::erase_if(m_lent, [](const auto &each) { return each.second.empty(); });
}

} // namespace lavendertally::connections
