#include "proxy/internal/completioncheck.h"

#include "framework/ilogger.h"
#include "http/types/proberesult.h"
#include "membership/types/backendserverentry.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/responsehead.h"
#include "routing/ibackendserverselector.h"

#include <utility>

namespace lavendertally::proxy {

CompletionCheck::CompletionCheck(const ProxyContext &context) : m_context(context) { }

CompletionCheck::~CompletionCheck() = default;

void CompletionCheck::attemptSent(const membership::BackendServerEntry &server)
{
    cancel();
    m_isHeldBack = false;
    m_server = std::make_unique<membership::BackendServerEntry>(server);
}

void CompletionCheck::serverClosing(const ResponseHead &head)
{
    if (head.endsWithConnection && !m_isWhole && !m_probe) {
        startProbe();
    }
}

void CompletionCheck::decide(const ResponseHead &head, std::function<void(bool)> decided)
{
    if (!head.endsWithConnection) {
        decided(true);
        return;
    }
    m_decided = std::move(decided);
    if (!m_isWhole && !m_probe) {
        startProbe();
    }
    if (m_isWhole) {
        const auto next = std::exchange(m_decided, nullptr);
        next(*m_isWhole);
    }
}

void CompletionCheck::startProbe()
{
    if (!m_context.selector.isReady(m_server->id)) {
        m_isWhole = !m_isHeldBack;
        return;
    }
    m_probe = m_context.backends.probe(*m_server, [this](http::ProbeResult result) {
        m_isWhole = isWhole(result);
        // Resetting the probe destroys this function.
        CompletionCheck &self = *this;
        self.m_probe.reset();
        if (const auto next = std::exchange(self.m_decided, nullptr)) {
            next(*self.m_isWhole);
        }
    });
}

bool CompletionCheck::isWhole(http::ProbeResult result) const
{
    const bool hasStopped = !m_isHeldBack && !m_context.selector.isReady(m_server->id);
    if (result == http::ProbeResult::Listening || hasStopped) {
        return true;
    }
    m_context.logger.info("answer ended together with its backend server",
                          {{"backend_server", m_server->id.value()}});
    return false;
}

void CompletionCheck::cancel()
{
    m_probe.reset();
    m_decided = nullptr;
    m_isWhole.reset();
}

} // namespace lavendertally::proxy
