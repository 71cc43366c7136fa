#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "rollout/types/rolloutorder.h"
#include "rollout/types/rolloutstatus.h"

#include <string>
#include <string_view>

namespace lavendertally::platform {

/// \param service what the record's key names
/// \param id of the record
/// \return the order, or DecodeError with an ErrorContext
framework::Result<rollout::RolloutOrder> decodeRolloutOrder(const framework::ServiceId &service,
                                                            std::string_view text,
                                                            const protocol::RolloutOrderId &id);

/// \return value of a status record
std::string encodeRolloutStatus(const rollout::RolloutStatus &status);

/// \param service what the record's key names
/// \return the status, or DecodeError with an ErrorContext
framework::Result<rollout::RolloutStatus> decodeRolloutStatus(const framework::ServiceId &service,
                                                              std::string_view text);

} // namespace lavendertally::platform
