#pragma once

#include "framework/asyncerror.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/testing/fakelog.h"
#include "infrastructure/testing/fakelogfault.h"
#include "infrastructure/types/firstkept.h"
#include "infrastructure/types/infrastructureerror.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::infrastructure {

/// One process's connection to a log service in memory. Callbacks run from the scheduler, never
/// from within append() or read(); none runs after this object is gone.
///
/// \code
/// FakeLog log;                                   // shared by the processes of a test
/// FakeLogService service(scheduler, log);        // one for each process
/// service.setDown(true);                         // Unavailable, no effect
/// service.failAppends(FakeLogFault::AnswerLost); // next append: effect, then AnswerLost
/// service.setDelays(a, b);                       // effect after a, answer after b more
/// service.freeze(); service.thaw();              // calls wait; appends take effect on thaw()
/// service.setLagging(true);                      // reads see the log as it is now
/// service.failReads(InfrastructureError::MalformedAnswer); // next read, for instance cut or
/// doubled service.shortenPages(3);                       // pages of three records at most
/// log.expireUpTo(stream, offset);                // reads before it end as Expired
/// \endcode
///
/// A call that lasts longer than its timeout ends as AnswerLost (append) or TimedOut (read), and
/// an append still takes effect when its time comes.
class FakeLogService final : public ILogService
{
public:
    FakeLogService(framework::IScheduler &scheduler, FakeLog &log)
        : m_scheduler(scheduler), m_log(log), m_listener(log.addListener([this] { wakeReaders(); }))
    { }
    ~FakeLogService() override { m_log.removeListener(m_listener); }
    FakeLogService(const FakeLogService &) = delete;
    FakeLogService &operator=(const FakeLogService &) = delete;

    void append(const StreamName &stream, std::vector<std::string> records,
                framework::Milliseconds timeout,
                std::function<void(framework::Result<framework::LogOffset>)> callback) override
    {
        ++m_appends;
        const std::uint64_t id = begin(m_pendingAppends, std::move(callback));
        const FakeLogFault fault = takeFault();
        later(timeout,
              [this, id] { finish(m_pendingAppends, id, InfrastructureError::AnswerLost); });
        arrive([this, id, fault, stream, records = std::move(records)] {
            runAppend(id, fault, stream, records);
        });
    }

    void read(const StreamName &stream, framework::LogOffset from, std::uint32_t limit,
              framework::Milliseconds wait, framework::Milliseconds timeout,
              std::function<void(framework::Result<LogPage>)> callback) override
    {
        ++m_reads;
        const std::uint64_t id = begin(m_pendingReads, std::move(callback));
        later(timeout, [this, id] { finish(m_pendingReads, id, InfrastructureError::TimedOut); });
        arrive(
            [this, id, wait, reader = Reader{stream, from, limit}] { runRead(id, reader, wait); });
    }

    /// Refuses all calls without effect.
    void setDown(bool down) { m_down = down; }
    /// Makes the next \p count appends fail.
    void failAppends(FakeLogFault fault, std::uint32_t count = 1)
    {
        m_fault = fault;
        m_faultCount = count;
    }
    /// \param effect time from call to effect
    /// \param answer time from effect to answer
    void setDelays(framework::Milliseconds effect, framework::Milliseconds answer)
    {
        m_effectDelay = effect;
        m_answerDelay = answer;
    }
    /// Holds calls that arrive until thaw().
    void freeze() { m_frozen = true; }
    void thaw()
    {
        m_frozen = false;
        for (const auto &call : std::exchange(m_held, {})) {
            call();
        }
    }
    /// Answers reads from the state of this moment, until switched off.
    void setLagging(bool lagging)
    {
        m_lagging = lagging;
        m_laggingEnds = m_log.ends();
        wakeReaders();
    }
    /// Makes the next \p count reads fail.
    void failReads(InfrastructureError error, std::uint32_t count = 1)
    {
        m_readError = error;
        m_readErrorCount = count;
    }
    void shortenPages(std::uint32_t limit) { m_pageLimit = limit; }

    std::uint32_t appendCalls() const { return m_appends; }
    std::uint32_t readCalls() const { return m_reads; }

private:
    template <typename T>
    using Pending = std::map<std::uint64_t, std::function<void(framework::Result<T>)>>;

    struct Reader
    {
        StreamName stream;
        framework::LogOffset from;
        std::uint32_t limit = 0;
    };

    template <typename T>
    std::uint64_t begin(Pending<T> &pending, std::function<void(framework::Result<T>)> callback)
    {
        pending[++m_lastId] = std::move(callback);
        return m_lastId;
    }

    template <typename T>
    void finish(Pending<T> &pending, std::uint64_t id, InfrastructureError error)
    {
        if (const auto node = pending.extract(id)) {
            node.mapped()(framework::asyncError<T>(error));
        }
    }

    template <typename T>
    void answer(Pending<T> &pending, std::uint64_t id, T value)
    {
        later(m_answerDelay, [&pending, id, value = std::move(value)] {
            if (const auto node = pending.extract(id)) {
                node.mapped()(framework::Result<T>(value));
            }
        });
    }

    template <typename T>
    void refuse(Pending<T> &pending, std::uint64_t id, InfrastructureError error)
    {
        later(m_answerDelay, [this, &pending, id, error] { finish(pending, id, error); });
    }

