#include "backends/internal/encodeformat.h"

#include "backends/internal/payloadview.h"
#include "backends/types/backendcall.h"

namespace lavendertally::backends {

framework::Result<std::string> EncodeFormat::requestBody(const BackendCall &call) const
{
    BOOST_LEAF_AUTO(payload, PayloadView::parse(call.payload));
    return nlohmann::json{{"text", payload.inputText()}}.dump();
}

} // namespace lavendertally::backends
