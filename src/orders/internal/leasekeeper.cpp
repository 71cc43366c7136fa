#include "orders/internal/leasekeeper.h"

#include "framework/asyncerror.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/types/firstkept.h"
#include "infrastructure/types/infrastructureerror.h"
#include "orders/internal/leasejson.h"
#include "orders/types/leaserecord.h"

#include <utility>

namespace lavendertally::orders {

namespace {

constexpr std::uint32_t PageLimit = 100;
constexpr framework::Milliseconds NoWait{0};
/// Records appended for one acquire() before it gives up.
constexpr int MaxRounds = 3;

} // namespace

LeaseKeeper::LeaseKeeper(infrastructure::StreamName stream, HolderId holder,
                         const OrderPolicy &policy, infrastructure::ILogService &log,
                         const framework::IClock &clock, framework::ILogger &logger)
    : m_stream(std::move(stream)), m_holder(std::move(holder)), m_policy(policy), m_logService(log),
      m_clock(clock), m_logger(logger), m_others(policy.clockDriftPercent)
{ }

void LeaseKeeper::acquire(framework::Milliseconds needed, Callback callback)
{
    m_needed = needed;
    m_callback = std::move(callback);
    m_roundsLeft = MaxRounds;
    if (m_superseded) {
        fail(OrderError::LeaseLost);
        return;
    }
    if (isHolder() && hasTimeLeft() && !m_renewNext) {
        succeed();
        return;
    }
    beginRound();
}

void LeaseKeeper::release()
{
    if (!isHolder() || m_renewNext) {
        return;
    }
    const LeaseRecord record{LeaseRecord::Kind::Release, m_holder, 0, m_leaseLog.nextBasis(), {}};
    m_held.reset();
    m_logService.append(m_stream, {encodeLeaseRecord(record)}, m_policy.logTimeout,
                        [](const auto & /*result*/) {});
}

void LeaseKeeper::beginRound()
{
    if (m_roundsLeft-- == 0) {
        fail(OrderError::LeaseLost);
        return;
    }
    catchUp();
}

void LeaseKeeper::catchUp()
{
    read(NoWait, [this](const infrastructure::LogPage &page) {
        if (m_next < page.end) {
            catchUp();
            return;
        }
        if (m_superseded) {
            fail(OrderError::LeaseLost);
            return;
        }
        // A record of an earlier call may have taken effect meanwhile.
        if (isHolder() && hasTimeLeft() && !m_renewNext) {
            succeed();
            return;
        }
        appendLease();
    });
}

void LeaseKeeper::appendLease()
{
    const std::uint64_t attempt = ++m_attempt;
    const framework::TimePoint sentAt = m_clock.now();
    m_sentAt[attempt] = sentAt;
    const LeaseRecord record{LeaseRecord::Kind::Lease, m_holder, attempt, m_leaseLog.nextBasis(),
                             m_policy.leaseDuration};
    const framework::TimePoint deadline = sentAt + m_policy.logTimeout * 2;
    m_logService.append(
        m_stream, {encodeLeaseRecord(record)}, m_policy.logTimeout,
        guarded<framework::LogOffset>(
            [this, attempt, deadline](framework::Result<framework::LogOffset> result) {
                if (!result) {
                    const auto error = framework::errorOf(
                        std::move(result), infrastructure::InfrastructureError::AnswerLost);
                    if (!infrastructure::mayHaveTakenEffect(error)) {
                        fail(OrderError::LogUnavailable);
                        return;
                    }
                }
                // The log tells whether the record stands and is valid, whatever became of the
                // answer.
                readUntilSeen(attempt, deadline);
            }));
}

void LeaseKeeper::readUntilSeen(std::uint64_t attempt, framework::TimePoint deadline)
{
    const framework::Milliseconds left = deadline - m_clock.now();
    if (left <= NoWait) {
        fail(OrderError::LogUnavailable);
        return;
    }
    read(left, [this, attempt, deadline](const infrastructure::LogPage & /*page*/) {
        if (m_superseded) {
            fail(OrderError::LeaseLost);
        } else if (m_seenAttempt >= attempt) {
            judge();
        } else {
            readUntilSeen(attempt, deadline);
        }
    });
}

void LeaseKeeper::judge()
{
    if (!isHolder() || !hasTimeLeft()) {
        beginRound();
        return;
    }
    m_renewNext = false;
    succeed();
}

void LeaseKeeper::read(framework::Milliseconds wait,
                       std::function<void(const infrastructure::LogPage &)> then)
{
    const auto onPage =
        [this, wait, then = std::move(then)](framework::Result<infrastructure::LogPage> result) {
            std::optional<framework::LogOffset> firstKept;
            const auto page = framework::leaf::try_handle_all(
                [&]() -> framework::Result<std::optional<infrastructure::LogPage>> {
                    BOOST_LEAF_AUTO(received, std::move(result));
                    return std::optional(std::move(received));
                },
                [&](infrastructure::InfrastructureError /*error*/,
                    const infrastructure::FirstKept &kept) {
                    firstKept = kept.offset;
                    return std::optional<infrastructure::LogPage>();
                },
                [] { return std::optional<infrastructure::LogPage>(); });
            if (page) {
                apply(*page);
                then(*page);
            } else if (firstKept) {
                restartAtFirstKept(*firstKept);
                read(wait, then);
            } else {
                fail(OrderError::LogUnavailable);
            }
        };
    m_logService.read(m_stream, m_next, PageLimit, wait, wait + m_policy.logTimeout,
                      guarded<infrastructure::LogPage>(onPage));
}

void LeaseKeeper::restartAtFirstKept(framework::LogOffset first)
{
    m_next = first;
    m_leaseLog.losePrefix();
    m_others.addUnknownHolder(m_clock.now());
    if (m_everHeld) {
        // Records that this process never read follow its own, so another holder came after it.
        giveUp();
    }
}

void LeaseKeeper::apply(const infrastructure::LogPage &page)
{
    for (const infrastructure::LogRecord &record : page.records) {
        if (const auto decoded = decodeLeaseRecord(record.data)) {
            applyRecord(record.offset, *decoded);
        }
    }
    m_next = page.next;
}

void LeaseKeeper::applyRecord(framework::LogOffset offset, const LeaseRecord &record)
{
    const bool valid = m_leaseLog.apply(offset, record);
    if (record.holder == m_holder) {
        m_seenAttempt = std::max(m_seenAttempt, record.attempt);
    }
    if (!valid) {
        return;
    }
    if (record.kind == LeaseRecord::Kind::Release) {
        m_others.removeHolder(record.holder);
        return;
    }
    takeOverLease(record, offset);
}

void LeaseKeeper::takeOverLease(const LeaseRecord &record, framework::LogOffset offset)
{
    if (record.holder != m_holder) {
        m_others.addLease(record.holder, record.duration, m_clock.now());
        if (m_everHeld) {
            giveUp();
        }
        return;
    }
    const framework::TimePoint end = m_sentAt[record.attempt] + record.duration;
    m_sentAt.erase(m_sentAt.begin(), m_sentAt.lower_bound(record.attempt));
    m_held = HeldLease{framework::FencingNumber(offset.value()), end, m_others.end()};
    m_everHeld = true;
}

bool LeaseKeeper::isHolder() const
{
    return m_held.has_value();
}

bool LeaseKeeper::hasTimeLeft() const
{
    return m_clock.now() + m_needed <= m_held->end;
}

void LeaseKeeper::succeed()
{
    const Callback callback = std::exchange(m_callback, nullptr);
    callback(*m_held);
}

void LeaseKeeper::fail(OrderError error)
{
    const Callback callback = std::exchange(m_callback, nullptr);
    callback(framework::asyncError<HeldLease>(error));
}

void LeaseKeeper::giveUp()
{
    m_superseded = true;
    m_held.reset();
    m_logger.warning("another process took the lease for orders; lease given up",
                     {{"stream", m_stream.value()}, {"holder", m_holder.value()}});
}

} // namespace lavendertally::orders
