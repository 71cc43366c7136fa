#pragma once

#include "accounting/types/costaccount.h"
#include "accounting/types/stageaccountid.h"
#include "framework/types/ids.h"

#include <map>

namespace lavendertally::accounting {

/// All accounts of a ledger. Each attempt is counted in one stage, one team and one service
/// account.
struct CostSnapshot
{
    std::map<StageAccountId, CostAccount> stages;
    std::map<framework::TeamId, CostAccount> teams;
    std::map<framework::ServiceId, CostAccount> services;
    CostAccount total;
};

} // namespace lavendertally::accounting
