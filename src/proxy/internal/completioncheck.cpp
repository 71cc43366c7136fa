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
    m_server = std::make_unique<membership::BackendServerEntry>(server);
}

void CompletionCheck::decide(const ResponseHead &head, std::function<void(bool)> decided)
{
    if (!head.endsWithConnection || !m_context.selector.isReady(m_server->id)) {
        decided(true);
        return;
    }
    m_probe = m_context.backends.probe(
        *m_server, [this, decided = std::move(decided)](http::ProbeResult result) {
            // Resetting the probe may destroy this function.
            const auto next = decided;
            CompletionCheck &self = *this;
            self.m_probe.reset();
            next(self.isWhole(result));
        });
}

bool CompletionCheck::isWhole(http::ProbeResult result) const
{
    if (result == http::ProbeResult::Listening || !m_context.selector.isReady(m_server->id)) {
        return true;
    }
    m_context.logger.info("answer ended together with its backend server",
                          {{"backend_server", m_server->id.value()}});
    return false;
}

void CompletionCheck::cancel()
{
    m_probe.reset();
}

} // namespace lavendertally::proxy
