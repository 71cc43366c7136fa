#pragma once

#include "routing/iserverfilter.h"

namespace lavendertally::connections {

class ConnectionShares;

/// Removes the servers to which this gateway has no idle connection and may open none. If that
/// leaves none, those remain at which the call may wait briefly for a connection.
class ConnectionFilter final : public routing::IServerFilter
{
public:
    explicit ConnectionFilter(ConnectionShares &shares) : m_shares(shares) { }

    void restrict(const routing::ServerQuery &query,
                  std::vector<const membership::BackendServerEntry *> &candidates,
                  framework::TimePoint now) override;
    void callStarted(const membership::BackendServerEntry &server,
                     framework::TimePoint now) override;

private:
    ConnectionShares &m_shares;
};

} // namespace lavendertally::connections
