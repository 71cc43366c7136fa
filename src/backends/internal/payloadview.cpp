#include "backends/internal/payloadview.h"

#include "backends/types/backenderror.h"
#include "framework/types/errorcontext.h"

namespace lavendertally::backends {

framework::Result<PayloadView> PayloadView::parse(const std::string &payload)
{
    auto document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object() || !document.contains("input")) {
        return framework::leaf::new_error(
            BackendError::NotRun,
            framework::ErrorContext{"payload is not a JSON object with member \"input\""});
    }
    return PayloadView(std::move(document));
}

std::string PayloadView::inputText() const
{
    const nlohmann::json &value = input();
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_object()) {
        for (const char *key : {"text", "prompt"}) {
            const auto member = value.find(key);
            if (member != value.end() && member->is_string()) {
                return member->get<std::string>();
            }
        }
    }
    return value.dump();
}

const nlohmann::json *PayloadView::latestResult(const std::string &key) const
{
    const auto results = m_document.find("results");
    if (results == m_document.end() || !results->is_array()) {
        return nullptr;
    }
    for (auto entry = results->rbegin(); entry != results->rend(); ++entry) {
        const auto result = entry->find("result");
        if (result != entry->end() && result->is_object() && result->contains(key)) {
            return &result->at(key);
        }
    }
    return nullptr;
}

} // namespace lavendertally::backends
