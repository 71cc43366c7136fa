#pragma once

#include "backends/ibackendcallhandle.h"
#include "backends/ibackendobserver.h"
#include "backends/ibackendserver.h"
#include "backends/ibackendserverfactory.h"
#include "backends/types/backendcall.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lavendertally::host {

/// Backend server whose calls, health and probes are answered by the test.
class FakeBackend final : public backends::IBackendServerFactory
{
public:
    std::unique_ptr<backends::IBackendServer>
    makeBackendServer(configuration::ServiceKind /*kind*/,
                      const framework::ModelId & /*model*/) override
    {
        return std::make_unique<Server>(*this);
    }

    void reportHealth(std::uint64_t incarnation)
    {
        m_health(admission::BackendHealth{framework::Incarnation(incarnation), true, false});
    }

    /// Answers all probes in flight.
    void answerProbes(http::ProbeResult result)
    {
        for (const auto &probe : m_probes) {
            if (*probe) {
                const auto callback = *probe;
                *probe = nullptr;
                callback(result);
            }
        }
    }

    std::vector<backends::IBackendObserver *> m_calls;
    /// Calls that are held back.
    int m_paused = 0;
    /// A probe that has ended or was given up is empty.
    std::vector<std::shared_ptr<std::function<void(http::ProbeResult)>>> m_probes;
    std::function<void(std::optional<admission::BackendHealth>)> m_health;

private:
    class CallHandle final : public backends::IBackendCallHandle
    {
    public:
        explicit CallHandle(FakeBackend &owner) : m_owner(owner) { }
        void pauseReading() override { ++m_owner.m_paused; }
        void resumeReading() override { --m_owner.m_paused; }

    private:
        FakeBackend &m_owner;
    };

    class ProbeHandle final : public backends::IBackendCallHandle
    {
    public:
        explicit ProbeHandle(std::shared_ptr<std::function<void(http::ProbeResult)>> callback)
            : m_callback(std::move(callback))
        { }
        ~ProbeHandle() override { *m_callback = nullptr; }

    private:
        std::shared_ptr<std::function<void(http::ProbeResult)>> m_callback;
    };

    class Server final : public backends::IBackendServer
    {
    public:
        explicit Server(FakeBackend &owner) : m_owner(owner) { }

        framework::Result<std::unique_ptr<backends::IBackendCallHandle>>
        call(const backends::BackendCall & /*call*/, backends::IBackendObserver &observer) override
        {
            m_owner.m_calls.push_back(&observer);
            return std::unique_ptr<backends::IBackendCallHandle>(
                std::make_unique<CallHandle>(m_owner));
        }
        void
        checkHealth(framework::Milliseconds /*timeout*/,
                    std::function<void(std::optional<admission::BackendHealth>)> callback) override
        {
            m_owner.m_health = std::move(callback);
        }
        std::unique_ptr<backends::IBackendCallHandle>
        probe(framework::Milliseconds /*timeout*/,
              std::function<void(http::ProbeResult)> callback) override
        {
            m_owner.m_probes.push_back(
                std::make_shared<std::function<void(http::ProbeResult)>>(std::move(callback)));
            return std::make_unique<ProbeHandle>(m_owner.m_probes.back());
        }

    private:
        FakeBackend &m_owner;
    };
};

} // namespace lavendertally::host
