#include "backends/internal/retrieveformat.h"

#include "backends/internal/payloadview.h"
#include "backends/types/backendcall.h"

namespace lavendertally::backends {

namespace {

constexpr int DocumentsPerQuery = 5;

} // namespace

framework::Result<std::string> RetrieveFormat::requestBody(const BackendCall &call) const
{
    BOOST_LEAF_AUTO(payload, PayloadView::parse(call.payload));
    nlohmann::json body = {{"query", payload.inputText()}, {"k", DocumentsPerQuery}};
    if (const nlohmann::json *vector = payload.latestResult("vector")) {
        body["vector"] = *vector;
    }
    return body.dump();
}

} // namespace lavendertally::backends
