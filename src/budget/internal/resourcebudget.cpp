#include "budget/internal/resourcebudget.h"

#include "budget/ibudgetclient.h"
#include "budget/types/clientstanding.h"
#include "framework/iclock.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace lavendertally::budget {

namespace {

/// A client that sends or takes less makes no progress. Far below what any client does that means
/// to get an answer in time.
constexpr framework::Bytes ProgressRate{1024};

/// A client that holds less does not give way for memory: small requests of ordinary callers are
/// bounded by the number of connections.
constexpr framework::Bytes SmallHolding{8 * 1024};

/// How long a client may take nothing of its answer before it may have to give way.
constexpr framework::Milliseconds ReadingGrace{500};

/// Clients that may have to give way for one holder. Each frees at least a SmallHolding; more would
/// let one large body push out many.
constexpr int MaxDropped = 64;

/// Clients whose request may turn out to have arrived when they are to give way.
constexpr int MaxAttempts = 32;

bool makesProgress(const ClientStanding &standing)
{
    return standing.activity != ClientActivity::Idle && standing.rate >= ProgressRate;
}

} // namespace

ResourceBudget::ResourceBudget(const BudgetLimits &limits, const framework::IClock &clock)
    : m_limits(limits), m_clock(clock)
{ }

ResourceBudget::~ResourceBudget() = default;

bool ResourceBudget::admit(IBudgetClient &client)
{
    if (m_clients.size() >= m_limits.connections
        && dropLeastDeserving(Cause::Descriptors) == nullptr) {
        countRefusal(Cause::Descriptors);
        return false;
    }
    const ClientAddress address = client.standing(m_clock.now()).address;
    m_clients.emplace(&client, address);
    ++m_accounts[address].connections;
    m_usage.connections = static_cast<std::uint32_t>(m_clients.size());
    return true;
}

void ResourceBudget::remove(IBudgetClient &client)
{
    const auto found = m_clients.find(&client);
    if (found == m_clients.end()) {
        return;
    }
    const auto account = m_accounts.find(found->second);
    --account->second.connections;
    if (account->second.isEmpty()) {
        m_accounts.erase(account);
    }
    m_clients.erase(found);
    m_usage.connections = static_cast<std::uint32_t>(m_clients.size());
}

bool ResourceBudget::makeRoom(framework::Bytes more, bool isNewExchange,
                              const IBudgetClient *holder)
{
    if (isNewExchange && m_usage.exchanges >= m_limits.exchanges) {
        dropLeastDeserving(Cause::Exchanges);
        if (m_usage.exchanges >= m_limits.exchanges) {
            countRefusal(Cause::Exchanges);
            return false;
        }
    }
    if (more > framework::Bytes(0) && !hasRoom(more) && !canFreeFor(more, holder)) {
        countRefusal(Cause::Memory);
        return false;
    }
    for (int dropped = 0; !hasRoom(more); ++dropped) {
        const IBudgetClient *gaveWay =
            dropped < MaxDropped ? dropLeastDeserving(Cause::Memory) : nullptr;
        if (gaveWay == nullptr) {
            if (more > framework::Bytes(0)) {
                countRefusal(Cause::Memory);
            }
            return false;
        }
        if (gaveWay == holder) {
            return false;
        }
    }
    return true;
}

framework::TimePoint ResourceBudget::now() const
{
    return m_clock.now();
}

void ResourceBudget::change(Use use, ClientAddress address, framework::Bytes from,
                            framework::Bytes to)
{
    const framework::Bytes difference = to - from;
    m_usage.memory += difference;
    m_usage.memoryByUse[static_cast<std::size_t>(use)] += difference;
    if (use == Use::Exchanges) {
        m_usage.exchanges += from == framework::Bytes(0) ? 1 : 0;
        m_usage.exchanges -= to == framework::Bytes(0) ? 1 : 0;
    }
    const auto account = m_accounts.try_emplace(address).first;
    account->second.memory += difference;
    if (account->second.isEmpty()) {
        m_accounts.erase(account);
    }
}

bool ResourceBudget::hasRoom(framework::Bytes more) const
{
    return more <= m_limits.memory - m_usage.memory;
}

