#pragma once

#include "framework/result.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lavendertally::backends {

/// Read access to the JSON payload of a stage request.
class PayloadView
{
public:
    /// \return a view, or BackendError::NotRun if \p payload is not a JSON object with member
    /// `input`
    static framework::Result<PayloadView> parse(const std::string &payload);

    const nlohmann::json &input() const { return m_document.at("input"); }

    /// \return text of the input: a string unchanged, member `text` or else `prompt` of an object,
    /// anything else serialized as JSON
    std::string inputText() const;

    /// \return member \p key of the latest stage result that has it, or nullptr
    const nlohmann::json *latestResult(const std::string &key) const;

private:
    explicit PayloadView(nlohmann::json document) : m_document(std::move(document)) { }

    nlohmann::json m_document;
};

} // namespace lavendertally::backends
