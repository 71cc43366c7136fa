#pragma once

#include "framework/result.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lavendertally::backends {

/// Reads the payload of a stage request.
class PayloadView
{
public:
    /// \return a view, or BackendError::NotRun when \p payload does not have the form of one
    static framework::Result<PayloadView> parse(const std::string &payload);

    const nlohmann::json &input() const { return m_document.at("input"); }

    /// \return the input's text: `text` or `prompt` of an object, a string as it is, anything else
    /// as JSON
    std::string inputText() const;

    /// \return member \p key of the newest stage result that has it, or null
    const nlohmann::json *newestResult(const std::string &key) const;

private:
    explicit PayloadView(nlohmann::json document) : m_document(std::move(document)) { }

    nlohmann::json m_document;
};

} // namespace lavendertally::backends
