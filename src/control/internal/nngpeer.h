#pragma once

#include "control/icontrolclient.h"
#include "control/internal/nngmessage.h"
#include "control/internal/nngsocket.h"
#include "control/types/controllimits.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

struct event_base;

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::control {

/// Connection to one peer. Queries carry an id in nng's request header, which the peer's reply
/// socket returns with the answer, so that several may be in flight.
class NngPeer
{
public:
    /// Query that has yet to be answered.
    struct Pending
    {
        IControlClient::Callback callback;
        std::unique_ptr<framework::ITimer> timer;
    };

    /// Connects in the background.
    /// \param receive called on the loop's thread when answers can be received
    NngPeer(const framework::Endpoint &endpoint, event_base *base, const ControlLimits &limits,
            std::function<void()> receive);
    ~NngPeer();
    NngPeer(const NngPeer &) = delete;
    NngPeer &operator=(const NngPeer &) = delete;

    /// Sends one query.
    /// \return whether nng accepted it
    bool send(std::uint32_t queryId, std::string_view body);

    /// \return the next received answer, or null
    NngMessage receive();

    /// Removes the id from the header of \p answer.
    /// \return the id of the query that \p answer belongs to
    static std::uint32_t extractQueryId(const NngMessage &answer);

    void add(std::uint32_t queryId, Pending pending);
    std::optional<Pending> take(std::uint32_t queryId);
    bool isIdle() const { return m_pending.empty(); }

    framework::TimePoint m_lastUsed;
    int m_timeoutsInRow = 0;

private:
    NngSocket m_socket;
    std::map<std::uint32_t, Pending> m_pending;
};

} // namespace lavendertally::control
