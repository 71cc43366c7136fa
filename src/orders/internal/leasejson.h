#pragma once

#include <optional>
#include <string>

namespace lavendertally::orders {

struct LeaseRecord;

/// \return the record as it stands in the log
std::string encodeLeaseRecord(const LeaseRecord &record);

/// \return nothing if the text is not a record of this kind
std::optional<LeaseRecord> decodeLeaseRecord(const std::string &text);

} // namespace lavendertally::orders
