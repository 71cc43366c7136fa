#pragma once

#include "framework/types/ids.h"
#include "infrastructure/types/logpage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::infrastructure {

/// \return body of an append
std::string encodeRecords(const std::vector<std::string> &records);

/// \return the member `first`; nothing if the text has no such form
std::optional<framework::LogOffset> decodeFirst(const std::string &text);

/// Reads a page and checks that its records follow each other from \p from on.
/// \return nothing if the text has no such form
std::optional<LogPage> decodePage(const std::string &text, framework::LogOffset from,
                                  std::uint32_t limit);

} // namespace lavendertally::infrastructure
