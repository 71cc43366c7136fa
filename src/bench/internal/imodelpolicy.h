#pragma once

#include "routing/types/serverload.h"

#include <cstddef>

namespace lavendertally::bench {

struct ModelRequest;

/// Choice of model servers by one gateway of the work bench.
class IModelPolicy
{
public:
    virtual ~IModelPolicy() = default;

    /// \return index of the server that \p request is sent to at once
    /// \param index number of the request, for the other functions
    virtual std::size_t send(std::size_t index, const ModelRequest &request, double now) = 0;
    /// \param isFirst whether it is the first event of the answer
    virtual void eventReceived(std::size_t index, bool isFirst, double now) = 0;
    /// \param isWhole whether the answer is whole; its client has given up otherwise
    virtual void ended(std::size_t index, bool isWhole, double now) = 0;
    virtual void observeLoad(std::size_t server, const routing::ServerLoad &load, double now) = 0;
};

} // namespace lavendertally::bench
