#include "backends/internal/actionformat.h"

#include "backends/internal/payloadview.h"
#include "backends/types/backendcall.h"

namespace lavendertally::backends {

framework::Result<std::string> ActionFormat::requestBody(const BackendCall &call) const
{
    BOOST_LEAF_AUTO(payload, PayloadView::parse(call.payload));
    return nlohmann::json{{"operation", payload.input()}}.dump();
}

} // namespace lavendertally::backends
