#pragma once

#include <functional>
#include <memory>
#include <optional>

namespace lavendertally::http {
enum class ProbeResult;
}

namespace lavendertally::membership {
struct BackendServerEntry;
}

namespace lavendertally::proxy {

class IBackendCall;
struct ProxyContext;
struct ResponseHead;

/// Decides whether an answer whose connection ended in order is whole. An answer with neither a
/// length nor chunks looks the same if its backend server has crashed: the system closes the
/// connections of a process that ends. Such an answer is whole if the server still listens, or if
/// it was going to end: one that is draining or no longer registered stops after its last answer.
class CompletionCheck
{
public:
    explicit CompletionCheck(const ProxyContext &context);
    ~CompletionCheck();
    CompletionCheck(const CompletionCheck &) = delete;
    CompletionCheck &operator=(const CompletionCheck &) = delete;

    /// The answer that is checked next comes from \p server.
    void attemptSent(const membership::BackendServerEntry &server);
    /// The answer is held back, so its end may be noticed late. A server that is gone by then may
    /// have crashed as well as stopped, and its answer doesn't count as whole.
    void answerHeldBack() { m_isHeldBack = true; }
    /// The backend server has closed its side while its answer still waits to be read. Whether it
    /// has crashed shows best now; it may be back when the end of the answer is read.
    void serverClosing(const ResponseHead &head);
    /// \param decided called once, now or later, with whether the answer is whole; not called after
    /// cancel()
    void decide(const ResponseHead &head, std::function<void(bool)> decided);
    void cancel();

private:
    void startProbe();
    bool isWhole(http::ProbeResult result) const;

    const ProxyContext &m_context;
    std::unique_ptr<membership::BackendServerEntry> m_server;
    std::unique_ptr<IBackendCall> m_probe;
    bool m_isHeldBack = false;
    std::optional<bool> m_isWhole;
    std::function<void(bool)> m_decided;
};

} // namespace lavendertally::proxy
