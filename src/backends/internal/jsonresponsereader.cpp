#include "backends/internal/jsonresponsereader.h"

#include "backends/types/backenderror.h"
#include "framework/types/errorcontext.h"

#include <nlohmann/json.hpp>

namespace lavendertally::backends {

void JsonResponseReader::append(std::string_view data, IBackendObserver & /*observer*/)
{
    m_body.append(data);
}

framework::Result<BackendResult> JsonResponseReader::finish()
{
    const auto document = nlohmann::json::parse(m_body, nullptr, false);
    if (!document.is_object()) {
        return framework::leaf::new_error(
            BackendError::Unknown,
            framework::ErrorContext{"response of the backend server is not a JSON object"});
    }
    return BackendResult{std::move(m_body), framework::TokenCount(0)};
}

} // namespace lavendertally::backends
