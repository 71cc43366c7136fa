#include "http/internal/connectionaccount.h"

#include "budget/iresourcebudget.h"
#include "http/internal/requestholding.h"

#include <utility>

namespace lavendertally::http {

namespace {

/// Memory of a connection by itself; 2 KB were measured.
constexpr framework::Bytes ConnectionBytes{4 * 1024};

/// Memory of a request that is being handled: its head, its call to a backend server and what that
/// one's connection holds while the answer flows.
constexpr framework::Bytes ExchangeBytes{32 * 1024};

/// Unsent bytes from which the source of an answer is held back (ServerExchange::isBehind()), and
/// what its connection and an event that is not complete may hold then.
constexpr std::size_t BehindBytes = 64 * 1024;
constexpr std::size_t HeldSourceBytes = 160 * 1024;

/// A body is held for a repetition, and again while it is sent to a backend server, in a buffer
/// whose size is a power of two.
constexpr std::int64_t BodyCopies = 3;

framework::Bytes bytes(std::size_t size)
{
    return framework::Bytes(static_cast<std::int64_t>(size));
}

} // namespace

ConnectionAccount::ConnectionAccount(std::shared_ptr<budget::IResourceBudget> budget,
                                     budget::ClientAddress address,
                                     const budget::IBudgetClient &client, framework::TimePoint now)
    : m_budget(std::move(budget)), m_address(address), m_client(client),
      m_connection(m_budget, budget::Use::Connections, address, &client),
      m_input(m_budget, budget::Use::Input, address, &client),
      m_answer(m_budget, budget::Use::Answers, address, &client), m_since(now)
{
    m_connection.force(ConnectionBytes);
}

ConnectionAccount::~ConnectionAccount() = default;

RequestHolding &ConnectionAccount::request()
{
    if (!m_request) {
        m_request = std::make_unique<RequestHolding>(m_budget, m_address, &m_client);
    }
    return *m_request;
}

void ConnectionAccount::noteArrived(std::size_t count, framework::TimePoint now)
{
    m_rate.note(bytes(count), now);
}

bool ConnectionAccount::drawInput(std::size_t inputMemory, std::size_t bodyMemory)
{
    return m_input.draw(bytes(inputMemory)) && request().body.draw(bytes(bodyMemory));
}

bool ConnectionAccount::drawExchange(std::size_t bodySize)
{
    return request().body.draw(bytes(bodySize) * BodyCopies)
        && request().exchange.draw(ExchangeBytes);
}

std::unique_ptr<RequestHolding> ConnectionAccount::handOver()
{
    return std::move(m_request);
}

void ConnectionAccount::holdAnswer(std::size_t unsent, framework::TimePoint now)
{
    if (!isAnswerWaiting()) {
        m_since = now;
    }
    m_answer.force(bytes(unsent + (unsent >= BehindBytes ? HeldSourceBytes : 0)));
}

void ConnectionAccount::answerTaken(framework::TimePoint now)
{
    m_rate.note(m_answer.size(), now);
    m_answer.release();
}

void ConnectionAccount::releaseRequest()
{
    m_input.release();
    if (m_request) {
        m_request->body.release();
        m_request->exchange.release();
    }
}

void ConnectionAccount::close(budget::IBudgetClient &client)
{
    m_budget->remove(client);
    releaseRequest();
    m_answer.release();
    m_connection.release();
}

budget::ClientStanding ConnectionAccount::standing(budget::ClientActivity activity,
                                                   framework::TimePoint now) const
{
    budget::ClientStanding standing;
    standing.activity = activity;
    standing.address = m_address;
    standing.held = m_input.size() + m_answer.size();
    if (m_request) {
        standing.held += m_request->body.size();
    }
    standing.rate = m_rate.at(now);
    standing.since = m_since;
    return standing;
}

} // namespace lavendertally::http
