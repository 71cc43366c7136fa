#pragma once

#include "framework/result.h"
#include "platform/internal/storechanges.h"
#include "platform/internal/storepage.h"

#include <string>
#include <string_view>

namespace lavendertally::platform {

/// \param from offset that was asked for
/// \return the records of a log read, or StoreError::Malformed
framework::Result<StoreChanges> decodeChanges(std::string_view body, framework::LogOffset from);

/// \return a page of newest records, or StoreError::Malformed
framework::Result<StorePage> decodePage(std::string_view body);

/// \return whether the body of an answer names the offset of a record that was appended
bool namesOffset(std::string_view body);

/// \return the body of an append of one record
std::string encodeRecord(const protocol::TopicRecord &record);

} // namespace lavendertally::platform
