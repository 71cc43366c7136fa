#pragma once

#include "retry/types/retryquery.h"

namespace lavendertally::retry {

/// \return whether another attempt cannot make a stage take effect twice
inline bool isSafeToRepeat(const RetryQuery &query)
{
    return query.idempotent || query.failure == FailureKind::NotRun;
}

} // namespace lavendertally::retry
