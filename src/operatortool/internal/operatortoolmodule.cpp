#include "operatortool/operatortoolmodule.h"

#include "framework/frameworkmodule.h"
#include "operatortool/internal/httpoperatorclient.h"

#include <iomanip>
#include <sstream>

namespace lavendertally::operatortool {

std::unique_ptr<IOperatorClient> OperatorToolModule::makeClient(http::IHttpClient &client,
                                                                const framework::Endpoint &entry)
{
    return std::make_unique<HttpOperatorClient>(client, entry);
}

framework::OperationId OperatorToolModule::makeOperationId()
{
    constexpr int HexDigits = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (int half = 0; half < 2; ++half) {
        text << std::setw(HexDigits) << framework::FrameworkModule::entropySeed();
    }
    return framework::OperationId(text.str());
}

} // namespace lavendertally::operatortool
