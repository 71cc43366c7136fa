#include "backends/internal/rerankformat.h"

#include "backends/internal/payloadview.h"
#include "backends/types/backendcall.h"
#include "backends/types/backenderror.h"
#include "framework/types/errorcontext.h"

namespace lavendertally::backends {

framework::Result<std::string> RerankFormat::requestBody(const BackendCall &call) const
{
    BOOST_LEAF_AUTO(payload, PayloadView::parse(call.payload));
    const nlohmann::json *documents = payload.latestResult("documents");
    if (documents == nullptr) {
        return framework::leaf::new_error(
            BackendError::NotRun,
            framework::ErrorContext{"no earlier stage returned documents to rerank"});
    }
    return nlohmann::json{{"query", payload.inputText()}, {"documents", *documents}}.dump();
}

} // namespace lavendertally::backends
