#pragma once

#include "budget/holding.h"
#include "budget/recentrate.h"
#include "budget/types/clientaddress.h"
#include "budget/types/clientstanding.h"
#include "framework/types/timepoint.h"

#include <cstddef>
#include <memory>

namespace lavendertally::budget {
class IBudgetClient;
class IResourceBudget;
} // namespace lavendertally::budget

namespace lavendertally::http {

struct RequestHolding;

/// What the budget bears for one connection, and how the connection makes use of it.
class ConnectionAccount
{
public:
    /// \param client connection that the account belongs to
    ConnectionAccount(std::shared_ptr<budget::IResourceBudget> budget,
                      budget::ClientAddress address, const budget::IBudgetClient &client,
                      framework::TimePoint now);
    ~ConnectionAccount();
    ConnectionAccount(const ConnectionAccount &) = delete;
    ConnectionAccount &operator=(const ConnectionAccount &) = delete;

    /// The connection begins something else.
    void begin(framework::TimePoint now) { m_since = now; }
    void noteArrived(std::size_t count, framework::TimePoint now);
    /// Draws for what a request takes so far.
    /// \param inputMemory memory of unread input
    /// \return false if the request has to be refused
    bool drawInput(std::size_t inputMemory, std::size_t bodyMemory);
    /// Draws for handling a request that has arrived as a whole.
    /// \return false if the request has to be refused
    bool drawExchange(std::size_t bodySize);
    /// \return what was drawn for the request, to be kept as long as its exchange
    std::unique_ptr<RequestHolding> handOver();
    /// Draws for what waits for the client. The answer goes on in any case.
    void holdAnswer(std::size_t unsent, framework::TimePoint now);
    void answerTaken(framework::TimePoint now);
    bool isAnswerWaiting() const { return m_answer.size() > framework::Bytes(0); }
    /// Gives back what a request takes that is not handled.
    void releaseRequest();
    /// Gives back everything, and leaves the budget.
    void close(budget::IBudgetClient &client);
    budget::ClientStanding standing(budget::ClientActivity activity,
                                    framework::TimePoint now) const;

private:
    RequestHolding &request();

    std::shared_ptr<budget::IResourceBudget> m_budget;
    budget::ClientAddress m_address;
    const budget::IBudgetClient &m_client;
    budget::Holding m_connection;
    budget::Holding m_input;
    budget::Holding m_answer;
    /// Made with the first byte of a request.
    std::unique_ptr<RequestHolding> m_request;
    budget::RecentRate m_rate;
    framework::TimePoint m_since;
};

} // namespace lavendertally::http