    void later(framework::Milliseconds delay, std::function<void()> callback)
    {
        const std::uint64_t id = ++m_lastId;
        m_timers[id] = m_scheduler.callAfter(delay, [this, id, callback = std::move(callback)] {
            const auto timer = m_timers.extract(id);
            callback();
        });
    }

    /// Runs a call when it reaches the service.
    void arrive(std::function<void()> call)
    {
        later(m_effectDelay, [this, call = std::move(call)] {
            if (m_frozen) {
                m_held.push_back(call);
                return;
            }
            call();
        });
    }

    FakeLogFault takeFault()
    {
        if (m_faultCount == 0) {
            return FakeLogFault::None;
        }
        --m_faultCount;
        return m_fault;
    }

    void runAppend(std::uint64_t id, FakeLogFault fault, const StreamName &stream,
                   const std::vector<std::string> &records)
    {
        if (m_down || fault == FakeLogFault::Unavailable) {
            refuse(m_pendingAppends, id, InfrastructureError::Unavailable);
            return;
        }
        if (fault == FakeLogFault::RateLimited) {
            refuse(m_pendingAppends, id, InfrastructureError::RateLimited);
            return;
        }
        if (fault == FakeLogFault::Reordered) {
            m_overtaken = [this, id, stream, records] {
                runAppend(id, FakeLogFault::None, stream, records);
            };
            return;
        }
        framework::LogOffset first = m_log.append(stream, records);
        if (const auto overtaken = std::exchange(m_overtaken, nullptr)) {
            overtaken();
        }
        if (fault == FakeLogFault::Doubled || fault == FakeLogFault::DoubledAnswerLost) {
            first = m_log.append(stream, records);
        }
        if (fault == FakeLogFault::AnswerLost || fault == FakeLogFault::DoubledAnswerLost) {
            refuse(m_pendingAppends, id, InfrastructureError::AnswerLost);
            return;
        }
        if (fault == FakeLogFault::MalformedAnswer) {
            refuse(m_pendingAppends, id, InfrastructureError::MalformedAnswer);
            return;
        }
        answer(m_pendingAppends, id, first);
    }

    void runRead(std::uint64_t id, const Reader &reader, framework::Milliseconds wait)
    {
        if (m_down) {
            refuse(m_pendingReads, id, InfrastructureError::Unavailable);
            return;
        }
        if (m_readErrorCount > 0) {
            --m_readErrorCount;
            refuse(m_pendingReads, id, m_readError);
            return;
        }
        const bool expired = reader.from < m_log.first(reader.stream);
        const bool hasRecord = reader.from < visibleEnd(reader.stream);
        if (expired || hasRecord || wait <= framework::Milliseconds(0)) {
            answerRead(id, reader);
            return;
        }
        m_readers[id] = reader;
        later(wait, [this, id] {
            if (const auto node = m_readers.extract(id)) {
                answerRead(id, node.mapped());
            }
        });
    }

    void expire(std::uint64_t id, framework::LogOffset first)
    {
        later(m_answerDelay, [this, id, first] {
            if (const auto node = m_pendingReads.extract(id)) {
                node.mapped()(
                    framework::asyncError<LogPage>(InfrastructureError::Expired, FirstKept{first}));
            }
        });
    }

    void wakeReaders()
    {
        for (const auto &[id, reader] : std::map(m_readers)) {
            const bool due = reader.from < visibleEnd(reader.stream);
            if (due && !m_frozen && m_readers.erase(id) != 0) {
                answerRead(id, reader);
            }
        }
    }

    void answerRead(std::uint64_t id, const Reader &reader)
    {
        if (m_down) {
            refuse(m_pendingReads, id, InfrastructureError::Unavailable);
            return;
        }
        if (reader.from < m_log.first(reader.stream)) {
            expire(id, m_log.first(reader.stream));
            return;
        }
        const std::uint32_t limit = std::min(reader.limit, m_pageLimit.value_or(reader.limit));
        answer(m_pendingReads, id,
               m_log.page(reader.stream, reader.from, limit, visibleEnd(reader.stream)));
    }

    framework::LogOffset visibleEnd(const StreamName &stream) const
    {
        if (!m_lagging) {
            return m_log.end(stream);
        }
        const auto found = m_laggingEnds.find(stream);
        const framework::LogOffset end =
            found == m_laggingEnds.end() ? framework::LogOffset() : found->second;
        return std::max(end, m_log.first(stream));
    }

    framework::IScheduler &m_scheduler;
    FakeLog &m_log;
    std::uint64_t m_listener;
    bool m_down = false;
    bool m_frozen = false;
    bool m_lagging = false;
    FakeLogFault m_fault = FakeLogFault::None;
    std::uint32_t m_faultCount = 0;
    InfrastructureError m_readError = InfrastructureError::Unavailable;
    std::uint32_t m_readErrorCount = 0;
    std::optional<std::uint32_t> m_pageLimit;
    framework::Milliseconds m_effectDelay;
    framework::Milliseconds m_answerDelay;
    std::map<StreamName, framework::LogOffset> m_laggingEnds;
    std::vector<std::function<void()>> m_held;
    std::function<void()> m_overtaken;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_appends = 0;
    std::uint32_t m_reads = 0;
    std::map<std::uint64_t, Reader> m_readers;
    Pending<framework::LogOffset> m_pendingAppends;
    Pending<LogPage> m_pendingReads;
    std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_timers;
};

} // namespace lavendertally::infrastructure
