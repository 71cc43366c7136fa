#pragma once

#include "budget/holding.h"

namespace lavendertally::http {

/// What the budget bears for one request, from the first byte of its body until its exchange is
/// gone.
struct RequestHolding
{
    RequestHolding(const std::shared_ptr<budget::IResourceBudget> &budget,
                   budget::ClientAddress address, const budget::IBudgetClient *client)
        : body(budget, budget::Use::Bodies, address, client),
          exchange(budget, budget::Use::Exchanges, address, client)
    { }

    budget::Holding body;
    budget::Holding exchange;
};

} // namespace lavendertally::http