const IBudgetClient *ResourceBudget::dropLeastDeserving(Cause cause)
{
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        IBudgetClient *client = leastDeserving(cause);
        if (client == nullptr) {
            return nullptr;
        }
        if (client->giveWay(cause)) {
            countRefusal(cause);
            return client;
        }
    }
    return nullptr;
}

IBudgetClient *ResourceBudget::leastDeserving(Cause cause) const
{
    const framework::TimePoint now = m_clock.now();
    IBudgetClient *chosen = nullptr;
    ClientStanding chosenStanding;
    for (const auto &[client, address] : m_clients) {
        const ClientStanding standing = client->standing(now);
        if (!canGiveWay(standing, cause, now)) {
            continue;
        }
        if (chosen == nullptr || isLessDeserving(standing, chosenStanding, cause)) {
            chosen = client;
            chosenStanding = standing;
        }
    }
    return chosen;
}

/// Clients must not be dropped for a request that is refused all the same. A holder that is the
/// first to give way is left to makeRoom().
bool ResourceBudget::canFreeFor(framework::Bytes more, const IBudgetClient *holder) const
{
    const framework::TimePoint now = m_clock.now();
    std::optional<ClientStanding> own;
    std::vector<ClientStanding> others;
    for (const auto &[client, address] : m_clients) {
        const ClientStanding standing = client->standing(now);
        if (!canGiveWay(standing, Cause::Memory, now)) {
            continue;
        }
        if (client == holder) {
            own = standing;
        } else {
            others.push_back(standing);
        }
    }
    if (own) {
        std::erase_if(others, [&](const ClientStanding &other) {
            return !isLessDeserving(other, *own, Cause::Memory);
        });
        if (others.empty()) {
            return true;
        }
    }
    std::sort(others.begin(), others.end(),
              [this](const ClientStanding &left, const ClientStanding &right) {
                  return isLessDeserving(left, right, Cause::Memory);
              });
    others.resize(std::min<std::size_t>(others.size(), MaxDropped));
    framework::Bytes room = m_limits.memory - m_usage.memory;
    for (const ClientStanding &other : others) {
        room += other.held;
    }
    return more <= room;
}

bool ResourceBudget::canGiveWay(const ClientStanding &standing, Cause cause,
                                framework::TimePoint now) const
{
    if (standing.activity == ClientActivity::Reading
        && (makesProgress(standing) || now - standing.since < ReadingGrace)) {
        return false;
    }
    switch (cause) {
    case Cause::Memory:
        return standing.activity != ClientActivity::Busy && standing.held >= SmallHolding;
    case Cause::Descriptors:
        return standing.activity != ClientActivity::Busy;
    case Cause::Exchanges:
        break;
    }
    return standing.activity == ClientActivity::Reading;
}

bool ResourceBudget::exceedsShare(ClientAddress address, Cause cause) const
{
    const auto account = m_accounts.find(address);
    if (account == m_accounts.end()) {
        return false;
    }
    const auto sharers = static_cast<std::int64_t>(m_accounts.size());
    if (cause == Cause::Memory) {
        return account->second.memory.value() > m_limits.memory.value() / sharers;
    }
    return account->second.connections > m_limits.connections / sharers;
}

bool ResourceBudget::isLessDeserving(const ClientStanding &left, const ClientStanding &right,
                                     Cause cause) const
{
    const bool leftLeaves = left.activity == ClientActivity::Leaving;
    const bool rightLeaves = right.activity == ClientActivity::Leaving;
    if (leftLeaves != rightLeaves) {
        return leftLeaves;
    }
    if (left.address != right.address) {
        const bool leftExceeds = exceedsShare(left.address, cause);
        if (leftExceeds != exceedsShare(right.address, cause)) {
            return leftExceeds;
        }
    }
    const bool leftProgresses = makesProgress(left);
    if (leftProgresses != makesProgress(right)) {
        return !leftProgresses;
    }
    const bool leastHeldFirst = leftProgresses && cause == Cause::Memory;
    return leastHeldFirst ? left.held < right.held : left.since < right.since;
}

void ResourceBudget::countRefusal(Cause cause)
{
    ++m_usage.refusals[static_cast<std::size_t>(cause)];
}

} // namespace lavendertally::budget
