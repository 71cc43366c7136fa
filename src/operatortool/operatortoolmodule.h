#pragma once

#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::framework {
struct Endpoint;
}

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::operatortool {

class IOperatorClient;

/// Makes the implementations of the command-line tool.
class OperatorToolModule
{
public:
    /// \param client outlives the result
    /// \param entry daemon of role entry
    static std::unique_ptr<IOperatorClient> makeClient(http::IHttpClient &client,
                                                       const framework::Endpoint &entry);

    /// \return a random operation id of 128 bits
    static framework::OperationId makeOperationId();
};

} // namespace lavendertally::operatortool
