#pragma once

#include "framework/types/ids.h"
#include "operatortool/types/changeoutcome.h"

#include <optional>
#include <string>

namespace lavendertally::operatortool {

/// What the operator needs to ask again about a change.
struct SubmittedChange
{
    framework::OperationId operation;
    /// Revision that a change of files is based on, once it is known.
    std::optional<framework::LogOffset> base;
};

/// \return lines for people
std::string outcomeText(const ChangeOutcome &outcome, const SubmittedChange &change);

/// \return one JSON object
std::string outcomeJson(const ChangeOutcome &outcome, const SubmittedChange &change);

/// \param status status of an entry as JSON
/// \return a table for people; \p status itself when it does not have the expected form
std::string statusText(const std::string &status);

/// \return \p json with indentation
std::string indentedJson(const std::string &json);

} // namespace lavendertally::operatortool
