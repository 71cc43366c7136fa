#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"
#include "standins/deferredcalls.h"
#include "standins/faultswitch.h"

#include <memory>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpExchange;
class IHttpServer;
} // namespace lavendertally::http

namespace lavendertally::standins {

/// HTTP server of a stand-in with its fault switch, which `POST /faults` sets.
class StandInServer
{
public:
    explicit StandInServer(framework::IEventLoop &loop);
    virtual ~StandInServer();

    /// \param endpoint port zero lets the kernel choose
    /// \return the endpoint with its real port, or HttpError
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint);

    /// \return where it listens
    const framework::Endpoint &endpoint() const { return m_endpoint; }

    /// Sets the fault switch, as `POST /faults` does. Calls held by a frozen stand-in are acted on
    /// when the mode changes.
    void setFault(const Fault &fault);

    /// Ends like a process that crashes: every connection breaks and nothing listens. A server that
    /// is down does not crash again.
    /// \param downTime time until it listens at the same endpoint again
    void crash(framework::Milliseconds downTime);
    std::size_t crashes() const { return m_crashes; }

protected:
    using ExchangePtr = std::shared_ptr<http::IHttpExchange>;

    /// Acts on a call and answers it, at once or later.
    /// \param mode fault that concerns the content of the answer
    virtual void handle(const ExchangePtr &exchange, FaultMode mode) = 0;

    /// Answers a call to a path under `/admin/`, which no fault concerns.
    virtual void handleAdmin(const ExchangePtr &exchange);

    /// \return whether a doubled call is acted on twice
    virtual bool actsTwice(const http::IHttpExchange &exchange) const;

    /// Called when a fault has been set.
    virtual void onFaultSet(const Fault & /*fault*/) { }

    framework::TimePoint now() const;
    framework::IEventLoop &loop() { return m_loop; }
    const framework::IClock &clock() const { return *m_clock; }
    DeferredCalls &deferred() { return m_deferred; }
    const FaultSwitch &faults() const { return m_faults; }

private:
    void makeServer();
    void abortOpenExchanges();
    void receive(const ExchangePtr &exchange);
    void setFaultFrom(const ExchangePtr &exchange);
    void dispatch(const ExchangePtr &exchange, FaultMode mode);
    void handleWithFault(const ExchangePtr &exchange, FaultMode mode);
    void reorder(const ExchangePtr &exchange);
    void releaseReordered();
    void remember(const ExchangePtr &exchange);

    framework::IEventLoop &m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    FaultSwitch m_faults;
    framework::Endpoint m_endpoint;
    /// Exchanges that may still be open, to close with this object.
    std::vector<std::weak_ptr<http::IHttpExchange>> m_open;
    std::size_t m_pruneAt = 0;
    std::size_t m_crashes = 0;
    bool m_isDown = false;
    std::vector<ExchangePtr> m_frozen;
    ExchangePtr m_reordered;
    DeferredCalls m_deferred;
    std::unique_ptr<http::IHttpServer> m_server;
};

} // namespace lavendertally::standins
