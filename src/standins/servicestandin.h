#pragma once

#include "standins/coldstartmodel.h"
#include "standins/loadreporter.h"
#include "standins/standinserver.h"
#include "standins/types/serviceoptions.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace lavendertally::standins {

/// Plain service with a bounded number of calls at once and a cold start.
class ServiceStandIn : public StandInServer
{
public:
    ServiceStandIn(framework::IEventLoop &loop, const ServiceOptions &options);
    ~ServiceStandIn() override;

    const ColdStartModel &coldStart() const { return m_coldStart; }

    /// Restarts the service: next incarnation, cold, calls under way lost.
    void restart();

protected:
    /// Runs a call to its answer.
    virtual void serve(const ExchangePtr &exchange, FaultMode mode) = 0;

    /// \return whether \p path is one of this service
    virtual bool knows(const std::string &path) const = 0;

    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void handleAdmin(const ExchangePtr &exchange) override;
    void onFaultSet(const Fault &fault) override;

private:
    struct Call
    {
        ExchangePtr exchange;
        FaultMode mode = FaultMode::None;
    };

    void replyState(const ExchangePtr &exchange, FaultMode mode);
    void admit(const ExchangePtr &exchange, FaultMode mode);
    void startWaiting();
    void finish(std::uint64_t id);
    void loseCalls();

    ServiceOptions m_options;
    ColdStartModel m_coldStart;
    LoadReporter m_load;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, Call> m_running;
    std::deque<Call> m_waiting;
};

} // namespace lavendertally::standins
