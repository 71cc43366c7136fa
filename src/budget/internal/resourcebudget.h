#pragma once

#include "budget/iresourcebudget.h"
#include "budget/types/budgetlimits.h"
#include "budget/types/cause.h"

#include <unordered_map>

namespace lavendertally::framework {
class IClock;
} // namespace lavendertally::framework

namespace lavendertally::budget {

struct ClientStanding;

/// Counts by address and by connection. The client that gives way first has had its last answer,
/// else has an address that uses more than its share, else makes no progress for the longest. Of
/// those that make progress, it holds the least memory, or is the oldest if descriptors are short.
class ResourceBudget final : public IResourceBudget
{
public:
    ResourceBudget(const BudgetLimits &limits, const framework::IClock &clock);
    ~ResourceBudget() override;
    ResourceBudget(const ResourceBudget &) = delete;
    ResourceBudget &operator=(const ResourceBudget &) = delete;

    bool admit(IBudgetClient &client) override;
    void remove(IBudgetClient &client) override;
    bool makeRoom(framework::Bytes more, bool isNewExchange, const IBudgetClient *holder) override;
    void change(Use use, ClientAddress address, framework::Bytes from,
                framework::Bytes to) override;
    framework::TimePoint now() const override;
    bool isExceeded() const override { return m_usage.memory > m_limits.memory; }
    BudgetUsage usage() const override { return m_usage; }

private:
    struct Account
    {
        framework::Bytes memory;
        std::uint32_t connections = 0;
        bool isEmpty() const { return memory == framework::Bytes(0) && connections == 0; }
    };

    bool hasRoom(framework::Bytes more) const;
    /// \return the client that gave way, if any could
    const IBudgetClient *dropLeastDeserving(Cause cause);
    IBudgetClient *leastDeserving(Cause cause) const;
    /// \return whether room for \p more can be made by clients that give way before \p holder, or
    /// \p holder itself is the first to give way
    bool canFreeFor(framework::Bytes more, const IBudgetClient *holder) const;
    bool canGiveWay(const ClientStanding &standing, Cause cause, framework::TimePoint now) const;
    bool exceedsShare(ClientAddress address, Cause cause) const;
    /// \return whether a client of standing \p left gives way before one of standing \p right
    bool isLessDeserving(const ClientStanding &left, const ClientStanding &right,
                         Cause cause) const;
    void countRefusal(Cause cause);

    BudgetLimits m_limits;
    const framework::IClock &m_clock;
    BudgetUsage m_usage;
    std::unordered_map<ClientAddress, Account> m_accounts;
    std::unordered_map<IBudgetClient *, ClientAddress> m_clients;
};

} // namespace lavendertally::budget
