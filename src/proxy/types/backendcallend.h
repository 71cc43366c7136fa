#pragma once

namespace lavendertally::proxy {

enum class BackendCallEnd
{
    /// The whole answer is here.
    Complete,
    /// The backend server has seen nothing of the request.
    NotSent,
    /// The answer broke off or did not come.
    Broken,
};

} // namespace lavendertally::proxy
